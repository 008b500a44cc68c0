// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/demand_shares.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// A burst that lasts for less than a load of weights is not worth a change of groups: what a switch burns has to be loaded again.
constexpr double smoothingSeconds = 8;
/// With fewer requests than this the measure says little, and nothing is short.
constexpr double leastRequests = 20;
constexpr double leastOfConfigured = 0.75;
constexpr double mostOfConfigured = 1.25;

} // namespace

void noteDemand(smoothed_demand &demand, const std::map<model_id, int> &outstanding, instant now)
{
    const auto passed = demand.at ? std::chrono::duration<double>(now - *demand.at).count() : 0;
    const auto weight = demand.at ? 1 - std::exp(-passed / smoothingSeconds) : 1;
    demand.at = now;
    for (const auto &[model, count] : outstanding) {
        auto &known = demand.outstanding[model];
        known += weight * (count - known);
    }
}

std::map<model_id, double> demandShares(const smoothed_demand &demand, const engine_description &engine)
{
    double configured = 0;
    double measured = 0;
    double requests = 0;
    std::map<model_id, double> needed;
    for (const auto &model : engine.models) {
        const auto found = demand.outstanding.find(model.id);
        const auto held = found == demand.outstanding.end() ? 0 : found->second;
        needed[model.id] = held * model.size;
        configured += model.share;
        measured += held * model.size;
        requests += held;
    }
    std::map<model_id, double> shares;
    double sum = 0;
    for (const auto &model : engine.models) {
        const bool isMeasured = requests >= leastRequests && measured > 0;
        // A model that is short holds more requests than its work accounts for, so that the measure is followed half the way.
        const auto share = isMeasured ? std::sqrt(model.share * configured * needed.at(model.id) / measured) : model.share;
        shares[model.id] = std::clamp(share, leastOfConfigured * model.share, mostOfConfigured * model.share);
        sum += shares[model.id];
    }
    for (auto &[model, share] : shares) {
        share *= sum > 0 ? configured / sum : 1;
    }
    return shares;
}

} // namespace vetchpost
