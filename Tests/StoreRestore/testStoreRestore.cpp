// SPDX-License-Identifier: Apache-2.0
// What daemons know after the platform's store has come back from an older copy and gives revisions out again.
#include "Tests/StoreRestore/followedStore.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A departure is not missed at a revision that the store gives out again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("servers/r-2", entryText(4));
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-2") == 4; }));
    fixture.store().holdReplicaWatches(true);
    const auto last = fixture.restore();
    REQUIRE(isWithin(inForceBound, [&] { return fixture.store().heldReplicaWatches() > 0; }));
    // The watch arrives once the store has reached the revision from which the watch goes on.
    advanceTo(fixture.store(), last - 1);
    fixture.store().write("servers/r-1", entryText(4, "draining"));
    fixture.store().holdReplicaWatches(false);
    CHECK(isWithin(inForceBound, [&] { return source.isLeaving("r-1"); }));
}

TEST_CASE("An entry is not taken for older than one that the store has lost")
{
    restoring_fixture fixture;
    fixture.store().write("servers/r-1", entryText(5));
    followed_store source(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-1") == 5; }));
    fixture.restore();
    fixture.store().write("servers/r-1", entryText(6));
    CHECK(isWithin(inForceBound, [&] { return source.slotsOf("r-1") == 6; }));
}

TEST_CASE("The feed does not skip a change at a revision that the store gives out again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    fixture.store().write("servers/r-2", entryText(4));
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-2") == 4 && follower.slotsOf("r-2") == 4; }));
    fixture.restore();
    fixture.store().write("servers/r-1", entryText(6));
    CHECK(isWithin(inForceBound, [&] { return follower.slotsOf("r-1") == 6; }));
}

TEST_CASE("A follower does not take a configuration for the newest by a revision that the store gives out again")
{
    restoring_fixture fixture;
    fixture.store().write("op/config", configurationOf(4));
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    REQUIRE(isWithin(inForceBound, [&] { return source.configurationVersion() == 4 && follower.configurationVersion() == 4; }));
    fixture.restore();
    fixture.store().write("op/config", configurationOf(5));
    CHECK(isWithin(inForceBound, [&] { return follower.configurationVersion() == 5; }));
}

TEST_CASE("An evacuation is in force though its revision is below one that the store has lost")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y") && follower.isEvacuated("y"); }));
    fixture.restore();
    fixture.store().write("op/evacuate/z", "{}");
    CHECK(isWithin(evacuationBound, [&] { return source.isEvacuated("z") && follower.isEvacuated("z"); }));
}

TEST_CASE("A conditional write does not overwrite an entry that got the expected revision anew")
{
    restorable_store store;
    metrics counters;
    platform_store service(store.address(), counters);
    store.saveCopy();
    const auto first = service.compareAndSwap("vetchpost/key", key_revision(), "first");
    REQUIRE(first.outcome == swap_outcome::applied);
    store.restore();
    platform_store other(store.address(), counters);
    const auto second = other.compareAndSwap("vetchpost/key", key_revision(), "second");
    REQUIRE(second.outcome == swap_outcome::applied);
    reason why;
    REQUIRE(service.get("vetchpost/other", read_freshness::current, why));
    CHECK(service.compareAndSwap("vetchpost/key", first.changed, "third").outcome == swap_outcome::conflict);
    CHECK(store.read("vetchpost/key") == "second");
}

TEST_CASE("An evacuation that the copy lacks goes on until the operator has written it again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y"); }));
    fixture.store().restore(false);
    CHECK_FALSE(isWithin(rewriteTime, [&] { return !source.isEvacuated("y"); }));
    fixture.store().write("op/evacuate/y", "{}");
    CHECK_FALSE(isWithin(2 * rewriteTime, [&] { return !source.isEvacuated("y"); }));
    fixture.store().remove("op/evacuate/y");
    CHECK(isWithin(evacuationBound, [&] { return !source.isEvacuated("y"); }));
}

TEST_CASE("An evacuation that ended before the store came back ends once the entries had time to be written again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y"); }));
    fixture.store().restore(false);
    CHECK(isWithin(evacuationBound, [&] { return !source.isEvacuated("y"); }));
}
