// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/demand_shares.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Groups do not change for a burst that is shorter than a load of weights, since the weights that a switch evicts have to be loaded again.
constexpr double smoothingSeconds = 8;
/// With fewer requests than this the measurement is unreliable and no model is short.
constexpr double minRequests = 20;
constexpr double minOfConfigured = 0.75;
constexpr double maxOfConfigured = 1.25;

} // namespace

void updateDemand(smoothed_demand &demand, const std::map<model_id, int> &outstanding, instant now)
{
    const auto passed = demand.updatedAt ? std::chrono::duration<double>(now - *demand.updatedAt).count() : 0;
    const auto weight = demand.updatedAt ? 1 - std::exp(-passed / smoothingSeconds) : 1;
    demand.updatedAt = now;
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
        const bool isMeasured = requests >= minRequests && measured > 0;
        // A model that is short holds more requests than its work accounts for, so the measured share is followed only half the way: the
        // result is the geometric mean of the configured and the measured share.
        const auto share = isMeasured ? std::sqrt(model.share * configured * needed.at(model.id) / measured) : model.share;
        shares[model.id] = std::clamp(share, minOfConfigured * model.share, maxOfConfigured * model.share);
        sum += shares[model.id];
    }
    for (auto &[model, share] : shares) {
        share *= sum > 0 ? configured / sum : 1;
    }
    return shares;
}

} // namespace vetchpost
