// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/fact_queries.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

/// An arrival of a client's request in a data centre while the key of its evacuation existed.
struct evacuated_arrival
{
    const platform_event *event = nullptr;
    /// Time since the store had accepted the key.
    duration after{};
};

std::vector<evacuated_arrival> arrivalsDuringEvacuations(const soak_facts &facts, const soak_bounds &bounds)
{
    std::vector<evacuated_arrival> result;
    const auto attempts = attemptsById(facts);
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what != "arrived" || attempt == attempts.end() || !isUndisturbed(facts, bounds, attempt->second->daemon, event.at)) {
            continue;
        }
        for (const auto &evacuation : facts.evacuations) {
            if (event.zone == evacuation.zone && event.at >= evacuation.writtenAt && event.at < evacuation.removedAt) {
                result.push_back({&event, event.at - evacuation.writtenAt});
            }
        }
    }
    return result;
}

} // namespace

broken_promises checkEvacuations(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    for (const auto &arrival : arrivalsDuringEvacuations(facts, bounds)) {
        if (arrival.after > bounds.evacuation) {
            broken.push_back(
                {"no request reaches an evacuated data centre",
                 fmt::format("{} in {}, {} ms after the write", arrival.event->replica.value(), arrival.event->zone, arrival.after.count()),
                 arrival.event->attempt});
        }
    }
    return broken;
}

duration longestEvacuation(const soak_facts &facts, const soak_bounds &bounds)
{
    duration longest{};
    for (const auto &arrival : arrivalsDuringEvacuations(facts, bounds)) {
        longest = std::max(longest, arrival.after);
    }
    return longest;
}

} // namespace vetchpost::test
