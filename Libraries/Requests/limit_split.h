// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

namespace vetchpost {

/// How one daemon's part of an organisation's limit is found.
enum class limit_split {
    equal,
    by_demand,
    /// By demand and weight: equation 9 of Chen, Yu, Li: "Clockwork: Scheduling Cloud Requests in Mobile Applications".
    weighted
};

/// What one daemon was asked for by one organisation of late.
struct daemon_demand
{
    double tokensPerSecond = 0;
    /// The urgency of that demand, as the paper's weight; 1 for the usual.
    double weight = 1;
};

/// Splits \a limit between daemons; the sum is the limit.
std::vector<double> splitLimit(double limit, const std::vector<daemon_demand> &demands, limit_split rule);

/// A limit that lets tokens through as they come in, with a burst of one second.
struct token_bucket
{
    double rate = 0;
    double available = 0;
    std::int64_t filledAt = 0;
};

/// Takes \a tokens out of the bucket where any are left, going below zero once; false where none are.
bool takeTokens(token_bucket &bucket, double tokens, std::int64_t nowMilliseconds);

} // namespace vetchpost
