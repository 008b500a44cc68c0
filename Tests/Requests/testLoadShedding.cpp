// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/load_shedding.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));

/// First events for a while, of which so many of ten are late.
instant hear(load_shedding &state, instant from, duration time, int lateOfTen)
{
    int number = 0;
    auto now = from;
    for (; now < from + time; now += duration(50)) {
        noteFirstEvent(state, number++ % 10 < lateOfTen, now);
    }
    return now;
}

} // namespace

TEST_CASE("All requests are taken on while some groups are late")
{
    load_shedding state;
    hear(state, start, duration(10000), 5);
    CHECK(state.share == 1);
    CHECK(isAdmitted(state, 0.999, start + duration(10000)));
}

TEST_CASE("While most first events are late a part is refused, and never more than about a third")
{
    load_shedding state;
    auto now = hear(state, start, duration(1100), 9);
    CHECK(state.share < 0.9);
    now = hear(state, now, duration(20000), 10);
    CHECK(state.share == 0.65);
    CHECK(isAdmitted(state, 0.6, now));
    CHECK(!isAdmitted(state, 0.7, now));
}

TEST_CASE("It is calm while one first event in twenty is late, and not while every third is")
{
    load_shedding state;
    CHECK(isCalm(state));
    auto now = start;
    for (int i = 0; i < 200; ++i) {
        now += duration(50);
        noteFirstEvent(state, i % 20 == 0, now);
    }
    CHECK(isCalm(state));
    now = hear(state, now, duration(1000), 3);
    CHECK_FALSE(isCalm(state));
    hear(state, now, duration(4000), 0);
    CHECK(isCalm(state));
}

TEST_CASE("All are taken on again soon after the queue has gone, or nothing is known any more")
{
    load_shedding state;
    auto now = hear(state, start, duration(10000), 10);
    const auto atLeast = state;
    CHECK(isAdmitted(state, 0.999, now + duration(3100)));
    now = hear(state, now, duration(6000), 1);
    CHECK(state.share == 1);
    auto later = atLeast;
    noteFirstEvent(later, true, now + duration(20000));
    CHECK(later.share == 1);
}
