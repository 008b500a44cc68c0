// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/router.h"

#include "Libraries/Base/digest.h"

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

/// Prompts of one use share their instructions; what follows is their own.
constexpr std::size_t prefixLength = 512;

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    // The finaliser of MurmurHash3: enough to spread two hashes that are already uniform.
    auto value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

double loadOf(const replica_load &replica)
{
    // The report lags: own work that it cannot show yet is added, and own work is a lower bound in any case.
    return std::max(replica.reported + replica.sentSince, replica.inFlight);
}

bool isAvailable(const replica_load &replica)
{
    return !replica.isExcluded && replica.inFlight < replica.limit;
}

double medianFirstToken(const std::vector<replica_load> &replicas)
{
    // A few samples are enough, and keep the cost from growing with the fleet.
    constexpr std::size_t samples = 32;
    std::array<double, samples> times{};
    std::size_t count = 0;
    const auto stride = std::max<std::size_t>(1, replicas.size() / samples);
    for (std::size_t i = 0; i < replicas.size() && count < samples; i += stride) {
        if (replicas[i].firstTokenMilliseconds > 0) {
            times[count++] = replicas[i].firstTokenMilliseconds;
        }
    }
    if (count == 0) {
        return 0;
    }
    auto *const middle = times.data() + count / 2;
    std::nth_element(times.data(), middle, times.data() + count);
    return *middle;
}

/// The lower the better.
double scoreOf(const replica_load &replica, double median, const routing_policy &policy)
{
    auto score = (loadOf(replica) + 1) / std::max(replica.ramp, 0.05);
    if (median > 0 && replica.firstTokenMilliseconds > policy.slowFactor * median) {
        score *= replica.firstTokenMilliseconds / median;
    }
    return score;
}

/// The replica where this prefix is most likely cached: the first two in the prefix's own order of all, so that its cache
/// stands in few places and one of them can still be passed over.
std::optional<std::size_t>
bestForPrefix(const std::vector<replica_load> &replicas, std::uint64_t prefix, double bound, double median, const routing_policy &policy)
{
    struct ranked_replica
    {
        std::uint64_t rank = 0;
        std::size_t place = 0;
    };
    ranked_replica first;
    ranked_replica second;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        const ranked_replica candidate{mix(prefix, replicas[i].place), i};
        if (candidate.rank > first.rank) {
            second = first;
            first = candidate;
        } else if (candidate.rank > second.rank) {
            second = candidate;
        }
    }
    for (const auto &candidate : {first, second}) {
        const auto &replica = replicas[candidate.place];
        if (candidate.rank != 0 && isAvailable(replica) && scoreOf(replica, median, policy) <= bound) {
            return candidate.place;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t>
chooseReplica(const std::vector<replica_load> &replicas, std::uint64_t prefix, const routing_policy &policy, std::mt19937_64 &random)
{
    double total = 0;
    std::size_t available = 0;
    for (const auto &replica : replicas) {
        if (isAvailable(replica)) {
            total += loadOf(replica);
            ++available;
        }
    }
    if (available == 0) {
        return std::nullopt;
    }
    const auto median = medianFirstToken(replicas);
    const auto bound = policy.affinityBound * (total / static_cast<double>(available) + 1) + 1;
    if (prefix != 0) {
        if (const auto cached = bestForPrefix(replicas, prefix, bound, median, policy)) {
            return cached;
        }
    }
    // Two random ones, the better of them; where few are available, the scan goes on from the random place.
    std::uniform_int_distribution<std::size_t> anyPlace(0, replicas.size() - 1);
    std::optional<std::size_t> chosen;
    for (int choice = 0; choice < 2; ++choice) {
        auto place = anyPlace(random);
        while (!isAvailable(replicas[place])) {
            place = (place + 1) % replicas.size();
        }
        if (!chosen || scoreOf(replicas[place], median, policy) < scoreOf(replicas[*chosen], median, policy)) {
            chosen = place;
        }
    }
    return chosen;
}

std::uint64_t prefixHash(std::string_view prompt)
{
    return prompt.size() < prefixLength / 4 ? 0 : hashOf(prompt.substr(0, prefixLength));
}

} // namespace vetchpost
