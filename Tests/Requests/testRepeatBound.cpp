// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/repeat_bound.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("The parts of all daemons together keep within the slack for repeats, however many there are")
{
    for (const int daemons : {1, 9, 16, 79, 200}) {
        CHECK(daemons * repeatsAtOnce(273, daemons) <= 273);
        CHECK(repeatsAtOnce(273, daemons) >= 1);
    }
    // A daemon that has heard nobody must not take more than one of the largest deployment.
    CHECK(79 * repeatsAtOnce(273, std::nullopt) <= 273);
}

