// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace vetchpost {

/// What a choice needs to know of one replica.
struct replica_load
{
    /// What the engine reported last: running and queued.
    int reported = 0;
    /// What this daemon has sent there since that report.
    int sentSince = 0;
    /// What this daemon has there in all.
    int inFlight = 0;
    /// The daemon's learned limit for the replica.
    int limit = 1;
    /// Its first-token times of late, in milliseconds; 0 while unknown.
    double firstTokenMilliseconds = 0;
    /// From 0 to 1: how much of its share a newly serving replica already gets.
    double ramp = 1;
    /// It must not be chosen: it failed a moment ago, or was tried for this request.
    bool isExcluded = false;
};

struct routing_policy
{
    /// How far above the mean load a replica may be and still be chosen for its cache.
    double affinityBound = 1.25;
    /// Replicas slower than this multiple of the median get less.
    double slowFactor = 2;
};

/// The replicas to choose from. Their loads are asked for one at a time, so that a choice looks at a number of them that does
/// not grow with the fleet.
struct replica_choices
{
    /// The replicas' places on the ring of prefixes, in rising order.
    const std::vector<std::uint64_t> &places;
    /// The load of the replica at this index.
    std::function<replica_load(std::size_t)> loadAt;
};

/// Chooses a replica for a prompt whose prefix hashes to \a prefix, 0 for none; its index. Nothing where every replica is
/// excluded or at its limit.
std::optional<std::size_t>
chooseReplica(const replica_choices &replicas, std::uint64_t prefix, const routing_policy &policy, std::mt19937_64 &random);

/// The hash of the part of a prompt that requests are likely to share.
std::uint64_t prefixHash(std::string_view prompt);

} // namespace vetchpost
