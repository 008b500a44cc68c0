// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/proxy_table.h"

/// Which daemon is asked for a tunnel (docs/design/TUNNELS.md).
namespace vetchpost {

/// A daemon that did not answer, or does not reach the replicas itself, is not asked again for this time.
constexpr duration proxyFailureAvoidance(2000);
/// A daemon that carries as much as it can is not asked again for this time.
constexpr duration proxyFullAvoidance(250);

/// What this daemon knows of another one from its own requests for tunnels.
struct proxy_use
{
    /// Tunnels that are open or requested.
    int tunnels = 0;
    instant avoidedUntil;
};

/// What a tunnel is needed for.
struct tunnel_purpose
{
    service_id service;
    data_centre_id ownDataCentre;
    data_centre_id replicaDataCentre;
};

/// A daemon to ask for a tunnel.
struct chosen_proxy
{
    endpoint address;
    std::uint64_t run = 0;
};

/// Chooses a daemon that reaches the service: at random, in proportion to the capacity that this daemon's own tunnels leave, since the
/// daemons that need tunnels at the same time do not know of each other's. Daemons in the data centre of this daemon or of the replica are
/// preferred, because the bytes then pass between data centres once at most. Returns nothing if there is none, or all are avoided.
std::optional<chosen_proxy> chooseProxy(
    const proxy_table &table, const std::map<endpoint, proxy_use> &uses, const tunnel_purpose &purpose, instant now, std::uint64_t draw);

} // namespace vetchpost
