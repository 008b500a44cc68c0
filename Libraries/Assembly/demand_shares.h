// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>

namespace vetchpost {

/// Requests of each model that all daemons hold, smoothed over some seconds.
struct smoothed_demand
{
    std::map<model_id, double> outstanding;
    std::optional<instant> at;
};

/// Takes in how many requests of each model are held now.
void noteDemand(smoothed_demand &demand, const std::map<model_id, int> &outstanding, instant now);
/// The part of the replicas that each model should have: between the configured share and the one at which its groups would hold equally
/// many requests each, and within a quarter of the configured one.
std::map<model_id, double> demandShares(const smoothed_demand &demand, const engine_description &engine);

} // namespace vetchpost
