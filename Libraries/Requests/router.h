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

/// The load of one replica, as the choice of a replica needs it.
struct replica_load
{
    /// Running and queued requests in the engine's last report.
    int reported = 0;
    /// Requests that this daemon has sent to the replica since that report.
    int sentSince = 0;
    /// Requests of this daemon at the replica.
    int inFlight = 0;
    /// The daemon's adaptive limit for the replica.
    int limit = 1;
    /// Recent first-token time in milliseconds; 0 while unknown.
    double firstTokenMilliseconds = 0;
    /// The part of its normal share that a newly serving replica gets already, from 0 to 1.
    double ramp = 1;
    /// Whether the replica must not be chosen, because it failed recently or was already tried for this request.
    bool isExcluded = false;
};

struct routing_policy
{
    /// The multiple of the mean load up to which a replica is chosen for its cached prefix.
    double affinityBound = 1.25;
    /// Replicas whose first token takes longer than this multiple of the median get fewer requests.
    double slowFactor = 2;
};

/// The replicas to choose from. Their loads are queried one at a time, because a choice usually examines only a few of them, however many
/// there are.
struct replica_choices
{
    /// The replicas' positions on the consistent-hashing ring of prefixes, in ascending order.
    const std::vector<std::uint64_t> &ringPositions;
    /// Returns the load of the replica at this index.
    std::function<replica_load(std::size_t)> loadAt;
};

/// Chooses a replica for a prompt whose prefix has the hash \a prefix (0 for none). Returns its index, or nothing if every replica is
/// excluded or at its limit.
std::optional<std::size_t>
chooseReplica(const replica_choices &replicas, std::uint64_t prefix, const routing_policy &policy, std::mt19937_64 &random);

/// Returns the hash of the part of a prompt that requests are likely to share; 0 if the prompt is too short to have one.
std::uint64_t prefixHash(std::string_view prompt);

} // namespace vetchpost
