// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/load_shedding.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));

/// Records a first event every 50 ms for \a time, of which \a lateOfTen in ten are late. Returns the time after the last one.
instant recordEvents(load_shedding &state, instant from, duration time, int lateOfTen)
{
    int number = 0;
    auto now = from;
    for (; now < from + time; now += duration(50)) {
        recordFirstEvent(state, number++ % 10 < lateOfTen, now);
    }
    return now;
}

} // namespace

TEST_CASE("All requests are admitted while only some groups are late")
{
    load_shedding state;
    recordEvents(state, start, duration(10000), 5);
    CHECK(state.admittedShare == 1);
    CHECK(isAdmitted(state, 0.999, start + duration(10000)));
}

TEST_CASE("While most first events are late some requests are refused, but never more than about a third")
{
    load_shedding state;
    auto now = recordEvents(state, start, duration(1100), 9);
    CHECK(state.admittedShare < 0.9);
    now = recordEvents(state, now, duration(20000), 10);
    CHECK(state.admittedShare == 0.65);
    CHECK(isAdmitted(state, 0.6, now));
    CHECK(!isAdmitted(state, 0.7, now));
}

TEST_CASE("There is spare capacity while one first event in twenty is late, but not while one in three is")
{
    load_shedding state;
    CHECK(hasSpareCapacity(state));
    auto now = start;
    for (int i = 0; i < 200; ++i) {
        now += duration(50);
        recordFirstEvent(state, i % 20 == 0, now);
    }
    CHECK(hasSpareCapacity(state));
    now = recordEvents(state, now, duration(1000), 3);
    CHECK_FALSE(hasSpareCapacity(state));
    recordEvents(state, now, duration(4000), 0);
    CHECK(hasSpareCapacity(state));
}

TEST_CASE("All requests are admitted again soon after the queue has drained, or after a time without first events")
{
    load_shedding state;
    auto now = recordEvents(state, start, duration(10000), 10);
    const auto lowestState = state;
    CHECK(isAdmitted(state, 0.999, now + duration(3100)));
    now = recordEvents(state, now, duration(6000), 1);
    CHECK(state.admittedShare == 1);
    auto later = lowestState;
    recordFirstEvent(later, true, now + duration(20000));
    CHECK(later.admittedShare == 1);
}
