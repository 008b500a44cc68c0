// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_end_check.h"
#include "Libraries/Requests/request_identity.h"

#include <memory>

namespace vetchpost {

/// Knows requests again that come under other ids, and what became of the replicas that they were lost with. Safe to use from several threads.
class crash_guard
{
public:
    crash_guard(key_value_service &keyValue, const entry_dialect &dialect, peer_feed &feed);
    ~crash_guard();
    crash_guard(const crash_guard &) = delete;
    crash_guard &operator=(const crash_guard &) = delete;

    void start();
    void stop();

    /// Nothing while the key to digest with is not known.
    std::optional<request_identity> identify(const identifying_parts &parts) const;
    /// A try at this place was lost: finds out whether the replica has ended.
    replica_end_finding checkLoss(const backend &target);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
