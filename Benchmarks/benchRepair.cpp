// SPDX-License-Identifier: Apache-2.0
// Measures which share of each model's groups stays in service while replicas are lost and replaced, in the tests' simulation of replicas
// that report themselves. Each scenario runs with several seeds; the results are means over time and seeds.
#include "Benchmarks/figure.h"
#include "Tests/Assembly/assemblySimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string_view>
#include <vector>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr int seedCount = 24;
constexpr duration sampleInterval(250);
/// Time from the start of draining a replica to its end.
constexpr duration drainTime(5000);

struct scenario
{
    const char *name;
    int domains;
    int perDomain;
    duration length;
    /// Interval at which a replica of a serving group is lost; an empty replacement arrives after replacementDelay.
    duration lossPeriod;
    duration replacementDelay;
    /// Time at which a whole fabric domain fails; zero for never.
    duration domainOutageAt;
    /// Time from which replicas are drained and replaced by empty ones, one per second.
    duration releaseAt;
    int releaseCount;
    /// Replicas that are lost at a time; the first of them belongs to a group of the larger model if `isLargeLost`.
    int lossCount = 1;
    bool isLargeLost = false;
    /// Group sizes and share of the larger model; the usual ones of the simulation if 0.
    int largeSize = 0;
    int smallSize = 0;
    double largeShare = 0;
    int concurrentLoads = 0;
    /// Whether the hosts hold only the weights of the model that they run when the losses begin.
    bool isUnprepared = false;
};

struct outcome
{
    double large = 0;
    double small = 0;
    double lower = 0;
    double loads = 0;
    /// Seconds in which the larger model had less than half of its groups, and the same after it had been so for 3 s while a domain had
    /// enough free replicas that were ready for it.
    double underHalf = 0;
    double overdue = 0;
    /// Replicas in no group, mean over time.
    double idle = 0;
};

engine_description engineFor(const scenario &scenario)
{
    engine_description engine;
    engine.slots = 30;
    engine.loadsPerSecond = scenario.concurrentLoads / 1.5;
    engine.concurrentLoads = scenario.concurrentLoads;
    engine.stagedPerHost = 1;
    engine.formTime = duration(300);
    engine.models = {{model_id("big"), scenario.largeSize, scenario.largeShare, 1.0, duration(16000), duration(1600)},
                     {model_id("small"), scenario.smallSize, 1 - scenario.largeShare, 0.6, duration(12000), duration(1100)}};
    return engine;
}

assembly_simulation simulationOf(const scenario &scenario, std::uint64_t seed)
{
    return scenario.largeSize == 0 ? assembly_simulation(scenario.domains, scenario.perDomain, seed)
                                   : assembly_simulation(engineFor(scenario), scenario.domains, scenario.perDomain, seed);
}

outcome simulate(const scenario &scenario, std::uint64_t seed, bool printsProgress)
{
    std::mt19937_64 random(seed);
    auto simulation = simulationOf(scenario, seed);
    const auto &models = simulation.engine().models;
    simulation.heal(std::chrono::seconds(20));
    simulation.beginTraffic();
    if (printsProgress) {
        simulation.printDecisions();
    }
    simulation.detectDeaths();
    if (scenario.isUnprepared) {
        simulation.evictOtherWeights();
    }
    const auto wantedLarge = simulation.servingGroups(models[0].id);
    const auto wantedSmall = simulation.servingGroups(models[1].id);
    const auto loadsBefore = simulation.loadsBegun();
    std::vector<duration> arrivals;
    std::vector<std::pair<duration, instance_id>> departures;
    outcome sum;
    int samples = 0;
    duration underHalfFor{};
    duration roomFor{};
    duration nextLoss = scenario.lossPeriod;
    duration nextRelease = scenario.releaseAt;
    int released = 0;
    bool isOutageHandled = scenario.domainOutageAt.count() == 0;
    for (duration now{}; now < scenario.length; now += sampleInterval) {
        simulation.advance(sampleInterval);
        if (now >= nextLoss) {
            nextLoss += scenario.lossPeriod;
            for (int i = 0; i < scenario.lossCount; ++i) {
                const auto isLarge = scenario.isLargeLost ? i == 0 : random() % 3 != 0;
                const auto members = simulation.membersOfAnyGroup(models[isLarge ? 0 : 1].id, random());
                if (!members.empty()) {
                    simulation.lose(members[random() % members.size()]);
                    arrivals.push_back(now + scenario.replacementDelay);
                }
            }
        }
        if (scenario.releaseCount > released && now >= nextRelease) {
            nextRelease += std::chrono::seconds(1);
            ++released;
            const auto members = simulation.membersOfAnyGroup(models[random() % 3 == 0 ? 1 : 0].id, random());
            if (!members.empty()) {
                const auto &leaving = members[random() % members.size()];
                simulation.drain(leaving);
                departures.emplace_back(now + drainTime, leaving);
                arrivals.push_back(now);
            }
        }
        if (!isOutageHandled && now >= scenario.domainOutageAt) {
            isOutageHandled = true;
            simulation.loseDomain(static_cast<int>(random() % static_cast<std::uint64_t>(scenario.domains)), std::chrono::seconds(7));
        }
        for (const auto &[when, leaving] : departures) {
            if (when <= now && when + sampleInterval > now) {
                simulation.lose(leaving);
            }
        }
        for (auto arrival = arrivals.begin(); arrival != arrivals.end();) {
            if (*arrival <= now) {
                simulation.addEmpty(static_cast<int>(random() % static_cast<std::uint64_t>(scenario.domains)));
                arrival = arrivals.erase(arrival);
            } else {
                ++arrival;
            }
        }
        const auto large = std::min(1.0, static_cast<double>(simulation.servingGroups(models[0].id)) / wantedLarge);
        const auto small = std::min(1.0, static_cast<double>(simulation.servingGroups(models[1].id)) / wantedSmall);
        sum.large += large;
        sum.small += small;
        sum.lower += std::min(large, small);
        sum.idle += simulation.idleReplicas();
        underHalfFor = 2 * simulation.servingGroups(models[0].id) < wantedLarge ? underHalfFor + sampleInterval : duration();
        const auto isRoom = simulation.freeAndReady(models[0].id) >= models[0].size;
        roomFor = isRoom && underHalfFor > duration() ? roomFor + sampleInterval : duration();
        constexpr double sampleSeconds = std::chrono::duration<double>(sampleInterval).count();
        sum.underHalf += underHalfFor > duration() ? sampleSeconds : 0;
        sum.overdue += roomFor > std::chrono::seconds(3) ? sampleSeconds : 0;
        ++samples;
        if (printsProgress && now % std::chrono::seconds(1) == duration()) {
            fmt::print("{:>4}{} {}\n", now / std::chrono::seconds(1), roomFor > std::chrono::seconds(3) ? "!" : " ", simulation.summary());
        }
    }
    if (!simulation.violation().empty()) {
        fmt::print("seed {}: {}\n", seed, simulation.violation());
    }
    return {sum.large / samples,
            sum.small / samples,
            sum.lower / samples,
            static_cast<double>(simulation.loadsBegun() - loadsBefore),
            sum.underHalf,
            sum.overdue,
            sum.idle / samples};
}

