// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/key_revocation_policy.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant readAt(duration(1000000));

/// The knowledge of a daemon that receives no reports from others.
configuration_freshness alone(std::optional<instant> currentAt)
{
    return {currentAt, std::nullopt};
}

} // namespace

TEST_CASE("With a strict limit, keys are refused a little before it and clients are sent to other daemons earlier")
{
    const key_revocation_policy policy{duration(5000), true};
    CHECK(areKeysUsable(policy, readAt, readAt + duration(4799)));
    CHECK_FALSE(areKeysUsable(policy, readAt, readAt + duration(4800)));
    CHECK(areKeysUsableForNewConnections(policy, alone(readAt), readAt + duration(3499)));
    CHECK_FALSE(areKeysUsableForNewConnections(policy, alone(readAt), readAt + duration(3500)));
}

TEST_CASE("Clients are not sent elsewhere while no daemon can confirm its configuration")
{
    const key_revocation_policy policy{duration(5000), true};
    const configuration_freshness unconfirmable{readAt, std::nullopt, true};
    CHECK(areKeysUsableForNewConnections(policy, unconfirmable, readAt + duration(4799)));
    CHECK_FALSE(areKeysUsableForNewConnections(policy, unconfirmable, readAt + duration(4800)));
    CHECK_FALSE(areKeysUsableForNewConnections(policy, {std::nullopt, std::nullopt, true}, readAt));
    const configuration_freshness behindOthers{readAt, readAt + duration(1749), true};
    CHECK_FALSE(areKeysUsableForNewConnections(policy, behindOthers, readAt + duration(1750)));
}

TEST_CASE("Without a strict limit, a daemon that is cut off accepts its known keys for longer, but not for ever")
{
    const key_revocation_policy policy{duration(5000), false};
    CHECK(areKeysUsable(policy, readAt, readAt + duration(60000)));
    CHECK(areKeysUsableForNewConnections(policy, alone(readAt), readAt + duration(60000)));
    CHECK_FALSE(areKeysUsable(policy, readAt, readAt + std::chrono::minutes(10)));
    CHECK_FALSE(areKeysUsableForNewConnections(policy, alone(readAt), readAt + std::chrono::minutes(10)));
}

TEST_CASE("Without a configuration no key is accepted, whatever the limit")
{
    for (const bool isStrict : {true, false}) {
        CHECK_FALSE(areKeysUsable({duration(5000), isStrict}, std::nullopt, readAt));
        CHECK_FALSE(areKeysUsableForNewConnections({duration(5000), isStrict}, alone(std::nullopt), readAt));
    }
}

TEST_CASE("A configuration is stale if others have a newer one that this daemon does not read in time")
{
    const auto reportedAt = readAt + duration(2000);
    CHECK(isConfigurationStale({readAt, reportedAt}, reportedAt));
    CHECK(isConfigurationStale({std::nullopt, reportedAt}, reportedAt));
    CHECK_FALSE(isConfigurationStale({readAt, readAt + duration(1500)}, readAt + duration(1500)));
    // The service answers no daemon: none has reported a newer configuration.
    CHECK_FALSE(isConfigurationStale({readAt, readAt}, readAt + duration(4000)));
    CHECK_FALSE(isConfigurationStale(alone(readAt), readAt + duration(4000)));
    // Old reports are ignored.
    CHECK_FALSE(isConfigurationStale({readAt, reportedAt}, reportedAt + duration(2501)));
}

// If the key-value service rejects a third of the daemons for nine seconds while the configuration changes, they refuse hundreds of
// requests as soon as the limit is over, and their clients move to other daemons one by one and late.
TEST_CASE("A daemon with a stale configuration sends its clients to other daemons before it must refuse their keys")
{
    const key_revocation_policy policy{duration(5000), true};
    const auto freshnessAt = [](int age) { return configuration_freshness{readAt, readAt + duration(age)}; };
    CHECK(areKeysUsableForNewConnections(policy, freshnessAt(1749), readAt + duration(1749)));
    CHECK_FALSE(areKeysUsableForNewConnections(policy, freshnessAt(1750), readAt + duration(1750)));
    CHECK_FALSE(mustSendElsewhere(policy, freshnessAt(3499), readAt + duration(3499)));
    CHECK(mustSendElsewhere(policy, freshnessAt(3500), readAt + duration(3500)));
    CHECK(areKeysUsable(policy, readAt, readAt + duration(3500)));
    // Without other current daemons there is nowhere to send clients, and without a strict limit nothing is refused.
    CHECK_FALSE(mustSendElsewhere(policy, alone(readAt), readAt + duration(4700)));
    CHECK_FALSE(mustSendElsewhere({duration(5000), false}, freshnessAt(4700), readAt + duration(4700)));
}
