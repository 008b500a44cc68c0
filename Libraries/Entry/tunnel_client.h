// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/replica_connection.h"
#include "Libraries/Entry/shared_proxies.h"
#include "Libraries/Entry/tunnel_messages.h"

#include <functional>
#include <map>

namespace vetchpost {

/// The daemons whose tunnels are used, and the key that they share.
struct tunnel_peers
{
    shared_proxies &proxies;
    std::function<std::optional<identity_key>()> key;
    /// Called when this daemon's own announcement has changed.
    std::function<void()> didAnnounce;
    /// The work that this daemon offers to bear for others.
    int capacity = 0;
};

/// Asks other daemons for tunnels to replicas. Thread-safe.
class tunnel_client
{
public:
    tunnel_client(const data_centre_id &dataCentre, tunnel_peers peers, metrics &counters);

    /// Opens a tunnel to a replica through a daemon that reaches its service, and asks another one if that daemon cannot open it. Returns
    /// nothing and sets \a failure and \a lastReason if there is none.
    std::optional<replica_connection>
    open(const replica_address &target, const tunnel_terms &terms, path_failure &failure, reason &lastReason);
    /// Announces this daemon to the others if that is due. \a proxy needs no capacity; it is 0 after stopOffering().
    void announce(tunnel_proxy proxy);
    /// Offers no tunnels to others from the next announcement on.
    void stopOffering();

private:
    const data_centre_id m_dataCentre;
    const tunnel_peers m_peers;
    std::atomic<bool> m_isOffering = true;
    /// By the purpose of the tunnel and the result.
    std::map<std::pair<std::string, std::string>, counter> m_results;
};

} // namespace vetchpost
