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
/// An idle model keeps groups for this use of their slots, so that its next requests find some.
constexpr double minUse = 0.1;

double valueOr(const std::map<model_id, double> &values, const model_id &model, double fallback)
{
    const auto found = values.find(model);
    return found == values.end() ? fallback : found->second;
}

/// The replicas that a model's requests need, up to a factor that is the same for all models.
double neededBy(const group_model &model,
                double held,
                const engine_description &engine,
                const std::map<model_id, int> &serving,
                const std::map<model_id, double> &current)
{
    if (serving.empty()) {
        return held * model.size;
    }
    const auto found = serving.find(model.id);
    const auto slots = static_cast<double>(found == serving.end() ? 0 : found->second) * std::max(1, engine.slots);
    // What a model holds depends on how many of its groups serve. The use of their slots does not: a model that lacks groups must not lose
    // its share for that. Requests beyond the slots wait and are late, so they do not count. Without any group the demand is unknown.
    const auto use = slots > 0 ? std::clamp(held / slots, minUse, 1.0) : 1.0;
    return use * valueOr(current, model.id, model.share);
}

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

std::map<model_id, double> demandShares(const smoothed_demand &demand,
                                        const engine_description &engine,
                                        const std::map<model_id, int> &serving,
                                        const std::map<model_id, double> &current)
{
    double requests = 0;
    for (const auto &model : engine.models) {
        requests += valueOr(demand.outstanding, model.id, 0);
    }
    // The models whose demand is known divide the rest of the shares among themselves.
    double configured = 0;
    double measured = 0;
    std::map<model_id, double> needed;
    std::map<model_id, double> shares;
    for (const auto &model : engine.models) {
        const auto held = valueOr(demand.outstanding, model.id, 0);
        const bool isServing = serving.empty() ? held > 0 : serving.contains(model.id) && serving.at(model.id) > 0;
        shares[model.id] = model.share;
        if (requests >= minRequests && isServing) {
            needed[model.id] = neededBy(model, held, engine, serving, current);
            configured += model.share;
            measured += needed[model.id];
        }
    }
    double sum = 0;
    for (const auto &[model, need] : needed) {
        // A model that is short holds more requests than its work accounts for, so the measured share is followed only half the way: the
        // result is the geometric mean of the configured and the measured share.
        shares[model] = std::sqrt(shares.at(model) * configured * need / measured);
        sum += shares[model];
    }
    for (const auto &[model, need] : needed) {
        shares[model] *= sum > 0 ? configured / sum : 1;
    }
    return shares;
}

void followShares(followed_shares &shares,
                  const std::map<model_id, double> &wanted,
                  const std::map<model_id, double> &prepared,
                  const engine_description &engine,
                  instant now)
{
    const auto passed = shares.updatedAt ? std::chrono::duration<double>(now - *shares.updatedAt).count() : 0;
    shares.updatedAt = now;
    const auto partWithin = [&](duration loadTime) {
        const auto seconds = std::chrono::duration<double>(loadTime).count();
        return seconds > 0 ? 1 - std::exp(-passed / seconds) : 1.0;
    };
    double rise = 0;
    double risenBy = 0;
    for (const auto &model : engine.models) {
        const auto target = wanted.at(model.id);
        const auto missing = target - valueOr(shares.values, model.id, target);
        if (missing > 0) {
            const auto onHosts = std::min(missing, valueOr(prepared, model.id, 0));
            rise += missing;
            risenBy += onHosts * partWithin(model.stagedLoadTime) + (missing - onHosts) * partWithin(model.loadTime);
        }
    }
    // All shares move by the same part of their way, so that their sum stays what it was.
    const auto part = rise > 0 ? risenBy / rise : 1;
    for (const auto &[model, target] : wanted) {
        auto &share = shares.values.try_emplace(model, target).first->second;
        share += part * (target - share);
    }
}

} // namespace vetchpost
