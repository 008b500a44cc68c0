// SPDX-License-Identifier: Apache-2.0
// Capacity of two models, large groups and small ones, while replicas are lost all the time.
#include "Tests/Assembly/assemblySimulation.h"

#include <catch2/catch.hpp>

#include <random>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration step(250);
constexpr duration lossPeriod(3000);
constexpr duration replacementDelay(5000);
/// The larger model may have under half of its groups for this time while a domain has enough free replicas that are ready for it.
constexpr duration maxShortTime(3000);
constexpr int domainCount = 6;

assembly_simulation largeDomains(std::uint64_t seed)
{
    engine_description engine;
    engine.slots = 30;
    engine.loadsPerSecond = 19;
    engine.concurrentLoads = 28;
    engine.stagedPerHost = 1;
    engine.formTime = duration(300);
    engine.models = {{model_id("big"), 16, 0.45, 1.0, duration(16000), duration(1600)},
                     {model_id("small"), 4, 0.55, 0.6, duration(12000), duration(1100)}};
    assembly_simulation simulation(engine, domainCount, 37, seed);
    simulation.heal(std::chrono::seconds(20));
    simulation.beginTraffic();
    simulation.detectDeaths();
    return simulation;
}

/// Loses two replicas in every lossPeriod, one of them a member of a larger group. Returns the longest time for which the larger model had
/// under half of its groups while a domain had room for one.
duration longestShortage(assembly_simulation &simulation, std::uint64_t seed, duration time)
{
    std::mt19937_64 random(seed);
    const auto &models = simulation.engine().models;
    const auto wanted = simulation.wantedGroups(models[0].id);
    std::vector<duration> arrivals;
    duration nextLoss = lossPeriod;
    duration current{};
    duration longest{};
    for (duration now{}; now < time; now += step) {
        simulation.advance(step);
        if (now >= nextLoss) {
            nextLoss += lossPeriod;
            for (const auto &model : {models[0], models[random() % 2]}) {
                const auto members = simulation.membersOfAnyGroup(model.id, random());
                if (!members.empty()) {
                    simulation.lose(members[random() % members.size()]);
                    arrivals.push_back(now + replacementDelay);
                }
            }
        }
        std::erase_if(arrivals, [&](duration when) {
            if (when <= now) {
                simulation.addEmpty(static_cast<int>(random() % domainCount));
            }
            return when <= now;
        });
        const bool isShort = 2 * simulation.servingGroups(models[0].id) < wanted && simulation.freeAndReady(models[0].id) >= models[0].size;
        current = isShort ? current + step : duration();
        longest = std::max(longest, current);
    }
    return longest;
}

} // namespace

TEST_CASE("Under constant losses the larger model has half of its groups while a domain has room for one")
{
    const auto seed = GENERATE(1, 2, 3, 4);
    CAPTURE(seed);
    auto simulation = largeDomains(static_cast<std::uint64_t>(seed));
    CHECK(longestShortage(simulation, static_cast<std::uint64_t>(seed), std::chrono::seconds(60)) <= maxShortTime);
    CHECK(simulation.violation().empty());
    // Both models are served when the losses have ended.
    simulation.heal(std::chrono::seconds(40));
    CHECK(2 * simulation.servingGroups(simulation.engine().models[0].id) >= simulation.wantedGroups(simulation.engine().models[0].id));
    CHECK(2 * simulation.servingGroups(simulation.engine().models[1].id) >= simulation.wantedGroups(simulation.engine().models[1].id));
}

TEST_CASE("A domain that is lost during constant losses leaves the larger model with half of its groups where there is room")
{
    const auto seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    auto simulation = largeDomains(static_cast<std::uint64_t>(seed));
    longestShortage(simulation, static_cast<std::uint64_t>(seed), std::chrono::seconds(15));
    simulation.loseDomain(seed % domainCount, std::chrono::seconds(7));
    CHECK(longestShortage(simulation, static_cast<std::uint64_t>(seed) + 100, std::chrono::seconds(45)) <= maxShortTime);
    CHECK(simulation.violation().empty());
}

// Preempted groups are closing and domains are reserved when the lease is lost; the successor knows neither.
TEST_CASE("A coordinator without its lease for nine seconds leaves no preemption half done")
{
    const auto seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    auto simulation = largeDomains(static_cast<std::uint64_t>(seed));
    longestShortage(simulation, static_cast<std::uint64_t>(seed), std::chrono::seconds(20));
    simulation.loseLeaseFor(std::chrono::seconds(9));
    const auto loads = simulation.loadsBegun();
    longestShortage(simulation, static_cast<std::uint64_t>(seed) + 100, std::chrono::seconds(8));
    // The orders of the predecessor arrive within the first fraction of a second.
    CHECK(simulation.loadsBegun() - loads <= 2);
    simulation.advance(std::chrono::seconds(1));
    CHECK(longestShortage(simulation, static_cast<std::uint64_t>(seed) + 200, std::chrono::seconds(30)) <= maxShortTime);
    CHECK(simulation.violation().empty());
    simulation.heal(std::chrono::seconds(40));
    CHECK(2 * simulation.servingGroups(simulation.engine().models[0].id) >= simulation.wantedGroups(simulation.engine().models[0].id));
}
