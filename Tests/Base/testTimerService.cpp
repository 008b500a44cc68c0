// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/timer_service.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace vetchpost;

namespace {

class mock_subscriber
{
public:
    MAKE_MOCK1(due, void(instant));
};

} // namespace

TEST_CASE("A subscriber is called once per period, and missed periods are not made up for")
{
    mock_subscriber subscriber;
    timer_service timers;
    timers.subscribe("test", duration(100), [&](instant now) { subscriber.due(now); });
    const instant start(duration(1000));
    FORBID_CALL(subscriber, due(trompeloeil::_));
    timers.runDue(start);
    timers.runDue(start + duration(99));
    {
        REQUIRE_CALL(subscriber, due(start + duration(100)));
        timers.runDue(start + duration(100));
    }
    {
        // After a pause of several periods the subscriber is called once.
        REQUIRE_CALL(subscriber, due(start + duration(1000)));
        timers.runDue(start + duration(1000));
        timers.runDue(start + duration(1050));
    }
}

TEST_CASE("A subscriber that throws does not prevent calls to the others")
{
    timer_service timers;
    int calls = 0;
    timers.subscribe("bad", duration(10), [](instant) { throw std::runtime_error("bad"); });
    timers.subscribe("good", duration(10), [&](instant) { ++calls; });
    timers.runDue(instant(duration(0)));
    timers.runDue(instant(duration(10)));
    CHECK(calls == 1);
}
