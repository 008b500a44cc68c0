// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/replica_connection.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Entry/tunnel_client.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Settings/entry_settings.h"

#include <memory>
#include <optional>

namespace vetchpost {

/// Connects to replicas: directly, or through another daemon while this one is cut off from them. Finds out by its connections, and by
/// probing on a thread of its own while there is doubt, whether it is cut off. Thread-safe.
class replica_paths
{
public:
    replica_paths(const entry_settings &settings, const store_follower &store, tunnel_peers peers, metrics &counters);
    ~replica_paths();
    replica_paths(const replica_paths &) = delete;
    replica_paths &operator=(const replica_paths &) = delete;

    void start();
    void stop();
    /// Announces that this daemon carries no further tunnels.
    void endTunnels();

    /// Distinguishes this run of the daemon from others.
    std::uint64_t run() const;
    /// Whether this daemon is cut off from the replicas of a service.
    bool needsTunnel(const service_id &service) const;

    /// Connects to a replica. Returns nothing and sets \a failure and \a lastReason if there is no connection.
    std::optional<replica_connection>
    connect(const replica_address &target, const tunnel_terms &terms, duration timeout, path_failure &failure, reason &lastReason);
    /// Connects to a replica without a tunnel. A port that refuses the connection counts as unreachable unless another replica of
    /// the service accepts one.
    std::optional<tcp_connection>
    connectDirectly(const served_replica &target, duration timeout, connect_failure &failure, reason &lastReason);
    /// Connects to a replica and sends one call of this daemon's own. Returns the whole reply; nothing on an error, whose kind
    /// \a lastReason tells as for sendOnFreshConnection(). \a failure is set if there was no connection.
    std::optional<http_reply>
    send(const replica_address &target, const http_call &call, std::optional<path_failure> &failure, reason &lastReason);

    /// Sends one call of this daemon's own through another daemon, to see whether a replica that does not answer this one answers that one.
    /// If it does, this daemon's own connection to it counts as failed.
    std::optional<http_reply> sendThroughPeer(const replica_address &target, const http_call &call, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
