// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/instance_tracker.h"
#include "Libraries/Peers/exchange.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What daemons say of instances: who looks, what is told, whose word counts. docs/design/PEERS.md.
namespace vetchpost {

/// What this daemon last told of an instance.
struct told_state
{
    std::optional<engine_state> state;
    instant at;
};

// Commands.

/// Tells the others what this daemon saw. A load that only goes on is told every few seconds: at the target it would be most of the
/// traffic between daemons.
void tellObservation(exchange_state &exchange,
                     std::map<instance_id, told_state> &told,
                     const instance_observation &observation,
                     instant now);

// Queries.

/// The daemon that looks at an instance, of those that live.
const daemon_id &observerOf(const instance_id &instance, const std::vector<daemon_id> &live);
/// What counts of an instance: its observer's word, else that of any live daemon, else that of one that died a moment ago. Nothing
/// where nobody ever spoke of it.
std::optional<instance_observation>
wordOn(const exchange_state &exchange, const instance_id &instance, const std::vector<daemon_id> &live, instant now);

} // namespace vetchpost
