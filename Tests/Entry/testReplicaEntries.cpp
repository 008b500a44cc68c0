// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant now(duration(100000));

replica_change replica(const std::string &id, std::uint64_t revision = 1)
{
    replica_change change{instance_id(id), revision, served_replica()};
    change.replica->id = change.id;
    return change;
}

replica_change removal(const std::string &id, std::uint64_t revision)
{
    return {instance_id(id), revision, std::nullopt};
}

replica_entries known()
{
    replica_entries entries;
    takeListing(entries, {replica("a"), replica("b")}, 100, duration(0), now);
    return entries;
}

} // namespace

TEST_CASE("A replica that leaves by its own word is shown as one whose entry says so, in that life alone")
{
    const instance_id id("a");
    auto entries = known();
    leaving_replicas leaving;
    noteLeaving(leaving, {{id, {}}}, now);
    noteLeaving(leaving, {{id, {}}}, now + duration(500));
    auto directory = entries.directory;
    showLeaving(directory, leaving);
    CHECK(saysItLeaves(directory.replicas.at(id)));
    CHECK(directory.leavingSince.at(id) == now);
    CHECK_FALSE(directory.replicas.at(instance_id("b")).isDraining);

    auto next = replica("a", 101);
    next.replica->life = replica_life(2);
    takeChange(entries, next, now);
    directory = entries.directory;
    showLeaving(directory, leaving);
    CHECK_FALSE(directory.replicas.at(id).isDraining);

    noteLeaving(leaving, {}, now);
    CHECK(leaving.empty());
}

TEST_CASE("A directory is made anew only for departures that it does not show")
{
    const instance_id id("a");
    auto entries = known();
    leaving_replicas leaving;
    CHECK(areShown(entries.directory, leaving));
    noteLeaving(leaving, {{id, {}}, {instance_id("elsewhere"), {}}, {instance_id("b"), replica_life(7)}}, now);
    CHECK_FALSE(areShown(entries.directory, leaving));

    auto shown = entries.directory;
    showLeaving(shown, leaving);
    CHECK(areShown(shown, leaving));

    auto draining = replica("a", 101);
    draining.replica->isDraining = true;
    takeChange(entries, draining, now);
    CHECK(areShown(entries.directory, leaving));
}

TEST_CASE("A member whose entry went without a word is shown anew once it is known to have said that it leaves")
{
    const instance_id id("a");
    replica_entries entries;
    auto member = replica("a");
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    takeListing(entries, {member}, 100, duration(0), now);
    takeChange(entries, removal("a", 101), now);
    REQUIRE(entries.directory.replicas.at(id).isUnlisted);
    leaving_replicas leaving;
    noteLeaving(leaving, {{id, {}}}, now);
    CHECK_FALSE(areShown(entries.directory, leaving));
    showLeaving(entries.directory, leaving);
    CHECK(areShown(entries.directory, leaving));
}

TEST_CASE("A replica that a listing no longer has is gone at once, while the service was there")
{
    auto entries = known();
    takeListing(entries, {replica("a")}, 100, duration(300), now);
    CHECK(entries.directory.replicas.size() == 1);
    takeChange(entries, removal("a", 2), now);
    CHECK(entries.directory.replicas.empty());
}

TEST_CASE("A listing that is older than an entry does not take it out")
{
    auto entries = known();
    takeChange(entries, replica("c", 101), now);
    takeListing(entries, {replica("a")}, 100, duration(0), now);
    CHECK(entries.directory.replicas.contains(instance_id("c")));
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("b")));
}

TEST_CASE("After an absence of the service a missing replica has its time to come back")
{
    auto entries = known();
    takeListing(entries, {replica("a")}, 100, duration(4000), now);
    CHECK(entries.directory.replicas.size() == 2);
    CHECK_FALSE(dropLapsed(entries, now + duration(2000)));
    CHECK(entries.directory.replicas.size() == 2);
    // It is not there again: now it is gone.
    CHECK(dropLapsed(entries, now + lapsedGrace));
    CHECK(entries.directory.replicas.size() == 1);
}

TEST_CASE("A replica that came back after an absence stays")
{
    auto entries = known();
    takeListing(entries, {replica("a")}, 100, duration(4000), now);
    takeChange(entries, replica("b"), now);
    CHECK_FALSE(dropLapsed(entries, now + duration(10000)));
    CHECK(entries.directory.replicas.size() == 2);
}

TEST_CASE("A second listing within the time does not lengthen it")
{
    auto entries = known();
    takeListing(entries, {replica("a")}, 100, duration(4000), now);
    takeListing(entries, {replica("a")}, 100, duration(0), now + duration(1000));
    CHECK(entries.directory.replicas.size() == 2);
    CHECK(dropLapsed(entries, now + lapsedGrace));
}

