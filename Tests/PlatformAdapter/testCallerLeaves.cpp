// SPDX-License-Identifier: Apache-2.0
// What a daemon does at its replicas once a client has closed its connection.
#include "Tests/PlatformAdapter/relayWorld.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Two seconds in which the replica sends nothing and would work on.
const std::string longWork(20, pauseHere);
/// Within this time of the close a replica is told, and nothing new reaches one afterwards.
constexpr std::chrono::milliseconds givenUpWithin(500);
constexpr duration clientStays(200);

std::chrono::milliseconds timeUntil(std::chrono::steady_clock::time_point left, const scripted_replica &replica)
{
    const auto until = left + 3 * givenUpWithin;
    while (!replica.givenUpAt() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(duration(10));
    }
    const auto at = replica.givenUpAt().value_or(std::chrono::steady_clock::time_point::max());
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - left);
}

} // namespace

TEST_CASE("What a replica runs for a client that has gone is given up within half a second")
{
    std::string path;
    scripted_replica::script work;
    SECTION("an idempotent request without an answer yet")
    {
        path = "/again/";
        work = [](const std::string &request) { return longWork + good(request); };
    }
    SECTION("a stream before its first event")
    {
        path = "/stream/";
        work = [](const std::string &request) { return streamHead(request, "s") + longWork + chunk(event(1)) + "0\r\n\r\n"; };
    }
    SECTION("a stream between two events")
    {
        path = "/stream/";
        work = [](const std::string &request) {
            return streamHead(request, "s") + chunk(event(1)) + longWork + chunk(event(2)) + "0\r\n\r\n";
        };
    }
    const scripted_replica replica(work);
    relay_world world;
    world.addPlain("i-1", replica);
    world.addHead("h-1", replica);
    world.start();
    world.askAndLeaveAfter(path, "left", clientStays);
    const auto left = std::chrono::steady_clock::now();
    CHECK(timeUntil(left, replica) <= givenUpWithin);
    std::this_thread::sleep_for(duration(1000));
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("Nothing new reaches a replica for a client that went while its request was being rejected")
{
    const auto slowRefusal = [](const std::string &request) { return std::string(5, pauseHere) + refusalTo(request); };
    const scripted_replica one(slowRefusal);
    const scripted_replica two(slowRefusal);
    relay_world world;
    const auto path = GENERATE(std::string("/again/"), std::string("/stream/"), std::string("/once/"));
    CAPTURE(path);
    world.addPlain("i-1", one);
    world.addPlain("i-2", two);
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    world.askAndLeaveAfter(path, "left", clientStays);
    std::this_thread::sleep_for(duration(1500));
    CHECK(one.requests().size() + two.requests().size() == 1);
}
