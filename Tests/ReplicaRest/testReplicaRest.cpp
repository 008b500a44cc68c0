// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayWorld.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration betweenRequests(30);

std::string restingRefusal(const std::string &request, const std::string &seconds)
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

/// Rejects every request and asks for rest.
scripted_replica::script resting(const std::string &seconds)
{
    return [seconds](const std::string &request) { return restingRefusal(request, seconds); };
}

} // namespace

TEST_CASE("A replica that asks for rest gets nothing more from its daemon in that time, and something after it")
{
    const scripted_replica one(resting("2"));
    const scripted_replica two(served);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto play = [&](duration time) {
        const auto end = monotonicNow() + time;
        for (int number = 0; monotonicNow() < end; ++number) {
            CHECK(world.ask("/stream/", "good", "a" + std::to_string(number)).status == 200);
            std::this_thread::sleep_for(betweenRequests);
        }
    };
    play(duration(1800));
    CHECK(one.requests().size() == 1);
    play(duration(700));
    CHECK(one.requests().size() == 2);
}

TEST_CASE("Where all replicas rest the refusal comes at once and tells when the first of them takes requests again")
{
    const scripted_replica one(resting("1.5"));
    const scripted_replica two(resting("3"));
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto first = world.ask("/stream/", "good", "a1");
    CHECK(first.status == 503);
    const auto asked = monotonicNow();
    const auto second = world.ask("/stream/", "good", "a2");
    CHECK(second.status == 503);
    CHECK(monotonicNow() - asked < duration(100));
    const auto comeBack = std::stod(second.header("Retry-After"));
    CHECK(comeBack > 1.2);
    CHECK(comeBack < 2.2);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() == 1);
}