TEST_CASE("An older word of a replica never replaces a newer one, also after its removal")
{
    auto entries = known();
    auto newer = replica("a", 7);
    newer.replica->isDraining = true;
    takeChange(entries, newer, now);
    takeChange(entries, replica("a", 6), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).isDraining);
    takeChange(entries, removal("a", 8), now);
    takeChange(entries, replica("a", 7), now);
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("a")));
    takeChange(entries, removal("b", 0), now);
    CHECK(entries.directory.replicas.contains(instance_id("b")));
}

TEST_CASE("A member of a group without an entry is kept as one that drains, until it is listed again or its time is over")
{
    auto entries = known();
    auto member = replica("a", 2);
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    takeChange(entries, member, now);
    takeChange(entries, removal("a", 3), now);
    REQUIRE(entries.directory.replicas.contains(instance_id("a")));
    CHECK(entries.directory.replicas.at(instance_id("a")).isDraining);
    CHECK(entries.directory.replicas.at(instance_id("a")).isUnlisted);
    // A listing without it changes nothing.
    takeListing(entries, {replica("b")}, 100, duration(0), now + duration(500));
    CHECK(entries.directory.replicas.contains(instance_id("a")));
    member.revision = 4;
    takeChange(entries, member, now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).isDraining);
    CHECK_FALSE(dropLapsed(entries, now + unlistedStay));
    takeChange(entries, removal("a", 5), now + unlistedStay);
    CHECK(dropLapsed(entries, now + 2 * unlistedStay));
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("a")));
}

TEST_CASE("An entry that went tells a replica that had said it leaves from one that said nothing")
{
    auto entries = known();
    auto member = replica("a", 2);
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    takeChange(entries, member, now);
    for (int told = 0; told < 2; ++told) {
        takeChange(entries, removal("a", 3), now);
        CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).hasAnnounced);
    }
    member.revision = 4;
    member.replica->isDraining = true;
    takeChange(entries, member, now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).isUnlisted);
    takeChange(entries, removal("a", 5), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).hasAnnounced);
}

TEST_CASE("What a replica ran last stays known when it gives up its place")
{
    auto entries = known();
    auto running = replica("a", 101);
    running.replica->model = model_id("m");
    running.replica->membership = {group_id("g"), formation(1), 0, member_state::ready};
    takeChange(entries, running, now);
    takeChange(entries, replica("a", 102), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).model == model_id("m"));
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).membership);
    // Another life under another name knows nothing of it.
    takeChange(entries, replica("c", 103), now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("c")).model);
    running.revision = 104;
    running.replica->model = model_id("n");
    takeChange(entries, running, now);
    CHECK(entries.directory.replicas.at(instance_id("a")).model == model_id("n"));
}

TEST_CASE("Since when a replica leaves is known from the change that says so, and counts as long ago where it left before")
{
    auto entries = known();
    CHECK(entries.directory.leavingSince.empty());
    auto leaving = replica("a", 101);
    leaving.replica->isDraining = true;
    takeChange(entries, leaving, now + duration(500));
    leaving.revision = 102;
    takeChange(entries, leaving, now + duration(900));
    CHECK(entries.directory.leavingSince.at(instance_id("a")) == now + duration(500));
    auto leftBefore = replica("c", 103);
    leftBefore.replica->isDraining = true;
    takeChange(entries, leftBefore, now + duration(900));
    CHECK(entries.directory.leavingSince.at(instance_id("c")) == instant());
    takeChange(entries, removal("a", 104), now + duration(1000));
    takeChange(entries, replica("c", 105), now + duration(1000));
    CHECK(entries.directory.leavingSince.empty());
}

TEST_CASE("A replica that starts again under its id keeps nothing of its earlier life")
{
    replica_entries entries;
    auto change = replica("a");
    change.replica->life = replica_life(1);
    change.replica->model = model_id("m");
    change.replica->isDraining = true;
    takeChange(entries, change, now);
    auto next = replica("a", 2);
    next.replica->life = replica_life(2);
    takeChange(entries, next, now + duration(1000));
    const auto &known = entries.directory.replicas.at(instance_id("a"));
    CHECK_FALSE(known.model);
    CHECK_FALSE(known.isDraining);
    CHECK(entries.directory.leavingSince.empty());
}

TEST_CASE("A life that is leaving when it is first seen has been leaving for an unknown time")
{
    replica_entries entries;
    auto change = replica("a");
    change.replica->life = replica_life(1);
    takeChange(entries, change, now);
    auto next = replica("a", 2);
    next.replica->life = replica_life(2);
    next.replica->isDraining = true;
    takeChange(entries, next, now + duration(1000));
    CHECK(entries.directory.leavingSince.at(instance_id("a")) == instant());
}