void measure(const scenario &scenario)
{
    outcome mean;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto one = simulate(scenario, seed, false);
        mean.large += one.large / seedCount;
        mean.small += one.small / seedCount;
        mean.lower += one.lower / seedCount;
        mean.loads += one.loads / seedCount;
        mean.underHalf += one.underHalf / seedCount;
        mean.overdue += one.overdue / seedCount;
        mean.idle += one.idle / seedCount;
    }
    fmt::print("{:<22} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.1f} {:>7.2f} {:>7.2f} {:>7.1f}\n",
               scenario.name,
               mean.large,
               mean.small,
               mean.lower,
               mean.loads,
               mean.underHalf,
               mean.overdue,
               mean.idle);
}

} // namespace

int main(int argc, char **argv)
{
    using std::chrono::seconds;
    const std::vector<scenario> scenarios{
        {"losses", 6, 8, seconds(40), duration(2900), seconds(5), {}, {}, 0},
        {"losses-domain", 6, 8, seconds(40), duration(2900), seconds(5), seconds(11), {}, 0},
        {"losses-release", 6, 8, seconds(40), duration(2900), seconds(5), {}, seconds(15), 12},
        {"release", 6, 8, seconds(40), seconds(1000), {}, {}, seconds(5), 20},
        {"wide-losses", 12, 19, seconds(40), duration(1000), seconds(5), seconds(11), {}, 0},
        {"pair-losses", 6, 37, seconds(90), duration(3000), seconds(5), {}, {}, 0, 2, true, 16, 4, 0.45, 28},
        {"pair-losses-few-loads", 6, 37, seconds(90), duration(3000), seconds(5), {}, {}, 0, 2, true, 16, 4, 0.45, 6},
        {"pair-losses-cold", 6, 37, seconds(90), duration(3000), seconds(5), {}, {}, 0, 2, true, 16, 4, 0.45, 28, true},
        {"pair-losses-domain", 6, 37, seconds(90), duration(3000), seconds(5), seconds(21), {}, 0, 2, true, 16, 4, 0.45, 28},
        {"pair-losses-eights", 9, 18, seconds(90), duration(3000), seconds(5), {}, {}, 0, 2, true, 8, 2, 0.6, 28},
    };
    if (argc > 1) {
        const auto chosen = std::find_if(
            scenarios.begin(), scenarios.end(), [&](const scenario &entry) { return entry.name == std::string_view(argv[1]); });
        if (chosen == scenarios.end()) {
            fmt::print(stderr, "no scenario {}\n", argv[1]);
            return 2;
        }
        if (argc > 2) {
            simulate(*chosen, std::strtoull(argv[2], nullptr, 10), true);
        } else {
            measure(*chosen);
        }
        return 0;
    }
    fmt::print("share of the groups that serve: large model, small model, the lower of the two; number of model loads; seconds with under\n"
               "half of the larger model's groups, and those over 3 s after a domain had room for one; replicas in no group\n");
    for (const auto &scenario : scenarios) {
        measure(scenario);
    }
    return 0;
}
