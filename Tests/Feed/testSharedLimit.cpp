// SPDX-License-Identifier: Apache-2.0
// The bound on the requests that a replica with a rate limit receives from all daemons together, simulated with the code that the daemons
// run.
#include "Tests/Feed/limitSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration settlingTime(4000);
constexpr duration runTime(12000);
/// Requests per second at each daemon: all daemons together have more than any of the limits here allows.
constexpr double demandPerDaemon = 4;

limit_simulation settledSimulation(int daemons, double perSecond, unsigned seed = 1)
{
    limit_simulation simulation(daemons, perSecond, seed);
    simulation.advance(settlingTime);
    return simulation;
}

} // namespace

TEST_CASE("All daemons together keep to a limit and use most of it")
{
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double limit : {0.5, 1.2, 10.0, 100.0}) {
            const auto demand = std::max(2 * limit, demandPerDaemon * daemons);
            auto simulation = settledSimulation(daemons, demand);
            simulation.setNamedLimit(limit);
            simulation.advance(runTime);
            const auto most = simulation.maxFromAll();
            const auto used = simulation.arrivalsInLast(duration(8000)) / 8.0;
            std::cout << daemons << " daemons, limit " << limit << ": most in a window " << most << " of "
                      << limit_simulation::allowedRequests(limit) << ", used " << used << " a second, " << simulation.permitRequests()
                      << " questions\n";
            CHECK(most <= limit_simulation::allowedRequests(limit));
            CHECK(simulation.maxFromInformed() <= most);
            CHECK(used >= limit / 2);
            CHECK(simulation.informedDaemons() == daemons);
        }
    }
}

TEST_CASE("The limit on all daemons holds where daemons are informed late or never, suspended, disconnected or restarted")
{
    for (const int daemons : {8, 79, 195}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            for (const unsigned seed : {1U, 2U, 3U}) {
                auto simulation = settledSimulation(daemons, std::max(2 * limit, demandPerDaemon * daemons), seed);
                simulation.feed().setDatagramLoss(0.2);
                // This daemon learns of the limit only from the replica.
                simulation.feed().disconnect(daemons / 2);
                simulation.setNamedLimit(limit);
                simulation.advance(duration(1500));
                simulation.feed().suspend(daemons / 3, duration(2500));
                simulation.restart(daemons - 1);
                simulation.advance(duration(3000));
                simulation.feed().suspend(1, duration(400));
                simulation.restart(daemons / 4);
                simulation.advance(duration(5000));
                INFO(daemons << " daemons, limit " << limit << ", seed " << seed);
                CHECK(simulation.maxFromInformed() <= limit_simulation::allowedRequests(limit));
                CHECK(simulation.arrivalsInLast(duration(4000)) >= limit);
            }
        }
    }
}

TEST_CASE("The limit on all daemons holds when the source changes, also after it was suspended")
{
    for (const int daemons : {8, 79, 195}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            auto simulation = settledSimulation(daemons, std::max(2 * limit, demandPerDaemon * daemons));
            simulation.setNamedLimit(limit);
            simulation.advance(duration(4000));
            simulation.feed().stepDown(0);
            simulation.feed().makeSource(1);
            simulation.advance(duration(1500));
            simulation.feed().stepDown(1);
            simulation.feed().makeSource(2);
            simulation.advance(duration(2000));
            // The source issues permits until it is suspended, and for a moment after it resumes.
            simulation.feed().suspend(2, duration(3000));
            simulation.advance(duration(3050));
            simulation.feed().stepDown(2);
            simulation.feed().makeSource(3);
            simulation.advance(duration(4000));
            INFO(daemons << " daemons, limit " << limit);
            CHECK(simulation.maxFromInformed() <= limit_simulation::allowedRequests(limit));
            CHECK(simulation.arrivalsInLast(duration(4000)) >= limit);
        }
    }
}

TEST_CASE("All daemons follow a limit that falls, and learn of its end")
{
    for (const int daemons : {8, 79, 195}) {
        const double demand = demandPerDaemon * daemons;
        auto simulation = settledSimulation(daemons, demand);
        simulation.setNamedLimit(20);
        simulation.advance(duration(6000));
        simulation.setNamedLimit(2);
        simulation.advance(duration(8000));
        CHECK(simulation.arrivalsInLast(duration(4000)) <= limit_simulation::allowedRequests(2));
        simulation.setNamedLimit(std::nullopt);
        simulation.advance(duration(4000));
        CHECK(simulation.informedDaemons() == 0);
        CHECK(simulation.arrivalsInLast(duration(1000)) >= demand / 2);
    }
}

TEST_CASE("Without a source a daemon sends nothing to a replica with a limit")
{
    auto simulation = settledSimulation(8, 40);
    simulation.setNamedLimit(10);
    simulation.advance(duration(4000));
    simulation.feed().stepDown(0);
    simulation.advance(duration(1500));
    const auto before = simulation.arrivalsInLast(duration(100000));
    simulation.advance(duration(1000));
    CHECK(simulation.arrivalsInLast(duration(100000)) == before);
}

TEST_CASE("A departure that one daemon was informed of is known to all in time, even if datagrams are lost")
{
    constexpr duration drainTime(2000);
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double lost : {0.0, 0.2}) {
            auto simulation = settledSimulation(daemons, 0);
            simulation.feed().setDatagramLoss(lost);
            simulation.announceDeparture(daemons / 2);
            const auto time = simulation.timeUntilDepartureKnown(drainTime);
            INFO(daemons << " daemons, lost " << lost);
            REQUIRE(time);
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: a departure is known everywhere after "
                      << time->count() << " ms\n";
        }
    }
}

// Before its first request a follower only lists the entries occasionally; from then on it requests all changes since, and a departure
// comes behind them in the feed.
TEST_CASE("A departure that the source reads is known to all in time, even behind thousands of changes of other replicas")
{
    constexpr duration drainTime(2000);
    constexpr int changes = 3000;
    for (const int daemons : {79, 300}) {
        auto simulation = settledSimulation(daemons, 0);
        for (int number = 0; number < changes; ++number) {
            simulation.feed().changeReplica(changes);
        }
        simulation.readDeparture(0);
        const auto time = simulation.timeUntilDepartureKnown(drainTime);
        INFO(daemons << " daemons");
        CHECK(time);
        const auto begin = simulation.feed().now();
        while (!simulation.feed().areAllUpToDate()) {
            simulation.advance(duration(10));
        }
        std::cout << daemons << " daemons: a departure behind " << changes << " changes is known after "
                  << time.value_or(duration(-1)).count() << " ms, the last change "
                  << (simulation.feed().now() - begin + time.value_or(duration())).count() << " ms\n";
    }
}
