// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/plan_pacing.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("The batch delay is short after a quick plan, three times the duration of a slow one, and bounded")
{
    CHECK(batchDelayAfter(duration(0)) == duration(10));
    CHECK(batchDelayAfter(duration(2)) == duration(10));
    for (const int planTime : {5, 10, 20, 30}) {
        const auto delay = batchDelayAfter(duration(planTime));
        CHECK(planTime <= (delay.count() + planTime) / 4 + 1);
    }
    CHECK(batchDelayAfter(duration(1000)) == duration(100));
}
