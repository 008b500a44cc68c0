// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Routing/route_table.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost {

/// Keeps the configuration and the replicas' entries of the key-value service at hand, each on a thread of its own.
class store_follower
{
public:
    /// \a didChange is called on either thread after anything changed.
    store_follower(key_value_service &keyValue, const entry_dialect &dialect, metrics &counters, std::function<void()> didChange);
    ~store_follower();
    store_follower(const store_follower &) = delete;
    store_follower &operator=(const store_follower &) = delete;

    void start();
    void stop();
    /// Whether changes of the replicas are told one by one, or gathered for a moment.
    void setUrgent(bool isUrgent);
    /// The first request has come.
    void noteTraffic();
    /// Reads a whole new listing of the replicas before it returns.
    void listAgain();

    /// nullptr before the first configuration.
    std::shared_ptr<const route_table> routes() const;
    std::shared_ptr<const replica_directory> directory() const;
    /// The configuration at hand was the newest at this moment: when the last successful read began.
    std::optional<instant> configurationCurrentAt() const;
    /// When the last whole listing began; nothing before the first.
    std::optional<instant> listedAt() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
