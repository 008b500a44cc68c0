// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>

namespace vetchpost {

/// The number of requests that all daemons hold for each model, smoothed over several seconds.
struct smoothed_demand
{
    std::map<model_id, double> outstanding;
    std::optional<instant> updatedAt;
};

/// The shares in force, which follow the demand with a delay.
struct followed_shares
{
    std::map<model_id, double> values;
    std::optional<instant> updatedAt;
};

/// Updates the smoothed demand with the number of requests that are held for each model at \a now.
void updateDemand(smoothed_demand &demand, const std::map<model_id, int> &outstanding, instant now);
/// The fraction of the replicas that each model should have, between the configured share and the share at which all groups would hold
/// equally many requests. \a serving are the groups of each model that serve and \a current the shares in force; without them all held
/// requests count as they are.
std::map<model_id, double> demandShares(const smoothed_demand &demand,
                                        const engine_description &engine,
                                        const std::map<model_id, int> &serving = {},
                                        const std::map<model_id, double> &current = {});
/// Moves the shares towards \a wanted. A share rises over the time of a load from the host as far as \a prepared goes, the fraction of the
/// replicas that run another model and hold this one's weights, and over the time of a load from the weight store beyond that.
void followShares(followed_shares &shares,
                  const std::map<model_id, double> &wanted,
                  const std::map<model_id, double> &prepared,
                  const engine_description &engine,
                  instant now);

} // namespace vetchpost
