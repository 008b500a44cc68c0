// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/key_bound.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant readAt(duration(1000000));

} // namespace

TEST_CASE("Where the bound holds for all, keys are refused a little before it, and clients are sent elsewhere earlier")
{
    const key_bound bound{duration(5000), true};
    CHECK(areKeysUsable(bound, readAt, readAt + duration(4799)));
    CHECK_FALSE(areKeysUsable(bound, readAt, readAt + duration(4800)));
    CHECK(areKeysUsableForAWhile(bound, readAt, readAt + duration(3499)));
    CHECK_FALSE(areKeysUsableForAWhile(bound, readAt, readAt + duration(3500)));
}

TEST_CASE("Where the bound does not hold for a daemon that is cut off, it goes on with the keys at hand, but not for ever")
{
    const key_bound bound{duration(5000), false};
    CHECK(areKeysUsable(bound, readAt, readAt + duration(60000)));
    CHECK(areKeysUsableForAWhile(bound, readAt, readAt + duration(60000)));
    CHECK_FALSE(areKeysUsable(bound, readAt, readAt + std::chrono::minutes(10)));
    CHECK_FALSE(areKeysUsableForAWhile(bound, readAt, readAt + std::chrono::minutes(10)));
}

TEST_CASE("Without a configuration no key is taken, whatever the bound")
{
    for (const bool isStrict : {true, false}) {
        CHECK_FALSE(areKeysUsable({duration(5000), isStrict}, std::nullopt, readAt));
        CHECK_FALSE(areKeysUsableForAWhile({duration(5000), isStrict}, std::nullopt, readAt));
    }
}
