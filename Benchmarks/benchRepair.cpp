// SPDX-License-Identifier: Apache-2.0
// Measures which share of each model's groups stays in service while replicas are lost and replaced, in the tests' simulation of replicas
// that report themselves. Each scenario runs with several seeds; the results are means over time and seeds.
#include "Benchmarks/figure.h"
#include "Tests/Assembly/assemblySimulation.h"

#include <fmt/format.h>

#include <random>

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
};

struct outcome
{
    double large = 0;
    double small = 0;
    double lower = 0;
    double loads = 0;
};

outcome simulate(const scenario &scenario, std::uint64_t seed, bool printsProgress)
{
    std::mt19937_64 random(seed);
    assembly_simulation simulation(scenario.domains, scenario.perDomain, seed);
    const auto &models = simulation.engine().models;
    simulation.heal(std::chrono::seconds(20));
    simulation.beginTraffic();
    simulation.detectDeaths();
    const auto wantedLarge = simulation.servingGroups(models[0].id);
    const auto wantedSmall = simulation.servingGroups(models[1].id);
    const auto loadsBefore = simulation.loadsBegun();
    std::vector<duration> arrivals;
    std::vector<std::pair<duration, instance_id>> departures;
    outcome sum;
    int samples = 0;
    duration nextLoss = scenario.lossPeriod;
    duration nextRelease = scenario.releaseAt;
    int released = 0;
    bool isOutageHandled = scenario.domainOutageAt.count() == 0;
    for (duration now{}; now < scenario.length; now += sampleInterval) {
        simulation.advance(sampleInterval);
        if (now >= nextLoss) {
            nextLoss += scenario.lossPeriod;
            const auto members = simulation.membersOfAnyGroup(models[random() % 3 == 0 ? 1 : 0].id, random());
            if (!members.empty()) {
                simulation.lose(members[random() % members.size()]);
                arrivals.push_back(now + scenario.replacementDelay);
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
        ++samples;
        if (printsProgress && now % std::chrono::seconds(1) == duration()) {
            fmt::print("{:>4} {}\n", now / std::chrono::seconds(1), simulation.summary());
        }
    }
    if (!simulation.violation().empty()) {
        fmt::print("seed {}: {}\n", seed, simulation.violation());
    }
    return {sum.large / samples, sum.small / samples, sum.lower / samples, static_cast<double>(simulation.loadsBegun() - loadsBefore)};
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
    }
    fmt::print("{:<22} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.1f}\n", scenario.name, mean.large, mean.small, mean.lower, mean.loads);
}

} // namespace

int main(int argc, char ** /*argv*/)
{
    using std::chrono::seconds;
    if (argc > 1) {
        simulate(scenario{"losses", 6, 8, seconds(40), duration(2900), seconds(5), {}, {}, 0}, 1, true);
        return 0;
    }
    fmt::print("share of the groups that serve: large model, small model, the lower of the two; number of model loads\n");
    for (const auto &scenario : {scenario{"losses", 6, 8, seconds(40), duration(2900), seconds(5), {}, {}, 0},
                                 scenario{"losses-domain", 6, 8, seconds(40), duration(2900), seconds(5), seconds(11), {}, 0},
                                 scenario{"losses-release", 6, 8, seconds(40), duration(2900), seconds(5), {}, seconds(15), 12},
                                 scenario{"release", 6, 8, seconds(40), seconds(1000), {}, {}, seconds(5), 20},
                                 scenario{"wide-losses", 12, 19, seconds(40), duration(1000), seconds(5), seconds(11), {}, 0}}) {
        measure(scenario);
    }
    return 0;
}
