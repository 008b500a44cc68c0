// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// With the assumed 350 daemons, a daemon may send a cold replica a request every 26 s at the first rate, and every 100 ms at the second.
constexpr int lowRate = 23;
constexpr int highRate = 3500;

std::string served(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

std::string servedCold(const std::string &request)
{
    auto head = streamHead(request, "s");
    head.insert(head.size() - 2, "Cold-Ms: 1000\r\nCold-Ms: 3000\r\n");
    return head + chunk(event(1)) + "0\r\n\r\n";
}

/// Sends requests one after another. Returns how many were served, and the longest time that one of them took.
std::pair<int, duration> sendRequests(const relay_fixture &fixture, int count)
{
    int served = 0;
    duration longest{};
    for (int number = 0; number < count; ++number) {
        const auto sent = monotonicNow();
        served += fixture.sendRequest("/stream/", "good", "a" + std::to_string(number)).status == 200 ? 1 : 0;
        longest = std::max(longest, monotonicNow() - sent);
    }
    return {served, longest};
}

} // namespace

// Guards against requests that wait for a cold replica while another one is open.
TEST_CASE("A cold replica is passed over without a wait while another one is open")
{
    const scripted_replica cold(served);
    const scripted_replica warm(served);
    relay_fixture fixture;
    fixture.setColdRate(lowRate);
    fixture.addGroupHead("h-1", cold, 10000);
    fixture.addGroupHead("h-2", warm);
    fixture.start();
    const auto [count, longest] = sendRequests(fixture, 30);
    CHECK(count == 30);
    CHECK(longest < duration(100));
    CHECK(cold.requests().size() <= 1);
}

// Guards against requests that are refused although a cold replica takes them within the objective, and that all go to one replica.
TEST_CASE("If all replicas are cold, requests wait for their turns and are spread over them")
{
    const scripted_replica one(served);
    const scripted_replica two(served);
    relay_fixture fixture;
    fixture.setColdRate(highRate);
    fixture.addGroupHead("h-1", one, 20000);
    fixture.addGroupHead("h-2", two, 20000);
    fixture.start();
    const auto begin = monotonicNow();
    CHECK(sendRequests(fixture, 20).first == 20);
    // 20 turns of two replicas, each every 100 ms.
    CHECK(monotonicNow() - begin > duration(750));
    CHECK(one.requests().size() >= 8);
    CHECK(two.requests().size() >= 8);
}

// Guards against a request that waits for nothing, and a retry-after time that is not true.
TEST_CASE("If no cold replica takes a request within its objective, it is refused at once with the time at which one does")
{
    const scripted_replica one(served);
    relay_fixture fixture;
    fixture.setColdRate(lowRate);
    fixture.addGroupHead("h-1", one, 3000);
    fixture.start();
    const auto started = monotonicNow();
    auto refused = fixture.sendRequest("/stream/", "good", "a1");
    if (refused.status == 200) {
        // The random first turn was within the objective.
        refused = fixture.sendRequest("/stream/", "good", "a2");
    }
    CHECK(refused.status == 503);
    CHECK(monotonicNow() - started < duration(250));
    const auto retryAfter = std::stod(refused.header("Retry-After"));
    CHECK(retryAfter <= 4.5);
    std::this_thread::sleep_for(duration(static_cast<std::int64_t>(retryAfter * 1000)));
    CHECK(sendRequests(fixture, 10).first == 10);
}

// Guards against a daemon that is not told by entries that a replica has become cold.
TEST_CASE("The header of an answer makes a replica cold, also if it is given twice")
{
    const scripted_replica cold(servedCold);
    const scripted_replica warm(served);
    relay_fixture fixture;
    fixture.setColdRate(lowRate);
    fixture.addGroupHead("h-1", cold);
    fixture.addGroupHead("h-2", warm);
    fixture.start();
    CHECK(sendRequests(fixture, 20).first == 20);
    CHECK(cold.requests().size() <= 2);
    CHECK(warm.requests().size() >= 18);
}

// Guards against pacing in deployments that do not ask for it.
TEST_CASE("Without settings or without a cold rate, cold times have no effect")
{
    const bool isPaced = GENERATE(false, true);
    const scripted_replica one(servedCold);
    relay_fixture fixture;
    fixture.setColdRate(isPaced ? 0 : lowRate, isPaced);
    fixture.addGroupHead("h-1", one, 10000);
    fixture.start();
    const auto [count, longest] = sendRequests(fixture, 10);
    CHECK(count == 10);
    CHECK(longest < duration(100));
}
