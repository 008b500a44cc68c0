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

/// Updates the smoothed demand with the number of requests that are held for each model at \a now.
void updateDemand(smoothed_demand &demand, const std::map<model_id, int> &outstanding, instant now);
/// The fraction of the replicas that each model should have. It lies between the configured share and the share at which all groups would
/// hold equally many requests, and deviates from the configured one by at most a quarter.
std::map<model_id, double> demandShares(const smoothed_demand &demand, const engine_description &engine);

} // namespace vetchpost
