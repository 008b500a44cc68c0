// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>
#include <set>

/// Whether the connections that this daemon opens to the replicas of a service are established, from which it concludes whether it is
/// itself cut off from them (docs/design/TUNNELS.md).
namespace vetchpost {

/// A daemon is cut off from a service if it cannot connect to this many of its replicas and to no other one meanwhile. One replica alone
/// may have ended.
constexpr std::size_t unreachedWhenCut = 2;
/// Connections have to be established again for this time before the daemon relies on them.
constexpr duration shortestProbation(500);
/// The probation doubles, up to this, with each cut that begins within stableTime of the last one's end, so that links which fail and
/// recover every second are not relied on.
constexpr duration longestProbation(8000);
constexpr duration stableTime(10000);

/// What is known of the connections to the replicas of one service.
struct service_paths
{
    /// When a connection was last established; the epoch of the clock before the first.
    instant connectedAt;
    /// The replicas that could not be connected to since then.
    std::set<instance_id> unreached;
    /// Since when the daemon is cut off; nothing if it is not.
    std::optional<instant> cutSince;
    /// While the daemon is cut off: since when connections are established again.
    std::optional<instant> returningSince;
    duration probation = shortestProbation;
    /// When the last cut ended.
    std::optional<instant> lastReturn;
};

struct direct_paths
{
    std::map<service_id, service_paths> services;
};

// Commands

/// Records that a connection to a replica was established. Returns true if the daemon is no longer cut off from the service.
bool recordConnected(direct_paths &paths, const service_id &service, instant now);
/// Records that a replica could not be connected to by an attempt that began at \a began. \a known is the number of the service's replicas.
/// Returns true if the daemon is cut off from the service since now.
bool recordUnreached(
    direct_paths &paths, const service_id &service, const instance_id &replica, std::size_t known, instant began, instant now);

// Queries

/// Whether the daemon is cut off from the replicas of a service.
bool isCutOff(const direct_paths &paths, const service_id &service);
/// Whether connections to the replicas of a service should be made through another daemon: this one is cut off from them, or from another
/// service's while it has not connected to any of this one's since.
bool needsTunnel(const direct_paths &paths, const service_id &service);
/// Returns the services that need tunnels.
std::set<service_id> cutOffServices(const direct_paths &paths);

} // namespace vetchpost
