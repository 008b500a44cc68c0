// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/plan_pacing.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A quick plan is made again at once, a slow one leaves most of the time to its orders, and none waits for long")
{
    CHECK(gatherTimeAfter(duration(0)) == duration(10));
    CHECK(gatherTimeAfter(duration(2)) == duration(10));
    for (const int planTime : {5, 10, 20, 30}) {
        const auto gather = gatherTimeAfter(duration(planTime));
        CHECK(planTime <= (gather.count() + planTime) / 4 + 1);
    }
    CHECK(gatherTimeAfter(duration(1000)) == duration(100));
}
