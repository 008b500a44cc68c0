// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration betweenRequests(30);

std::string backoffRefusal(const std::string &request, const std::string &seconds)
{
    return fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nRetry-After: {}\r\nContent-Length: 0\r\n\r\n",
        headerOf(request, "Attempt-Id"),
        seconds);
}

std::string served(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// The script of a replica that rejects every request and asks for a backoff of this many seconds.
scripted_replica::script backingOff(const std::string &seconds)
{
    return [seconds](const std::string &request) { return backoffRefusal(request, seconds); };
}

} // namespace

TEST_CASE("A replica that asks for a backoff gets no request from the daemon in that time, and the next one after it")
{
    const scripted_replica one(backingOff("2"));
    const scripted_replica two(served);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    const auto sendRequests = [&](duration time) {
        const auto end = monotonicNow() + time;
        for (int number = 0; monotonicNow() < end; ++number) {
            CHECK(fixture.sendRequest("/stream/", "good", "a" + std::to_string(number)).status == 200);
            std::this_thread::sleep_for(betweenRequests);
        }
    };
    sendRequests(duration(1800));
    CHECK(one.requests().size() == 1);
    sendRequests(duration(700));
    CHECK(one.requests().size() == 2);
}

TEST_CASE("If all replicas asked for a backoff, a request is refused at once, to be retried when the first backoff ends")
{
    const scripted_replica one(backingOff("1.5"));
    const scripted_replica two(backingOff("3"));
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    const auto first = fixture.sendRequest("/stream/", "good", "a1");
    CHECK(first.status == 503);
    const auto asked = monotonicNow();
    const auto second = fixture.sendRequest("/stream/", "good", "a2");
    CHECK(second.status == 503);
    CHECK(monotonicNow() - asked < duration(100));
    const auto retryAfter = std::stod(second.header("Retry-After"));
    CHECK(retryAfter > 1.2);
    CHECK(retryAfter < 2.2);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() == 1);
}
