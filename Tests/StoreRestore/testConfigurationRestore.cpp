// SPDX-License-Identifier: Apache-2.0
// When a configuration counts as the newest after the platform's store has come back from an older copy.
#include "Tests/StoreRestore/followedStore.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

bool isConfirmedSince(followed_store &daemon, instant time)
{
    const auto currentAt = (*daemon).configurationCurrentAt();
    return currentAt && *currentAt >= time;
}

/// Writes configuration 4, which withdraws a key, while the store answers no daemon, and lets the store come back from a copy without it.
/// Returns when the key was withdrawn.
instant withdrawUnseen(restorable_store &store)
{
    store.setAnswering(false);
    store.write("op/config", configurationOf(4));
    const auto withdrawnAt = monotonicNow();
    store.restore(false);
    store.setAnswering(true);
    return withdrawnAt;
}

} // namespace

TEST_CASE("A withdrawn key is not confirmed by the configuration of an older copy")
{
    restoring_fixture fixture;
    followed_store daemon(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 3; }));
    const auto withdrawnAt = withdrawUnseen(fixture.store());
    CHECK_FALSE(isWithin(rewriteTime, [&] { return isConfirmedSince(daemon, withdrawnAt); }));
    fixture.store().write("op/config", configurationOf(4));
    CHECK(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 4 && isConfirmedSince(daemon, withdrawnAt); }));
}

TEST_CASE("A withdrawn key is not confirmed at a follower by the source's reading of an older copy")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    REQUIRE(isWithin(inForceBound, [&] { return source.configurationVersion() == 3 && follower.configurationVersion() == 3; }));
    const auto withdrawnAt = withdrawUnseen(fixture.store());
    CHECK_FALSE(isWithin(rewriteTime, [&] { return isConfirmedSince(follower, withdrawnAt); }));
    fixture.store().write("op/config", configurationOf(4));
    CHECK(isWithin(inForceBound, [&] { return follower.configurationVersion() == 4 && isConfirmedSince(follower, withdrawnAt); }));
}

TEST_CASE("A configuration that no restoration has changed is confirmed once newer ones had time to be written again")
{
    restoring_fixture fixture;
    followed_store daemon(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 3; }));
    const auto restoredAt = monotonicNow();
    fixture.store().restore();
    CHECK(isWithin(rewriteTime + inForceBound, [&] { return isConfirmedSince(daemon, restoredAt); }));
}

TEST_CASE("A configuration that the operator has written again is confirmed at once")
{
    restoring_fixture fixture;
    fixture.store().write("op/config", configurationOf(4));
    followed_store daemon(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 4; }));
    const auto restoredAt = monotonicNow();
    fixture.store().restore();
    CHECK(isWithin(feedTiming(inForceBound).sourceReadPeriod * 2, [&] { return isConfirmedSince(daemon, restoredAt); }));
}

TEST_CASE("A daemon does not take itself for stale while no daemon can confirm the configuration")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    REQUIRE(isWithin(inForceBound, [&] { return source.configurationVersion() == 3 && follower.configurationVersion() == 3; }));
    const auto restoredAt = monotonicNow();
    fixture.store().restore();
    CHECK_FALSE(
        isWithin(rewriteTime + inForceBound, [&] { return isConfigurationStale((*follower).configurationKnowledge(), monotonicNow()); }));
    CHECK(isConfirmedSince(follower, restoredAt));
}

TEST_CASE("A daemon that starts while the store holds an older copy does not accept a key that was withdrawn before")
{
    restoring_fixture fixture;
    fixture.store().write("op/config", configurationOf(4));
    const auto withdrawnAt = monotonicNow();
    fixture.store().restore(false);
    followed_store daemon(fixture.store(), true, {true, false});
    REQUIRE(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 3; }));
    CHECK_FALSE(isWithin(rewriteTime, [&] { return isConfirmedSince(daemon, withdrawnAt); }));
    fixture.store().write("op/config", configurationOf(4));
    CHECK(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 4 && isConfirmedSince(daemon, withdrawnAt); }));
}

TEST_CASE("A daemon that starts in an era whose configurations were written again accepts keys at once")
{
    restoring_fixture fixture;
    const auto startedAt = monotonicNow();
    const followed_store coordinator(fixture.store(), true, {true, true});
    REQUIRE(isWithin(inForceBound, [&] { return !fixture.store().read("vetchpost/settled-era").empty(); }));
    followed_store daemon(fixture.store(), false, {true, false});
    CHECK(isWithin(duration(500), [&] { return isConfirmedSince(daemon, startedAt); }));
}

TEST_CASE("A daemon that starts accepts keys as soon as the coordinator has declared the era as settled")
{
    restoring_fixture fixture;
    followed_store coordinator(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return coordinator.configurationVersion() == 3; }));
    fixture.store().restore();
    std::this_thread::sleep_for(rewriteTime + duration(300));
    const auto startedAt = monotonicNow();
    followed_store daemon(fixture.store(), false, {true, false});
    REQUIRE(isWithin(inForceBound, [&] { return daemon.configurationVersion() == 3; }));
    CHECK_FALSE(isConfirmedSince(daemon, startedAt));
    CHECK(isWithin(rewriteTime - duration(200), [&] { return isConfirmedSince(daemon, startedAt); }));
}
