// SPDX-License-Identifier: Apache-2.0
// How much of each model stays in service while replicas are lost and replaced, in the tests' model of replicas that report themselves.
// Each scenario runs with several seeds; the figures are means over time.
#include "Benchmarks/figure.h"
#include "Tests/Assembly/assemblySimulation.h"

#include <fmt/format.h>

#include <random>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr int seeds = 24;
constexpr duration sampleTime(250);
/// A leaving replica ends after this time.
constexpr duration drainTime(5000);

struct scenario
{
    const char *name;
    int domains;
    int perDomain;
    duration length;
    /// A replica of a serving group is lost so often; an empty one comes a while later.
    duration lossPeriod;
    duration replacementDelay;
    /// A whole domain is dark at this moment; never where it is zero.
    duration domainDarkAt;
    /// Replicas that are emptied and replaced by empty ones, one each second, from this moment on.
    duration releaseAt;
    int released;
};

struct outcome
{
    double large = 0;
    double small = 0;
    double lesser = 0;
    double loads = 0;
};

outcome play(const scenario &scenario, std::uint64_t seed, bool isTold)
{
    std::mt19937_64 random(seed);
    assembly_simulation world(scenario.domains, scenario.perDomain, seed);
    const auto &models = world.engine().models;
    world.heal(std::chrono::seconds(20));
    world.beginTraffic();
    world.detectDeaths();
    const auto wantedLarge = world.servingGroups(models[0].id);
    const auto wantedSmall = world.servingGroups(models[1].id);
    const auto loadsBefore = world.loadsBegun();
    std::vector<duration> arrivals;
    std::vector<std::pair<duration, instance_id>> endings;
    outcome sum;
    int samples = 0;
    duration nextLoss = scenario.lossPeriod;
    duration nextRelease = scenario.releaseAt;
    int released = 0;
    bool isDark = scenario.domainDarkAt.count() == 0;
    for (duration now{}; now < scenario.length; now += sampleTime) {
        world.advance(sampleTime);
        if (now >= nextLoss) {
            nextLoss += scenario.lossPeriod;
            const auto members = world.membersOfAnyGroup(models[random() % 3 == 0 ? 1 : 0].id, random());
            if (!members.empty()) {
                world.lose(members[random() % members.size()]);
                arrivals.push_back(now + scenario.replacementDelay);
            }
        }
        if (scenario.released > released && now >= nextRelease) {
            nextRelease += std::chrono::seconds(1);
            ++released;
            const auto members = world.membersOfAnyGroup(models[random() % 3 == 0 ? 1 : 0].id, random());
            if (!members.empty()) {
                const auto &leaving = members[random() % members.size()];
                world.drain(leaving);
                endings.emplace_back(now + drainTime, leaving);
                arrivals.push_back(now);
            }
        }
        if (!isDark && now >= scenario.domainDarkAt) {
            isDark = true;
            world.loseDomain(static_cast<int>(random() % static_cast<std::uint64_t>(scenario.domains)), std::chrono::seconds(7));
        }
        for (const auto &[when, leaving] : endings) {
            if (when <= now && when + sampleTime > now) {
                world.lose(leaving);
            }
        }
        for (auto arrival = arrivals.begin(); arrival != arrivals.end();) {
            if (*arrival <= now) {
                world.addEmpty(static_cast<int>(random() % static_cast<std::uint64_t>(scenario.domains)));
                arrival = arrivals.erase(arrival);
            } else {
                ++arrival;
            }
        }
        const auto large = std::min(1.0, static_cast<double>(world.servingGroups(models[0].id)) / wantedLarge);
        const auto small = std::min(1.0, static_cast<double>(world.servingGroups(models[1].id)) / wantedSmall);
        sum.large += large;
        sum.small += small;
        sum.lesser += std::min(large, small);
        ++samples;
        if (isTold && now % std::chrono::seconds(1) == duration()) {
            fmt::print("{:>4} {}\n", now / std::chrono::seconds(1), world.summary());
        }
    }
    if (!world.violation().empty()) {
        fmt::print("seed {}: {}\n", seed, world.violation());
    }
    return {sum.large / samples, sum.small / samples, sum.lesser / samples, static_cast<double>(world.loadsBegun() - loadsBefore)};
}

void measure(const scenario &scenario)
{
    outcome mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto one = play(scenario, seed, false);
        mean.large += one.large / seeds;
        mean.small += one.small / seeds;
        mean.lesser += one.lesser / seeds;
        mean.loads += one.loads / seeds;
    }
    fmt::print("{:<22} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.1f}\n", scenario.name, mean.large, mean.small, mean.lesser, mean.loads);
}

} // namespace

int main(int argc, char ** /*argv*/)
{
    using std::chrono::seconds;
    if (argc > 1) {
        play(scenario{"losses", 6, 8, seconds(40), duration(2900), seconds(5), {}, {}, 0}, 1, true);
        return 0;
    }
    fmt::print("part of the groups that serve: of the large model, of the small one, of the one with less; loads\n");
    for (const auto &scenario : {scenario{"losses", 6, 8, seconds(40), duration(2900), seconds(5), {}, {}, 0},
                                 scenario{"losses-domain", 6, 8, seconds(40), duration(2900), seconds(5), seconds(11), {}, 0},
                                 scenario{"losses-release", 6, 8, seconds(40), duration(2900), seconds(5), {}, seconds(15), 12},
                                 scenario{"release", 6, 8, seconds(40), seconds(1000), {}, {}, seconds(5), 20},
                                 scenario{"wide-losses", 12, 19, seconds(40), duration(1000), seconds(5), seconds(11), {}, 0}}) {
        measure(scenario);
    }
    return 0;
}
