// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/instance_tracker.h"
#include "Libraries/Peers/exchange.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// How daemons share observations of instances: which daemon probes an instance, what it publishes, and whose observation is used. See
/// docs/design/PEERS.md.
namespace vetchpost {

/// The last observation of an instance that this daemon published.
struct published_state
{
    /// Nothing if the instance was reported missing.
    std::optional<engine_state> state;
    instant at;
};

// Commands.

/// Publishes this daemon's observation of an instance to the other daemons. Changes that need no immediate report, such as the progress
/// of a load, are published only every few seconds, as they would otherwise be most of the traffic between daemons.
void publishObservation(exchange_state &exchange,
                        std::map<instance_id, published_state> &published,
                        const instance_observation &observation,
                        instant now);

// Queries.

/// The daemon that probes an instance, chosen among the live daemons.
const daemon_id &observerOf(const instance_id &instance, const std::vector<daemon_id> &live);
/// The observation of an instance to use: that of its observer, else that of any live daemon, else that of a daemon that died recently.
/// Nothing if none of them has published one.
std::optional<instance_observation>
selectObservation(const exchange_state &exchange, const instance_id &instance, const std::vector<daemon_id> &live, instant now);

} // namespace vetchpost
