// SPDX-License-Identifier: Apache-2.0
// The bound on the sum that a replica with a limit gets from all daemons, by the code that the daemons run.
#include "Tests/Feed/limitWorld.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration settling(4000);
constexpr duration played(12000);
/// Requests a second for each daemon: more than any of the limits here.
constexpr double demandPerDaemon = 4;

limit_world settledWorld(int daemons, double perSecond, unsigned seed = 1)
{
    limit_world world(daemons, perSecond, seed);
    world.advance(settling);
    return world;
}

} // namespace

TEST_CASE("All daemons together keep to a limit, and use most of it")
{
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double limit : {0.5, 1.2, 10.0, 100.0}) {
            const auto demand = std::max(2 * limit, demandPerDaemon * daemons);
            auto world = settledWorld(daemons, demand);
            world.nameLimit(limit);
            world.advance(played);
            const auto most = world.mostFromAll();
            const auto used = world.reachedInLast(duration(8000)) / 8.0;
            std::cout << daemons << " daemons, limit " << limit << ": most in a window " << most << " of " << limit_world::allowed(limit)
                      << ", used " << used << " a second, " << world.questions() << " questions\n";
            CHECK(most <= limit_world::allowed(limit));
            CHECK(world.mostFromTold() <= most);
            CHECK(used >= limit / 2);
            CHECK(world.informed() == daemons);
        }
    }
}

TEST_CASE("The sum holds where daemons are told late, never, are suspended, cut off or start anew")
{
    for (const int daemons : {8, 79, 195}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            for (const unsigned seed : {1U, 2U, 3U}) {
                auto world = settledWorld(daemons, std::max(2 * limit, demandPerDaemon * daemons), seed);
                world.feed().loseDatagrams(0.2);
                // It is told by the replica alone.
                world.feed().cutOff(daemons / 2);
                world.nameLimit(limit);
                world.advance(duration(1500));
                world.feed().suspend(daemons / 3, duration(2500));
                world.restart(daemons - 1);
                world.advance(duration(3000));
                world.feed().suspend(1, duration(400));
                world.restart(daemons / 4);
                world.advance(duration(5000));
                INFO(daemons << " daemons, limit " << limit << ", seed " << seed);
                CHECK(world.mostFromTold() <= limit_world::allowed(limit));
                CHECK(world.reachedInLast(duration(4000)) >= limit);
            }
        }
    }
}

TEST_CASE("The sum holds over changes of the source, a suspended one among them")
{
    for (const int daemons : {8, 79, 195}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            auto world = settledWorld(daemons, std::max(2 * limit, demandPerDaemon * daemons));
            world.nameLimit(limit);
            world.advance(duration(4000));
            world.feed().endTerm(0);
            world.feed().elect(1);
            world.advance(duration(1500));
            world.feed().endTerm(1);
            world.feed().elect(2);
            world.advance(duration(2000));
            // It issued until it was suspended, and goes on for a moment once it wakes.
            world.feed().suspend(2, duration(3000));
            world.advance(duration(3050));
            world.feed().endTerm(2);
            world.feed().elect(3);
            world.advance(duration(4000));
            INFO(daemons << " daemons, limit " << limit);
            CHECK(world.mostFromTold() <= limit_world::allowed(limit));
            CHECK(world.reachedInLast(duration(4000)) >= limit);
        }
    }
}

TEST_CASE("The sum follows a limit that falls, and its end is known everywhere")
{
    for (const int daemons : {8, 79, 195}) {
        const double demand = demandPerDaemon * daemons;
        auto world = settledWorld(daemons, demand);
        world.nameLimit(20);
        world.advance(duration(6000));
        world.nameLimit(2);
        world.advance(duration(8000));
        CHECK(world.reachedInLast(duration(4000)) <= limit_world::allowed(2));
        world.nameLimit(std::nullopt);
        world.advance(duration(4000));
        CHECK(world.informed() == 0);
        CHECK(world.reachedInLast(duration(1000)) >= demand / 2);
    }
}

TEST_CASE("Without a source a daemon sends nothing to a replica with a limit")
{
    auto world = settledWorld(8, 40);
    world.nameLimit(10);
    world.advance(duration(4000));
    world.feed().endTerm(0);
    world.advance(duration(1500));
    const auto before = world.reachedInLast(duration(100000));
    world.advance(duration(1000));
    CHECK(world.reachedInLast(duration(100000)) == before);
}

TEST_CASE("A departure that one daemon was told of is known everywhere in time, also where datagrams are lost")
{
    constexpr duration drainTime(2000);
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double lost : {0.0, 0.2}) {
            auto world = settledWorld(daemons, 0);
            world.feed().loseDatagrams(lost);
            world.tellLeaving(daemons / 2);
            const auto time = world.allKnowLeavingAfter(drainTime);
            INFO(daemons << " daemons, lost " << lost);
            REQUIRE(time);
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: a departure is known everywhere after "
                      << time->count() << " ms\n";
        }
    }
}

// Before the first request followers list the entries now and then; with it they want all that has changed since, and a departure stands
// behind that in the feed.
TEST_CASE("A departure that the source reads is known everywhere in time, behind thousands of changes of other replicas")
{
    constexpr duration drainTime(2000);
    constexpr int changes = 3000;
    for (const int daemons : {79, 300}) {
        auto world = settledWorld(daemons, 0);
        for (int number = 0; number < changes; ++number) {
            world.feed().change(changes);
        }
        world.readDeparture(0);
        const auto time = world.allKnowLeavingAfter(drainTime);
        INFO(daemons << " daemons");
        CHECK(time);
        const auto begin = world.feed().now();
        while (!world.feed().haveAllChanges()) {
            world.advance(duration(10));
        }
        std::cout << daemons << " daemons: a departure behind " << changes << " changes is known after "
                  << time.value_or(duration(-1)).count() << " ms, the last change "
                  << (world.feed().now() - begin + time.value_or(duration())).count() << " ms\n";
    }
}
