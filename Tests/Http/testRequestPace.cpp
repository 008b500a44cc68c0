// SPDX-License-Identifier: Apache-2.0
// A load balancer may hand most new connections of a data centre to one daemon. Requests that it reads without being able to handle them
// are lost or late; those whose connection it closes unread are served elsewhere.
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/request_pace.h"
#include "Tests/Fakes/free_port.h"

#include <catch2/catch.hpp>

#include <future>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr instant start(duration(1000000));
constexpr double perSecond = 100;

/// The number of connections that are accepted if one arrives each \a gap for \a time.
int countAccepted(request_pace &pace, instant from, duration gap, duration time)
{
    int accepted = 0;
    for (auto now = from; now < from + time; now += gap) {
        accepted += takeRoomForConnection(pace, now) ? 1 : 0;
    }
    return accepted;
}

} // namespace

TEST_CASE("Connections beyond the rate of requests that a server can handle are not accepted, after a short burst")
{
    auto pace = makeRequestPace(perSecond, start);
    CHECK(countAccepted(pace, start, duration(1), duration(500)) == Approx(100).margin(2));
    CHECK(countAccepted(pace, start + duration(500), duration(1), duration(1000)) == Approx(100).margin(2));
    // A rate below the limit is accepted whole.
    CHECK(countAccepted(pace, start + duration(1500), duration(20), duration(1000)) == 50);
}

TEST_CASE("Requests on open connections leave less room for new connections, for a bounded time")
{
    auto pace = makeRequestPace(perSecond, start);
    for (int number = 0; number < 10 * static_cast<int>(perSecond); ++number) {
        takeRoomForRequest(pace, start);
    }
    CHECK(countAccepted(pace, start, duration(10), duration(450)) == 0);
    CHECK(countAccepted(pace, start + duration(600), duration(10), duration(400)) > 0);
}

TEST_CASE("A server that gets most new connections of a data centre serves each request that it reads, and closes the rest unread")
{
    constexpr int connections = 300;
    std::atomic<int> handled = 0;
    http_server_limits limits;
    limits.requestsPerSecond = perSecond;
    const auto address = freePort();
    http_server server(address, limits, [&](http_exchange &exchange) {
        ++handled;
        exchange.send(200, "text/plain", "whole");
    });
    int served = 0;
    const auto began = monotonicNow();
    for (int number = 0; number < connections; ++number) {
        http_call call;
        call.to = address;
        reason why;
        const auto reply = sendOnFreshConnection(call, why);
        served += reply && reply->status == 200 ? 1 : 0;
        std::this_thread::sleep_for(duration(2));
    }
    const auto seconds = secondsOf(monotonicNow() - began);
    INFO(served << " served of " << connections << " in " << seconds << " s");
    CHECK(served == handled);
    CHECK(served <= perSecond * (seconds + 0.5) + 1);
    CHECK(served + static_cast<int>(server.connectionsClosedUnread()) == connections);
}
