// SPDX-License-Identifier: Apache-2.0
// How long a request waits for a replica, and when it is retried elsewhere.
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/scriptedCoordinator.h"

using namespace vetchpost;
using namespace vetchpost::test;

// After a restart of all daemons the retry budgets are empty. A daemon that gives up an attempt at a silent replica before it checks its
// budget answers 502 although the client would have waited longer, and drops the answer that the replica was about to send. The log then
// shows "refused" after one of two attempts, with "the replica is silent" as the last attempt's reason and seconds of time left.
TEST_CASE("A slow answer is awaited if no other replica can take the request")
{
    const auto slow = [](const std::string &request) {
        std::this_thread::sleep_for(duration(1400));
        return streamHead(request, "slow") + chunk(event(1)) + "0\r\n\r\n";
    };
    const scripted_replica one(slow);
    const scripted_replica two(slow);

    SECTION("there is no other replica")
    {
        relay_fixture fixture;
        fixture.addGroupHead("h-1", one);
        fixture.start();
        const auto reply = fixture.sendRequest("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.body == event(1));
        CHECK(reply.isWhole);
    }

    SECTION("the retry budget is exhausted")
    {
        relay_fixture fixture;
        fixture.addGroupHead("h-1", one);
        fixture.addGroupHead("h-2", two);
        fixture.start(true, true);
        const auto reply = fixture.sendRequest("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.isWhole);
        CHECK(one.requests().size() + two.requests().size() == 1);
    }
}

TEST_CASE("A late answer to an idempotent request is awaited if no other replica can take the request")
{
    const auto late = [](const std::string &request) {
        std::this_thread::sleep_for(duration(600));
        return plainAnswer(request, "late");
    };
    const scripted_replica only(late);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", only);
    fixture.start();
    const auto reply = fixture.sendRequest("/again/");
    CHECK(reply.status == 200);
    CHECK(reply.body == "late");
}

namespace {

/// The number of clients' requests that the replica received; the daemon's own probes are not counted.
std::ptrdiff_t clientRequests(const scripted_replica &replica)
{
    const auto requests = replica.requests();
    return std::count_if(requests.begin(), requests.end(), [](const std::string &request) { return request.starts_with("POST "); });
}

const std::string shortPause(1, pauseMarker);
const std::string longPause(5, pauseMarker);

} // namespace

// The coordinator may warn of a stalled group because a single probe of a member was not answered in time, while a stream there merely
// pauses. A daemon with an empty retry budget that breaks off such a stream cuts an answer that the replica would have completed. The log
// then shows "broken_off" with the end "silent" and an exhausted retry budget in "no_repeat".
TEST_CASE("A stream that has begun is not broken off because of a stall warning if no other replica can resume it")
{
    const auto pausing = [](const std::string &request) {
        return streamHead(request, "one") + chunk(event(1)) + longPause + chunk(event(2)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.setCoordinator(coordinator.address());
    fixture.start(true, true);
    REQUIRE(coordinator.isFollowed());
    std::thread warning([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.sendStallWarning("h-1", fixture.peers());
        coordinator.sendStallWarning("h-2", fixture.peers());
    });
    const auto reply = fixture.sendRequest("/stream/");
    warning.join();
    CHECK(reply.status == 200);
    CHECK(reply.body == event(1) + event(2));
    CHECK(reply.isWhole);
    CHECK(clientRequests(one) + clientRequests(two) == 1);
}

// Events that follow a stall warning refute it. If the warning stayed in force, the stream would be moved to another replica at its next
// pause of a quarter of a second, which is usual in a fully loaded group, and a retry would be spent.
TEST_CASE("A stall warning that later events have refuted moves no stream")
{
    const auto pausing = [](const std::string &request) {
        std::string events;
        for (int number = 1; number <= 5; ++number) {
            events += chunk(event(number)) + shortPause;
        }
        return streamHead(request, "one") + events + longPause + chunk(event(6)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.setCoordinator(coordinator.address());
    fixture.start();
    REQUIRE(coordinator.isFollowed());
    std::thread warning([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.sendStallWarning("h-1", fixture.peers());
        coordinator.sendStallWarning("h-2", fixture.peers());
    });
    const auto reply = fixture.sendRequest("/stream/");
    warning.join();
    CHECK(reply.status == 200);
    CHECK(reply.isWhole);
    CHECK(clientRequests(one) + clientRequests(two) == 1);
}
