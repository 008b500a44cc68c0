// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/router.h"

#include "Libraries/Base/digest.h"

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

/// Prompts of one use share their instructions; what follows is their own.
constexpr std::size_t prefixLength = 512;

double loadOf(const replica_load &replica)
{
    // The report lags: own work that it cannot show yet is added, and own work is a lower bound in any case.
    return std::max(replica.reported + replica.sentSince, replica.inFlight);
}

bool isAvailable(const replica_load &replica)
{
    return !replica.isExcluded && replica.inFlight < replica.limit;
}

/// What a few replicas show of all.
struct load_sample
{
    double meanLoad = 0;
    double medianFirstToken = 0;
};

load_sample sampleLoads(const replica_choices &replicas, std::mt19937_64 &random)
{
    constexpr std::size_t samples = 12;
    const auto total = replicas.places.size();
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

/// The lower the better.
double scoreOf(const replica_load &replica, double median, const routing_policy &policy)
{
    auto score = (loadOf(replica) + 1) / std::max(replica.ramp, 0.05);
    if (median > 0 && replica.firstTokenMilliseconds > policy.slowFactor * median) {
        score *= replica.firstTokenMilliseconds / median;
    }
    return score;
}

/// The replica where this prefix is most likely cached: the first two on the ring from the prefix on, so that its cache stands
/// in few places and one of them can still be passed over.
std::optional<std::size_t>
bestForPrefix(const replica_choices &replicas, std::uint64_t prefix, const load_sample &sample, const routing_policy &policy)
{
    constexpr std::size_t candidates = 2;
    const auto &places = replicas.places;
    const auto bound = policy.affinityBound * (sample.meanLoad + 1) + 1;
    const auto first = static_cast<std::size_t>(std::lower_bound(places.begin(), places.end(), prefix) - places.begin());
    for (std::size_t i = 0; i < std::min(candidates, places.size()); ++i) {
        const auto place = (first + i) % places.size();
        const auto replica = replicas.loadAt(place);
        if (isAvailable(replica) && scoreOf(replica, sample.medianFirstToken, policy) <= bound) {
            return place;
        }
    }
    return std::nullopt;
}

/// Any available replica: a few random ones are tried, then all from the last one on.
std::optional<std::size_t> anyAvailable(const replica_choices &replicas, std::mt19937_64 &random)
{
    constexpr int randomTries = 4;
    const auto total = replicas.places.size();
    std::size_t place = 0;
    for (int i = 0; i < randomTries; ++i) {
        place = random() % total;
        if (isAvailable(replicas.loadAt(place))) {
            return place;
        }
    }
    for (std::size_t i = 1; i < total; ++i) {
        if (isAvailable(replicas.loadAt((place + i) % total))) {
            return (place + i) % total;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t>
chooseReplica(const replica_choices &replicas, std::uint64_t prefix, const routing_policy &policy, std::mt19937_64 &random)
{
    if (replicas.places.empty()) {
        return std::nullopt;
    }
    const auto sample = sampleLoads(replicas, random);
    if (prefix != 0) {
        if (const auto cached = bestForPrefix(replicas, prefix, sample, policy)) {
            return cached;
        }
    }
    // Two random ones, the better of them.
    const auto first = anyAvailable(replicas, random);
    const auto second = first ? anyAvailable(replicas, random) : std::nullopt;
    if (!second) {
        return first;
    }
    const auto scoreAt = [&](std::size_t place) { return scoreOf(replicas.loadAt(place), sample.medianFirstToken, policy); };
    return scoreAt(*second) < scoreAt(*first) ? second : first;
}

std::uint64_t prefixHash(std::string_view prompt)
{
    return prompt.size() < prefixLength / 4 ? 0 : hashOf(prompt.substr(0, prefixLength));
}

} // namespace vetchpost
