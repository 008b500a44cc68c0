// SPDX-License-Identifier: Apache-2.0
// How soon all daemons refuse a request after three replicas have terminated while it was there, simulated with the code that the daemons
// run.
#include "Tests/Feed/feedSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// A daemon that has been in contact with the others for this long must know the request.
constexpr duration contactTime(3000);
const request_identity crashingRequest("00112233445566778899aabbccddeeff");

feed_simulation settledSimulation(int daemons)
{
    feed_simulation simulation(daemons, 3);
    simulation.advance(duration(4000));
    simulation.resetTraffic();
    return simulation;
}

/// Records the termination of three replicas that had the request, each at a different daemon.
void endThreeReplicas(feed_simulation &simulation)
{
    for (int number = 0; number < 3; ++number) {
        simulation.endReplica(
            (number + 1) * simulation.daemons() / 4, crashingRequest, replica_end(static_cast<std::uint64_t>(number) + 1));
    }
}

} // namespace

TEST_CASE("Three ends of replicas that three daemons observed are known to all in time, even if datagrams are lost")
{
    for (const int daemons : {9, 79, 195}) {
        for (const double lost : {0.0, 0.05, 0.2}) {
            auto simulation = settledSimulation(daemons);
            simulation.setDatagramLoss(lost);
            endThreeReplicas(simulation);
            const auto time = simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime);
            INFO(daemons << " daemons, lost " << lost);
            REQUIRE(time);
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: known everywhere after " << time->count()
                      << " ms\n";
        }
    }
}

TEST_CASE("A restarted daemon learns which requests the others refuse")
{
    for (const int daemons : {9, 79, 195}) {
        auto simulation = settledSimulation(daemons);
        simulation.setDatagramLoss(0.05);
        endThreeReplicas(simulation);
        REQUIRE(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime));
        simulation.restart(daemons - 1);
        CHECK(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime));
    }
}

TEST_CASE("A restarted daemon learns again what it had itself told the others last")
{
    for (const int daemons : {9, 79, 195}) {
        auto simulation = settledSimulation(daemons);
        for (const std::uint64_t number : {1, 2, 3}) {
            simulation.endReplica(number < 3 ? 1 : daemons - 1, crashingRequest, replica_end(number));
            simulation.advance(duration(500));
        }
        REQUIRE(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime));
        simulation.restart(daemons - 1);
        CHECK(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime));
    }
}

TEST_CASE("A daemon that was suspended learns which requests the others refuse once it resumes")
{
    for (const int daemons : {9, 79, 195}) {
        auto simulation = settledSimulation(daemons);
        constexpr duration suspension(7000);
        simulation.suspend(daemons - 1, suspension);
        endThreeReplicas(simulation);
        simulation.advance(suspension + duration(1500));
        // The daemon has given its silent source up, and finds it again in the key-value service.
        simulation.makeSource(0);
        CHECK(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime - duration(1500)));
    }
}

TEST_CASE("Ends of replicas observed before the source stopped are not lost with it")
{
    for (const int daemons : {9, 79, 195}) {
        auto simulation = settledSimulation(daemons);
        simulation.endReplica(daemons / 2, crashingRequest, replica_end(1));
        simulation.endReplica(daemons - 2, crashingRequest, replica_end(2));
        simulation.advance(duration(500));
        simulation.disconnect(0);
        simulation.advance(duration(4000));
        simulation.makeSource(1);
        simulation.advance(duration(4000));
        simulation.endReplica(2, crashingRequest, replica_end(3));
        CHECK(simulation.timeUntilRefusedEverywhere(crashingRequest, contactTime));
    }
}

TEST_CASE("No suspects are sent while nothing changes, and an end that only one daemon observed is sent no further than the source")
{
    auto simulation = settledSimulation(79);
    simulation.endReplica(40, crashingRequest, replica_end(1));
    simulation.advance(duration(2000));
    simulation.resetTraffic();
    simulation.advance(duration(2000));
    const auto with = simulation.sentBy(40).datagrams;
    auto calm = settledSimulation(79);
    calm.advance(duration(2000));
    calm.resetTraffic();
    calm.advance(duration(2000));
    CHECK(with == calm.sentBy(40).datagrams);
}

TEST_CASE("A batch of suspects is decoded as it was encoded, and invalid ones are rejected")
{
    const suspect_batch list{
        true, 17, {{crashingRequest, organisation_id("o"), {replica_end(1), replica_end(18446744073709551615ULL)}, 2, duration(1234)}}};
    const auto message = decodeFeedMessage(encodeFeedMessage(list));
    REQUIRE(message);
    const auto &read = std::get<suspect_batch>(*message);
    CHECK(read.requestsAll);
    CHECK(read.upTo == 17);
    REQUIRE(read.reports.size() == 1);
    CHECK(read.reports[0].request == crashingRequest);
    CHECK(read.reports[0].organisation == organisation_id("o"));
    CHECK(read.reports[0].ends == list.reports[0].ends);
    CHECK(read.reports[0].round == 2);
    CHECK(read.reports[0].age == duration(1234));
    CHECK(std::get<suspect_ack>(*decodeFeedMessage(encodeFeedMessage(suspect_ack{9}))).upTo == 9);
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":""}]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[5]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":"a","ends":["x"]}]})"));
    CHECK_FALSE(decodeFeedMessage(R"({"kind":"suspects","list":[{"req":"a","ends":[1,2,3,4,5,6,7]}]})"));
}
