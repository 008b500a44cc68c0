// SPDX-License-Identifier: Apache-2.0
// How soon all daemons refuse a request under which three replicas have ended, by the code that the daemons run.
#include "Tests/Feed/feedWorld.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Whoever has been in contact for so long has to know.
constexpr duration contactTime(3000);
const request_identity deadly("00112233445566778899aabbccddeeff");

feed_world settledWorld(int daemons)
{
    feed_world world(daemons, 3);
    world.advance(duration(4000));
    world.resetTraffic();
    return world;
}

/// Three replicas end, each under a request of another daemon.
void endThree(feed_world &world)
{
    for (int number = 0; number < 3; ++number) {
        world.endReplica((number + 1) * world.daemons() / 4, deadly, replica_end(static_cast<std::uint64_t>(number) + 1));
    }
}

} // namespace

TEST_CASE("Three ends that three daemons have seen are known everywhere in time, also where datagrams are lost")
{
    for (const int daemons : {9, 79, 195}) {
        for (const double lost : {0.0, 0.05, 0.2}) {
            auto world = settledWorld(daemons);
            world.loseDatagrams(lost);
            endThree(world);
            const auto time = world.refusedEverywhereAfter(deadly, contactTime);
            INFO(daemons << " daemons, lost " << lost);
            REQUIRE(time);
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: known everywhere after " << time->count()
                      << " ms\n";
        }
    }
}

TEST_CASE("A daemon that starts anew learns what the others refuse")
{
    for (const int daemons : {9, 79, 195}) {
        auto world = settledWorld(daemons);
        world.loseDatagrams(0.05);
        endThree(world);
        REQUIRE(world.refusedEverywhereAfter(deadly, contactTime));
        world.restart(daemons - 1);
        CHECK(world.refusedEverywhereAfter(deadly, contactTime));
    }
}

TEST_CASE("A daemon that was suspended meanwhile learns it after it has woken")
{
    for (const int daemons : {9, 79, 195}) {
        auto world = settledWorld(daemons);
        constexpr duration suspension(7000);
        world.suspend(daemons - 1, suspension);
        endThree(world);
        world.advance(suspension + duration(1500));
        // It has found its source silent, and finds it again in the key-value service.
        world.elect(0);
        CHECK(world.refusedEverywhereAfter(deadly, contactTime - duration(1500)));
    }
}

TEST_CASE("What was seen before the source ended is not lost with it")
{
    for (const int daemons : {9, 79, 195}) {
        auto world = settledWorld(daemons);
        world.endReplica(daemons / 2, deadly, replica_end(1));
        world.endReplica(daemons - 2, deadly, replica_end(2));
        world.advance(duration(500));
        world.cutOff(0);
        world.advance(duration(4000));
        world.elect(1);
        world.advance(duration(4000));
        world.endReplica(2, deadly, replica_end(3));
        CHECK(world.refusedEverywhereAfter(deadly, contactTime));
    }
}

TEST_CASE("Nothing is sent of suspects while nothing changes, and one end that nobody shares goes no further than the source")
{
    auto world = settledWorld(79);
    world.endReplica(40, deadly, replica_end(1));
    world.advance(duration(2000));
    world.resetTraffic();
    world.advance(duration(2000));
    const auto with = world.sentBy(40).datagrams;
    auto calm = settledWorld(79);
    calm.advance(duration(2000));
    calm.resetTraffic();
    calm.advance(duration(2000));
    CHECK(with == calm.sentBy(40).datagrams);
}

TEST_CASE("A list of suspects is read as it was written, and what is none is not taken")
{
    const suspect_list list{
        true, 17, {{deadly, organisation_id("o"), {replica_end(1), replica_end(18446744073709551615ULL)}, 2, duration(1234)}}};
    const auto message = decodeFeedMessage(encodeFeedMessage(list));
    REQUIRE(message);
    const auto &read = std::get<suspect_list>(*message);
    CHECK(read.isFirst);
    CHECK(read.upTo == 17);
    REQUIRE(read.reports.size() == 1);
    CHECK(read.reports[0].request == deadly);
    CHECK(read.reports[0].organisation == organisation_id("o"));
    CHECK(read.reports[0].ends == list.reports[0].ends);
    CHECK(read.reports[0].round == 2);
    CHECK(read.reports[0].age == duration(1234));
    CHECK(std::get<suspect_receipt>(*decodeFeedMessage(encodeFeedMessage(suspect_receipt{9}))).upTo == 9);
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":""}]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[5]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":"a","ends":["x"]}]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":"a","ends":[1,2,3,4,5,6,7]}]})"));
}
