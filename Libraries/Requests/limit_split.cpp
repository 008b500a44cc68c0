// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/limit_split.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace vetchpost {

namespace {

/// The share of the limit that is always split evenly, so that a daemon whose clients have just connected is not blocked.
constexpr double evenShare = 0.1;
/// Alpha in the paper, whose experiments use 2.
constexpr double fairness = 2;

} // namespace

std::vector<double> splitLimit(double limit, const std::vector<daemon_demand> &demands, limit_split rule)
{
    const auto count = static_cast<double>(demands.size());
    std::vector<double> parts;
    for (const auto &demand : demands) {
        const auto weight = rule == limit_split::weighted ? std::pow(demand.weight, 1 / fairness) : 1;
        parts.push_back(rule == limit_split::equal ? 1 : weight * demand.tokensPerSecond);
    }
    const auto total = std::accumulate(parts.begin(), parts.end(), 0.0);
    for (auto &part : parts) {
        const auto share = total > 0 ? part / total : 1 / count;
        part = limit * (evenShare / count + (1 - evenShare) * share);
    }
    return parts;
}

bool consumeTokens(token_bucket &bucket, double tokens, std::int64_t nowMilliseconds)
{
    constexpr double millisecondsPerSecond = 1000;
    const auto gained = bucket.rate * static_cast<double>(nowMilliseconds - bucket.filledAt) / millisecondsPerSecond;
    bucket.available = std::min(bucket.rate, bucket.available + gained);
    bucket.filledAt = nowMilliseconds;
    if (bucket.available <= 0) {
        return false;
    }
    bucket.available -= tokens;
    return true;
}

} // namespace vetchpost
