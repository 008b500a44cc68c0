// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/key_bound.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant readAt(duration(1000000));

/// Of a daemon that nobody tells anything.
configuration_knowledge alone(std::optional<instant> currentAt)
{
    return {currentAt, std::nullopt};
}

} // namespace

TEST_CASE("Where the bound holds for all, keys are refused a little before it, and clients are sent elsewhere earlier")
{
    const key_bound bound{duration(5000), true};
    CHECK(areKeysUsable(bound, readAt, readAt + duration(4799)));
    CHECK_FALSE(areKeysUsable(bound, readAt, readAt + duration(4800)));
    CHECK(areKeysUsableForAWhile(bound, alone(readAt), readAt + duration(3499)));
    CHECK_FALSE(areKeysUsableForAWhile(bound, alone(readAt), readAt + duration(3500)));
}

TEST_CASE("Where the bound does not hold for a daemon that is cut off, it goes on with the keys at hand, but not for ever")
{
    const key_bound bound{duration(5000), false};
    CHECK(areKeysUsable(bound, readAt, readAt + duration(60000)));
    CHECK(areKeysUsableForAWhile(bound, alone(readAt), readAt + duration(60000)));
    CHECK_FALSE(areKeysUsable(bound, readAt, readAt + std::chrono::minutes(10)));
    CHECK_FALSE(areKeysUsableForAWhile(bound, alone(readAt), readAt + std::chrono::minutes(10)));
}

TEST_CASE("Without a configuration no key is taken, whatever the bound")
{
    for (const bool isStrict : {true, false}) {
        CHECK_FALSE(areKeysUsable({duration(5000), isStrict}, std::nullopt, readAt));
        CHECK_FALSE(areKeysUsableForAWhile({duration(5000), isStrict}, alone(std::nullopt), readAt));
    }
}

TEST_CASE("A daemon that cannot get what others have is left behind, one that reads it in time is not")
{
    const auto told = readAt + duration(2000);
    CHECK(isLeftBehind({readAt, told}, told));
    CHECK(isLeftBehind({std::nullopt, told}, told));
    CHECK_FALSE(isLeftBehind({readAt, readAt + duration(1500)}, readAt + duration(1500)));
    // The service is silent to all: nobody has told anything newer.
    CHECK_FALSE(isLeftBehind({readAt, readAt}, readAt + duration(4000)));
    CHECK_FALSE(isLeftBehind(alone(readAt), readAt + duration(4000)));
    // What was told long ago says nothing of now.
    CHECK_FALSE(isLeftBehind({readAt, told}, told + duration(2501)));
}

// The key-value service turned a third of the daemons away for nine seconds, in which the configuration changed. They refused 500 requests
// as soon as the bound was over, and clients left them only one by one, late.
TEST_CASE("A daemon that is left behind sends its clients elsewhere before it must refuse their keys")
{
    const key_bound bound{duration(5000), true};
    const auto knownAt = [](int age) { return configuration_knowledge{readAt, readAt + duration(age)}; };
    CHECK(areKeysUsableForAWhile(bound, knownAt(1749), readAt + duration(1749)));
    CHECK_FALSE(areKeysUsableForAWhile(bound, knownAt(1750), readAt + duration(1750)));
    CHECK_FALSE(mustSendElsewhere(bound, knownAt(3499), readAt + duration(3499)));
    CHECK(mustSendElsewhere(bound, knownAt(3500), readAt + duration(3500)));
    CHECK(areKeysUsable(bound, readAt, readAt + duration(3500)));
    // Alone it could send them nowhere, and where the bound does not hold for it nothing is refused.
    CHECK_FALSE(mustSendElsewhere(bound, alone(readAt), readAt + duration(4700)));
    CHECK_FALSE(mustSendElsewhere({duration(5000), false}, knownAt(4700), readAt + duration(4700)));
}
