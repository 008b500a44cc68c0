// SPDX-License-Identifier: Apache-2.0
// What a daemon sends to its replicas after a client has closed its connection.
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Two seconds in which the replica works on the request and sends nothing.
const std::string longWork(20, pauseMarker);
/// The daemon cancels the request at its replica within this time after the client's close, and sends nothing new to any replica
/// afterwards.
constexpr std::chrono::milliseconds cancelledWithin(500);
constexpr duration clientStays(200);
/// Shorter than the 200 ms after which a request at a silent replica is retried elsewhere: at that moment a retry and the close would race.
constexpr duration clientStaysBeforeRetry(100);

/// The time from the client's close until the replica noticed the cancellation.
std::chrono::milliseconds timeUntilCancelled(std::chrono::steady_clock::time_point closed, const scripted_replica &replica)
{
    const auto until = closed + 3 * cancelledWithin;
    while (!replica.connectionClosedAt() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(duration(10));
    }
    const auto at = replica.connectionClosedAt().value_or(std::chrono::steady_clock::time_point::max());
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - closed);
}

} // namespace

TEST_CASE("A request whose client has left is cancelled at its replica within half a second")
{
    std::string path;
    scripted_replica::script work;
    SECTION("an idempotent request without an answer yet")
    {
        path = "/again/";
        work = [](const std::string &request) { return longWork + successAnswer(request); };
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
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.addGroupHead("h-1", replica);
    fixture.start();
    fixture.sendAndCloseAfter(path, "left", clientStays);
    const auto closed = std::chrono::steady_clock::now();
    CHECK(timeUntilCancelled(closed, replica) <= cancelledWithin);
    std::this_thread::sleep_for(duration(1000));
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("No replica gets a request whose client left while another replica was rejecting it")
{
    const auto slowRefusal = [](const std::string &request) { return std::string(5, pauseMarker) + refusalAnswer(request); };
    const scripted_replica one(slowRefusal);
    const scripted_replica two(slowRefusal);
    relay_fixture fixture;
    const auto path = GENERATE(std::string("/again/"), std::string("/stream/"), std::string("/once/"));
    CAPTURE(path);
    fixture.addPlainReplica("i-1", one);
    fixture.addPlainReplica("i-2", two);
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    fixture.sendAndCloseAfter(path, "left", clientStaysBeforeRetry);
    std::this_thread::sleep_for(duration(1500));
    CHECK(one.requests().size() + two.requests().size() == 1);
}
