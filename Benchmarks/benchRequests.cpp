// SPDX-License-Identifier: Apache-2.0
// Compares the daemon's decisions on requests, in virtual time, with a naive gateway that picks a random replica, serves first come first
// served and retries blindly.
#include "Benchmarks/figure.h"
#include "Benchmarks/requestModel.h"
#include "Libraries/Base/digest.h"
#include "Libraries/Requests/limit_split.h"
#include "Libraries/Requests/router.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

namespace {

using namespace vetchpost;
using namespace vetchpost::bench;

model_options withLoad(double capacityFactor)
{
    model_options options;
    const auto rate = capacityFactor * capacityOf(options);
    // The highest priority gets at most a tenth of the capacity as load. One organisation of the lowest priority sends most of the rest.
    const auto top = std::min(0.1 * capacityOf(options), rate * 0.2);
    options.loads = {{5, 1, top}, {1, 4, (rate - top) * 0.25}, {1, 1, (rate - top) * 0.75}};
    return options;
}

model_result run(model_options options, bool isNaive)
{
    options.isNaive = isNaive;
    return runRequests(options);
}

void compareFirstToken(const std::string &name, const model_options &options)
{
    const auto ours = run(options, false);
    const auto naive = run(options, true);
    fmt::print("{}: prefix hits {:.1f}% of dispatched, naive {:.1f}%\n",
               name,
               100 * ours.hits / ours.dispatched,
               100 * naive.hits / naive.dispatched);
    printFigure({name, ours.firstTokenP95(), "ms", naive.firstTokenP95(), {}});
}

void compareGoodput(double capacityFactor)
{
    const auto options = withLoad(capacityFactor);
    const auto reachable = std::min(capacityFactor, 1.0) * capacityOf(options) * static_cast<double>(options.length.count()) / 1000;
    const auto ours = run(options, false);
    const auto naive = run(options, true);
    printFigure({fmt::format("goodput_{:g}x", capacityFactor), ours.good() / reachable, "of_reachable", naive.good() / reachable, {}});
    if (capacityFactor != 1.5) {
        return;
    }
    const auto unloaded = run(withLoad(0.3), false).firstTokenP95(0);
    printFigure({"top_priority_p95_1.5x", ours.firstTokenP95(0), "ms", naive.firstTokenP95(0), unloaded});
    printFigure({"work_per_accepted",
                 ours.dispatched / ours.accepted,
                 "tries",
                 naive.dispatched / (naive.loads[0].offered + naive.loads[1].offered + naive.loads[2].offered),
                 {}});
    // Jain's fairness index of the tokens per weight of two organisations of the same priority, whose demand always exceeds their
    // share.
    auto fairnessOptions = options;
    fairnessOptions.loads = {{1, 4, capacityOf(options)}, {1, 1, capacityOf(options)}};
    const auto jainIndex = [](const model_result &result) {
        const auto first = result.loads[0].tokens / 4;
        const auto second = result.loads[1].tokens / 1;
        return (first + second) * (first + second) / (2 * (first * first + second * second));
    };
    printFigure({"fairness", jainIndex(run(fairnessOptions, false)), "jain", jainIndex(run(fairnessOptions, true)), {}});
}

void measureRouteChoice()
{
    constexpr std::size_t replicas = 1400;
    constexpr int choices = 20000;
    std::vector<replica_load> loads;
    for (std::size_t i = 0; i < replicas; ++i) {
        replica_load load;
        load.reported = static_cast<int>(i % 17);
        load.limit = 64;
        load.firstTokenMilliseconds = 100 + static_cast<double>(i % 50);
        loads.push_back(load);
    }
    std::vector<std::uint64_t> places;
    for (std::size_t i = 0; i < replicas; ++i) {
        places.push_back(hashOf(std::to_string(i)));
    }
    std::sort(places.begin(), places.end());
    const replica_choices all{places, [&](std::size_t place) { return loads[place]; }};
    std::mt19937_64 random(1);
    std::size_t sum = 0;
    const auto started = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        sum += *chooseReplica(all, random(), {}, random);
    }
    const auto ours = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started).count() / choices;
    // The naive method with the same information: a linear search for the least loaded replica.
    const auto naiveStarted = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        sum += static_cast<std::size_t>(
            std::min_element(loads.begin(), loads.end(), [](const auto &left, const auto &right) { return left.reported < right.reported; })
            - loads.begin());
        loads[sum % replicas].reported = static_cast<int>(random() % 17);
    }
    const auto naive = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - naiveStarted).count() / choices;
    printFigure({"route_choice_us", ours, "us", naive, {}});
}

/// Splits an organisation's limit between nine daemons whose demands differ and change, by the demands of the previous round. Returns
/// which share of the usable limit is used.
double usedShare(limit_split rule)
{
    constexpr std::size_t daemons = 9;
    constexpr double limit = 1000;
    std::mt19937_64 random(3);
    std::vector<daemon_demand> known(daemons);
    double used = 0;
    double usable = 0;
    for (int round = 0; round < 500; ++round) {
        std::vector<daemon_demand> demands;
        double total = 0;
        for (std::size_t i = 0; i < daemons; ++i) {
            // The clients' load balancer distributes unevenly, and the imbalance shifts over time.
            const auto imbalance = 1 + 4 * std::pow(std::sin(static_cast<double>(i) + round / 40.0), 2);
            demands.push_back({imbalance * (50 + static_cast<double>(random() % 50)), 1.0 + static_cast<double>(i % 3)});
            total += demands.back().tokensPerSecond;
        }
        const auto parts = splitLimit(limit, known, rule);
        for (std::size_t i = 0; i < daemons; ++i) {
            used += std::min(parts[i], demands[i].tokensPerSecond);
        }
        usable += std::min(limit, total);
        known = demands;
    }
    return used / usable;
}

} // namespace

int main()
{
    auto skewed = withLoad(0.7);
    compareFirstToken("first_token_p95_skewed", skewed);
    auto slow = withLoad(0.6);
    slow.slowReplica = 3;
    compareFirstToken("first_token_p95_slow_replica", slow);
    for (const auto capacityFactor : {0.8, 1.5, 3.0}) {
        compareGoodput(capacityFactor);
    }
    measureRouteChoice();
    const auto equal = usedShare(limit_split::equal);
    printFigure({"limit_split_by_demand", usedShare(limit_split::by_demand), "of_usable", equal, {}});
    printFigure({"limit_split_weighted", usedShare(limit_split::weighted), "of_usable", equal, {}});
    return 0;
}
