// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_end_check.h"
#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Requests/request_identity.h"

#include <memory>

namespace vetchpost {

/// Keeps requests that end every replica which runs them from the replicas: knows them again under other ids, finds out which lost tries
/// ended with their replica, and tells all daemons. Safe to use from several threads.
class crash_guard
{
public:
    crash_guard(
        key_value_service &keyValue, const entry_dialect &dialect, const store_follower &store, peer_feed &feed, shared_suspects &suspects);
    ~crash_guard();
    crash_guard(const crash_guard &) = delete;
    crash_guard &operator=(const crash_guard &) = delete;

    void start();
    void stop();

    /// Nothing while the key to digest with is not known.
    std::optional<request_identity> identify(const identifying_parts &parts) const;
    /// Whether a request's identity matters now.
    bool hasSuspects() const;
    /// How long a request is still refused; nothing where it is not.
    std::optional<duration> refusedFor(const std::optional<request_identity> &request) const;
    /// A try of the request at this place was lost: finds out whether the replica has ended, and notes it.
    replica_end_finding
    noteLoss(const std::optional<request_identity> &request, const organisation_id &organisation, const backend &target);
    void noteAnswered(const std::optional<request_identity> &request);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
