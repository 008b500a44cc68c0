// SPDX-License-Identifier: Apache-2.0
// Measures the cost of a planning round on a platform whose replicas report themselves, by the number of replicas, and a daemon's cost of
// each change of the directory. At first the replicas serve in groups; then every domain loses one.
#include "Benchmarks/figure.h"
#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Entry/entry_view.h"

#include <fmt/format.h>

#include <chrono>

namespace {

using namespace vetchpost;

constexpr int rounds = 200;

engine_description makeEngine(int largeSize)
{
    engine_description engine;
    engine.slots = 25;
    engine.loadsPerSecond = 19;
    engine.concurrentLoads = 28;
    engine.formTime = duration(300);
    engine.models = {{model_id("large"), largeSize, 0.5, 1.0, duration(16000), duration(1600)},
                     {model_id("small"), largeSize / 2, 0.5, 0.6, duration(12000), duration(1100)}};
    return engine;
}

/// Fills each domain with as many large groups as fit, then small ones, and free replicas in the rest.
replica_directory makeDirectory(const engine_description &engine, int replicas, int perDomain)
{
    replica_directory directory;
    std::uint64_t formed = 0;
    for (int first = 0; first < replicas; first += perDomain) {
        int index = 0;
        while (index < perDomain) {
            const auto &model = engine.models[index + engine.models[0].size <= perDomain ? 0 : 1];
            const bool isGroup = index + model.size <= perDomain;
            formed += isGroup ? 1 : 0;
            for (int rank = 0; rank < (isGroup ? model.size : 1); ++rank, ++index) {
                served_replica replica;
                replica.id = instance_id(fmt::format("i-{:010x}", (first + index) * 7919));
                replica.service = service_id("service");
                replica.address = {"10.1.64.7", 8261};
                replica.dataCentre = data_centre_id("centre");
                replica.domain = fabric_domain_id(fmt::format("domain-{}", first / perDomain));
                replica.model = model.id;
                replica.staged = {engine.models[1].id};
                if (isGroup) {
                    replica.membership = {group_id(fmt::format("g{}", formed)),
                                          formation(formed),
                                          rank,
                                          rank == 0 ? member_state::open : member_state::ready};
                }
                directory.replicas[replica.id] = replica;
            }
        }
    }
    return directory;
}

template <class Work>
double millisecondsOf(const Work &work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work(i);
    }
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count() / rounds;
}

void measure(int replicas, int perDomain, int largeSize)
{
    const auto engine = makeEngine(largeSize);
    const service_id service("service");
    auto directory = makeDirectory(engine, replicas, perDomain);
    const std::set<instance_id> none;
    assembly_state state;
    state.term = 1;
    const auto plan = [&](int i) {
        const assembly_view view{directory, service, engine, none, false, instant(duration(1000000 + i * 150))};
        planAssembly(state, view);
        state.decisions.clear();
    };
    plan(-1);
    const auto steady = millisecondsOf(plan);
    int position = 0;
    std::erase_if(directory.replicas, [&](const auto & /*entry*/) { return position++ % perDomain == 1; });
    const auto afterLosses = millisecondsOf([&](int i) { plan(rounds + i); });
    std::size_t copied = 0;
    const auto copy = millisecondsOf([&](int /*i*/) { copied += replica_directory(directory).replicas.size(); });
    served_configuration configuration;
    configuration.services = {{service, "/health", 100, engine}};
    const auto routes = std::make_shared<const route_table>(configuration);
    entry_view_builder views;
    const auto view
        = millisecondsOf([&](int /*i*/) { copied += views.build(routes, directory, true, data_centre_id("centre"))->groups.size(); });
    fmt::print("{:>8} {:>8} {:>10.3f} {:>14.3f} {:>10.3f} {:>10.3f}\n", replicas, largeSize, steady, afterLosses, copy, view);
}

/// Measures the rounds from replicas without any weights, which all appear at once, to the last planned group. No order is answered.
void measureStart(int replicas, int perDomain, int largeSize)
{
    constexpr int maxRounds = 2000;
    constexpr duration roundTime(50);
    auto engine = makeEngine(largeSize);
    engine.loadsPerSecond = replicas / 12.0;
    const service_id service("service");
    auto directory = makeDirectory(engine, replicas, perDomain);
    for (auto &[id, replica] : directory.replicas) {
        replica.membership.reset();
        replica.model.reset();
        replica.staged.clear();
    }
    const std::set<instance_id> none;
    assembly_state state;
    state.term = 1;
    int planned = 0;
    int round = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int idle = 0; round < maxRounds && idle < 20; ++round) {
        const assembly_view view{directory, service, engine, none, true, instant(duration(1000000) + round * roundTime)};
        planAssembly(state, view);
        state.decisions.clear();
        const auto groups = static_cast<int>(state.groups.size());
        idle = groups > planned || planned == 0 ? 0 : idle + 1;
        planned = groups;
    }
    const auto time = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
    fmt::print("{:>8} {:>8} {:>10} {:>10} {:>14.1f}\n", replicas, largeSize, planned, round, time);
}

} // namespace

int main()
{
    fmt::print("milliseconds of one core\n");
    fmt::print("{:>8} {:>8} {:>10} {:>14} {:>10} {:>10}\n", "replicas", "size", "a round", "after losses", "directory", "view");
    measure(48, 8, 4);
    measure(228, 19, 8);
    measure(1400, 40, 16);
    measure(5600, 160, 16);
    fmt::print("the start from blank replicas, milliseconds of one core in all\n");
    fmt::print("{:>8} {:>8} {:>10} {:>10} {:>14}\n", "replicas", "size", "groups", "rounds", "all rounds");
    measureStart(162, 27, 12);
    measureStart(3000, 27, 12);
    measureStart(3000, 8, 4);
    return 0;
}
