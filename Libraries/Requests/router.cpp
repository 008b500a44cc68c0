// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/router.h"

#include "Libraries/Base/digest.h"

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

/// Length in bytes. Prompts of the same application start with the same instructions and differ after them.
constexpr std::size_t prefixLength = 512;

double loadOf(const replica_load &replica)
{
    // The report lags behind: requests sent since then are added, and the daemon's own requests are a lower bound in any case.
    return std::max(replica.reported + replica.sentSince, replica.inFlight);
}

bool isAvailable(const replica_load &replica)
{
    return !replica.isExcluded && replica.inFlight < replica.limit;
}

/// Statistics of a sample of the replicas.
struct load_sample
{
    double meanLoad = 0;
    double medianFirstToken = 0;
};

load_sample sampleLoads(const replica_choices &replicas, std::mt19937_64 &random)
{
    constexpr std::size_t samples = 12;
    const auto total = replicas.ringPositions.size();
    const auto count = std::min(samples, total);
    const auto first = random() % total;
    const auto stride = std::max<std::size_t>(1, total / count);
    std::array<double, samples> times{};
    std::size_t timed = 0;
    std::size_t available = 0;
    double load = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto replica = replicas.loadAt((first + i * stride) % total);
        if (replica.firstTokenMilliseconds > 0) {
            times[timed++] = replica.firstTokenMilliseconds;
        }
        if (isAvailable(replica)) {
            load += loadOf(replica);
            ++available;
        }
    }
    load_sample sample;
    sample.meanLoad = available == 0 ? 0 : load / static_cast<double>(available);
    if (timed > 0) {
        auto *const middle = times.data() + timed / 2;
        std::nth_element(times.data(), middle, times.data() + timed);
        sample.medianFirstToken = *middle;
    }
    return sample;
}

/// Returns the score of a replica; lower is better. \a median is the median first-token time in milliseconds, 0 while unknown.
double scoreOf(const replica_load &replica, double median, const routing_policy &policy)
{
    auto score = (loadOf(replica) + 1) / std::max(replica.ramp, 0.05);
    if (median > 0 && replica.firstTokenMilliseconds > policy.slowFactor * median) {
        score *= replica.firstTokenMilliseconds / median;
    }
    return score;
}

/// Returns the replica where the prefix is most likely cached: one of the first two after it on the ring, so that the prefix is cached at
/// few replicas and one of them may still be skipped. Returns nothing if neither is available within the load bound.
std::optional<std::size_t>
bestForPrefix(const replica_choices &replicas, std::uint64_t prefix, const load_sample &sample, const routing_policy &policy)
{
    constexpr std::size_t candidates = 2;
    const auto &ringPositions = replicas.ringPositions;
    const auto bound = policy.affinityBound * (sample.meanLoad + 1) + 1;
    const auto first
        = static_cast<std::size_t>(std::lower_bound(ringPositions.begin(), ringPositions.end(), prefix) - ringPositions.begin());
    for (std::size_t i = 0; i < std::min(candidates, ringPositions.size()); ++i) {
        const auto index = (first + i) % ringPositions.size();
        const auto replica = replicas.loadAt(index);
        if (isAvailable(replica) && scoreOf(replica, sample.medianFirstToken, policy) <= bound) {
            return index;
        }
    }
    return std::nullopt;
}

/// Returns any available replica: a few random ones are examined, then all others, starting after the last of these. Returns nothing if
/// none is available.
std::optional<std::size_t> anyAvailable(const replica_choices &replicas, std::mt19937_64 &random)
{
    constexpr int randomPicks = 4;
    const auto total = replicas.ringPositions.size();
    std::size_t index = 0;
    for (int i = 0; i < randomPicks; ++i) {
        index = random() % total;
        if (isAvailable(replicas.loadAt(index))) {
            return index;
        }
    }
    for (std::size_t i = 1; i < total; ++i) {
        if (isAvailable(replicas.loadAt((index + i) % total))) {
            return (index + i) % total;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t>
chooseReplica(const replica_choices &replicas, std::uint64_t prefix, const routing_policy &policy, std::mt19937_64 &random)
{
    if (replicas.ringPositions.empty()) {
        return std::nullopt;
    }
    const auto sample = sampleLoads(replicas, random);
    if (prefix != 0) {
        if (const auto cached = bestForPrefix(replicas, prefix, sample, policy)) {
            return cached;
        }
    }
    // The better of two random replicas.
    const auto first = anyAvailable(replicas, random);
    const auto second = first ? anyAvailable(replicas, random) : std::nullopt;
    if (!second) {
        return first;
    }
    const auto scoreAt = [&](std::size_t index) { return scoreOf(replicas.loadAt(index), sample.medianFirstToken, policy); };
    return scoreAt(*second) < scoreAt(*first) ? second : first;
}

std::uint64_t prefixHash(std::string_view prompt)
{
    return prompt.size() < prefixLength / 4 ? 0 : hashOf(prompt.substr(0, prefixLength));
}

} // namespace vetchpost
