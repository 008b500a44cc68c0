// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

namespace vetchpost {

/// The rule by which an organisation's limit is split between daemons.
enum class limit_split {
    equal,
    by_demand,
    /// By demand and weight, as in equation 9 of Chen, Yu, Li: "Clockwork: Scheduling Cloud Requests in Mobile Applications".
    weighted
};

/// The recent demand of one organisation at one daemon.
struct daemon_demand
{
    double tokensPerSecond = 0;
    /// The urgency of the demand (the weight in the paper); normally 1.
    double weight = 1;
};

/// Splits \a limit between daemons. Returns one part for each demand; their sum is the limit.
std::vector<double> splitLimit(double limit, const std::vector<daemon_demand> &demands, limit_split rule);

/// A token bucket whose capacity is one second of its rate. The rate is in tokens per second.
struct token_bucket
{
    double rate = 0;
    double available = 0;
    std::int64_t filledAt = 0;
};

/// Consumes \a tokens if the bucket is not empty, even if that leaves it negative. Returns false, and consumes nothing, if it is empty.
bool consumeTokens(token_bucket &bucket, double tokens, std::int64_t nowMilliseconds);

} // namespace vetchpost
