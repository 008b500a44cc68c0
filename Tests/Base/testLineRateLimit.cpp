// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/line_rate_limit.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));

line_rate_limit smallLimit()
{
    line_rate_limit limit;
    limit.linesPerSecond = 10;
    limit.burst = 20;
    limit.available = 20;
    limit.refilledAt = start;
    return limit;
}

int countAdmitted(line_rate_limit &limit, int lines, line_priority priority, instant now)
{
    int count = 0;
    for (int i = 0; i < lines; ++i) {
        count += admitLine(limit, priority, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("A part may log a burst, then a limited number of lines per second")
{
    auto limit = smallLimit();
    CHECK(countAdmitted(limit, 100, line_priority::normal, start) == 20);
    CHECK(countAdmitted(limit, 100, line_priority::normal, start + duration(500)) == 5);
    CHECK(countAdmitted(limit, 100, line_priority::normal, start + duration(1500)) == 10);
    // A long quiet time yields no more tokens than the burst.
    CHECK(countAdmitted(limit, 100, line_priority::normal, start + duration(900000)) == 20);
}

TEST_CASE("Essential lines are logged beyond the rate limit, and leave fewer tokens for other lines")
{
    auto limit = smallLimit();
    CHECK(countAdmitted(limit, 15, line_priority::essential, start) == 15);
    CHECK(countAdmitted(limit, 100, line_priority::normal, start) == 5);
    CHECK(countAdmitted(limit, 1000, line_priority::essential, start) == 1000);
    // The number of tokens never becomes negative: the part logs at its usual rate again.
    CHECK(countAdmitted(limit, 100, line_priority::normal, start + duration(1000)) == 10);
}

TEST_CASE("A clock that stops or goes back neither adds nor removes tokens")
{
    auto limit = smallLimit();
    CHECK(countAdmitted(limit, 100, line_priority::normal, start) == 20);
    CHECK(countAdmitted(limit, 100, line_priority::normal, start - duration(5000)) == 0);
    CHECK(countAdmitted(limit, 100, line_priority::normal, start + duration(1000)) == 10);
}

TEST_CASE("Half of the queue is reserved for essential lines")
{
    CHECK(fitsInQueue(400, 100, 1000, line_priority::normal));
    CHECK_FALSE(fitsInQueue(401, 100, 1000, line_priority::normal));
    CHECK(fitsInQueue(900, 100, 1000, line_priority::essential));
    CHECK_FALSE(fitsInQueue(901, 100, 1000, line_priority::essential));
}
