// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/line_budget.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));

line_budget smallBudget()
{
    line_budget budget;
    budget.linesPerSecond = 10;
    budget.most = 20;
    budget.available = 20;
    budget.refilledAt = start;
    return budget;
}

int taken(line_budget &budget, int lines, line_weight weight, instant now)
{
    int count = 0;
    for (int i = 0; i < lines; ++i) {
        count += takeLine(budget, weight, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("A part may write a burst, then so many lines a second")
{
    auto budget = smallBudget();
    CHECK(taken(budget, 100, line_weight::budgeted, start) == 20);
    CHECK(taken(budget, 100, line_weight::budgeted, start + duration(500)) == 5);
    CHECK(taken(budget, 100, line_weight::budgeted, start + duration(1500)) == 10);
    // A long silence earns no more than the burst.
    CHECK(taken(budget, 100, line_weight::budgeted, start + duration(900000)) == 20);
}

TEST_CASE("Lines that are kept are written beyond the budget, and leave less of it for the others")
{
    auto budget = smallBudget();
    CHECK(taken(budget, 15, line_weight::kept, start) == 15);
    CHECK(taken(budget, 100, line_weight::budgeted, start) == 5);
    CHECK(taken(budget, 1000, line_weight::kept, start) == 1000);
    // No debt is left: the part is heard again at its usual rate.
    CHECK(taken(budget, 100, line_weight::budgeted, start + duration(1000)) == 10);
}

TEST_CASE("A clock that stands still or goes back earns nothing and costs nothing")
{
    auto budget = smallBudget();
    CHECK(taken(budget, 100, line_weight::budgeted, start) == 20);
    CHECK(taken(budget, 100, line_weight::budgeted, start - duration(5000)) == 0);
    CHECK(taken(budget, 100, line_weight::budgeted, start + duration(1000)) == 10);
}

TEST_CASE("Half of the queue is for lines that are kept")
{
    CHECK(hasRoom(400, 100, 1000, line_weight::budgeted));
    CHECK_FALSE(hasRoom(401, 100, 1000, line_weight::budgeted));
    CHECK(hasRoom(900, 100, 1000, line_weight::kept));
    CHECK_FALSE(hasRoom(901, 100, 1000, line_weight::kept));
}
