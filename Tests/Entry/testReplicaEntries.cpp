// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant now(duration(100000));

replica_change replica(const std::string &id, std::uint64_t revision = 1)
{
    replica_change change{instance_id(id), store_revision(revision), served_replica()};
    change.replica->id = change.id;
    return change;
}

replica_change removal(const std::string &id, std::uint64_t revision)
{
    return {instance_id(id), store_revision(revision), std::nullopt};
}

replica_entries known()
{
    replica_entries entries;
    applyListing(entries, {replica("a"), replica("b")}, store_revision(100), duration(0), now);
    return entries;
}

} // namespace

TEST_CASE("A replica that announced that it leaves is marked like one whose entry says so, in that incarnation only")
{
    const instance_id id("a");
    auto entries = known();
    leaving_replicas leaving;
    updateLeaving(leaving, {{id, {}}}, now);
    updateLeaving(leaving, {{id, {}}}, now + duration(500));
    auto directory = entries.directory;
    markLeaving(directory, leaving);
    CHECK(reportsDraining(directory.replicas.at(id)));
    CHECK(directory.leavingSince.at(id) == now);
    CHECK_FALSE(directory.replicas.at(instance_id("b")).isDraining);

    auto next = replica("a", 101);
    next.replica->incarnation = replica_incarnation(2);
    applyChange(entries, next, now);
    directory = entries.directory;
    markLeaving(directory, leaving);
    CHECK_FALSE(directory.replicas.at(id).isDraining);

    updateLeaving(leaving, {}, now);
    CHECK(leaving.empty());
}

TEST_CASE("A directory is rebuilt only for departures that it does not mark yet")
{
    const instance_id id("a");
    auto entries = known();
    leaving_replicas leaving;
    CHECK(areMarkedLeaving(entries.directory, leaving));
    updateLeaving(leaving, {{id, {}}, {instance_id("elsewhere"), {}}, {instance_id("b"), replica_incarnation(7)}}, now);
    CHECK_FALSE(areMarkedLeaving(entries.directory, leaving));

    auto shown = entries.directory;
    markLeaving(shown, leaving);
    CHECK(areMarkedLeaving(shown, leaving));

    auto draining = replica("a", 101);
    draining.replica->isDraining = true;
    applyChange(entries, draining, now);
    CHECK(areMarkedLeaving(entries.directory, leaving));
}

TEST_CASE("A member whose entry went unannounced is marked again once it is known to have announced that it leaves")
{
    const instance_id id("a");
    replica_entries entries;
    auto member = replica("a");
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    applyListing(entries, {member}, store_revision(100), duration(0), now);
    applyChange(entries, removal("a", 101), now);
    REQUIRE(entries.directory.replicas.at(id).isUnlisted);
    leaving_replicas leaving;
    updateLeaving(leaving, {{id, {}}}, now);
    CHECK_FALSE(areMarkedLeaving(entries.directory, leaving));
    markLeaving(entries.directory, leaving);
    CHECK(areMarkedLeaving(entries.directory, leaving));
}

TEST_CASE("Without an outage a replica that is missing in a listing is removed at once")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(300), now);
    CHECK(entries.directory.replicas.size() == 1);
    applyChange(entries, removal("a", 2), now);
    CHECK(entries.directory.replicas.empty());
}

TEST_CASE("A listing does not remove an entry that is newer")
{
    auto entries = known();
    applyChange(entries, replica("c", 101), now);
    applyListing(entries, {replica("a")}, store_revision(100), duration(0), now);
    CHECK(entries.directory.replicas.contains(instance_id("c")));
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("b")));
}

TEST_CASE("After an outage of the service a missing replica is kept for a while")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    CHECK(entries.directory.replicas.size() == 2);
    CHECK_FALSE(removeLapsed(entries, now + duration(2000)));
    CHECK(entries.directory.replicas.size() == 2);
    // It has not returned in time.
    CHECK(removeLapsed(entries, now + lapsedGrace));
    CHECK(entries.directory.replicas.size() == 1);
}

TEST_CASE("A replica that returned after an outage stays")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    applyChange(entries, replica("b"), now);
    CHECK_FALSE(removeLapsed(entries, now + duration(10000)));
    CHECK(entries.directory.replicas.size() == 2);
}

// Guards against entries that count as gone although the service failed again before they could be written.
TEST_CASE("An entry that is missing after another outage has the time to return again")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    CHECK(entries.directory.replicas.at(instance_id("b")).isLapsed);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).isLapsed);
    const auto outageEnd = now + lapsedGrace + duration(3000);
    applyListing(entries, {replica("a")}, store_revision(100), duration(8000), outageEnd + duration(400), outageEnd);
    CHECK_FALSE(removeLapsed(entries, outageEnd + lapsedGrace - duration(1)));
    CHECK(entries.directory.replicas.contains(instance_id("b")));
    CHECK(removeLapsed(entries, outageEnd + lapsedGrace));
}

TEST_CASE("A replica that writes its entry again is no longer marked as lapsed")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    applyChange(entries, replica("b", 101), now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("b")).isLapsed);
}

TEST_CASE("Lapsed entries are kept for longer after changes were missed")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    extendLapsed(entries, now + duration(5000));
    CHECK_FALSE(removeLapsed(entries, now + duration(4999)));
    CHECK(removeLapsed(entries, now + duration(5000)));
}

TEST_CASE("A second listing within the grace time does not extend it")
{
    auto entries = known();
    applyListing(entries, {replica("a")}, store_revision(100), duration(4000), now);
    applyListing(entries, {replica("a")}, store_revision(100), duration(0), now + duration(1000));
    CHECK(entries.directory.replicas.size() == 2);
    CHECK(removeLapsed(entries, now + lapsedGrace));
}

TEST_CASE("An older change of a replica never replaces a newer one, nor its removal")
{
    auto entries = known();
    auto newer = replica("a", 7);
    newer.replica->isDraining = true;
    applyChange(entries, newer, now);
    applyChange(entries, replica("a", 6), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).isDraining);
    applyChange(entries, removal("a", 8), now);
    applyChange(entries, replica("a", 7), now);
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("a")));
    applyChange(entries, removal("b", 0), now);
    CHECK(entries.directory.replicas.contains(instance_id("b")));
}

TEST_CASE("A group member without an entry is kept as draining until it is listed again or its grace time is over")
{
    auto entries = known();
    auto member = replica("a", 2);
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    applyChange(entries, member, now);
    applyChange(entries, removal("a", 3), now);
    REQUIRE(entries.directory.replicas.contains(instance_id("a")));
    CHECK(entries.directory.replicas.at(instance_id("a")).isDraining);
    CHECK(entries.directory.replicas.at(instance_id("a")).isUnlisted);
    // A listing without the member changes nothing.
    applyListing(entries, {replica("b")}, store_revision(100), duration(0), now + duration(500));
    CHECK(entries.directory.replicas.contains(instance_id("a")));
    member.revision = store_revision(4);
    applyChange(entries, member, now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).isDraining);
    CHECK_FALSE(removeLapsed(entries, now + unlistedGrace));
    applyChange(entries, removal("a", 5), now + unlistedGrace);
    CHECK(removeLapsed(entries, now + 2 * unlistedGrace));
    CHECK_FALSE(entries.directory.replicas.contains(instance_id("a")));
}

TEST_CASE("A removed entry shows whether its replica had announced that it leaves")
{
    auto entries = known();
    auto member = replica("a", 2);
    member.replica->membership = {group_id("g"), formation(1), 1, member_state::ready};
    applyChange(entries, member, now);
    for (int removals = 0; removals < 2; ++removals) {
        applyChange(entries, removal("a", 3), now);
        CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).hadReportedDraining);
    }
    member.revision = store_revision(4);
    member.replica->isDraining = true;
    applyChange(entries, member, now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).isUnlisted);
    applyChange(entries, removal("a", 5), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).hadReportedDraining);
}

TEST_CASE("The model that a replica ran last stays known when it leaves its group")
{
    auto entries = known();
    auto running = replica("a", 101);
    running.replica->model = model_id("m");
    running.replica->membership = {group_id("g"), formation(1), 0, member_state::ready};
    applyChange(entries, running, now);
    applyChange(entries, replica("a", 102), now);
    CHECK(entries.directory.replicas.at(instance_id("a")).model == model_id("m"));
    CHECK_FALSE(entries.directory.replicas.at(instance_id("a")).membership);
    // A replica with another id does not inherit the model.
    applyChange(entries, replica("c", 103), now);
    CHECK_FALSE(entries.directory.replicas.at(instance_id("c")).model);
    running.revision = store_revision(104);
    running.replica->model = model_id("n");
    applyChange(entries, running, now);
    CHECK(entries.directory.replicas.at(instance_id("a")).model == model_id("n"));
}

TEST_CASE("A replica leaves since the change that says so, or since an unknown time if it was leaving when first seen")
{
    auto entries = known();
    CHECK(entries.directory.leavingSince.empty());
    auto leaving = replica("a", 101);
    leaving.replica->isDraining = true;
    applyChange(entries, leaving, now + duration(500));
    leaving.revision = store_revision(102);
    applyChange(entries, leaving, now + duration(900));
    CHECK(entries.directory.leavingSince.at(instance_id("a")) == now + duration(500));
    auto leftBefore = replica("c", 103);
    leftBefore.replica->isDraining = true;
    applyChange(entries, leftBefore, now + duration(900));
    CHECK(entries.directory.leavingSince.at(instance_id("c")) == instant());
    applyChange(entries, removal("a", 104), now + duration(1000));
    applyChange(entries, replica("c", 105), now + duration(1000));
    CHECK(entries.directory.leavingSince.empty());
}

TEST_CASE("A replica that restarts with its id keeps nothing of its earlier incarnation")
{
    replica_entries entries;
    auto change = replica("a");
    change.replica->incarnation = replica_incarnation(1);
    change.replica->model = model_id("m");
    change.replica->isDraining = true;
    applyChange(entries, change, now);
    auto next = replica("a", 2);
    next.replica->incarnation = replica_incarnation(2);
    applyChange(entries, next, now + duration(1000));
    const auto &known = entries.directory.replicas.at(instance_id("a"));
    CHECK_FALSE(known.model);
    CHECK_FALSE(known.isDraining);
    CHECK(entries.directory.leavingSince.empty());
}

TEST_CASE("An incarnation that is leaving when it is first seen has been leaving for an unknown time")
{
    replica_entries entries;
    auto change = replica("a");
    change.replica->incarnation = replica_incarnation(1);
    applyChange(entries, change, now);
    auto next = replica("a", 2);
    next.replica->incarnation = replica_incarnation(2);
    next.replica->isDraining = true;
    applyChange(entries, next, now + duration(1000));
    CHECK(entries.directory.leavingSince.at(instance_id("a")) == instant());
}

// Guards against a cold time that is extended each time the same entry is received again, or that is kept where it is not paced.
TEST_CASE("A remaining cold time counts from the first receipt of its entry, and a newer entry replaces it")
{
    replica_entries entries;
    const auto receive = [&](std::uint64_t revision, int coldLeft, bool isPaced, instant at) {
        auto change = replica("a", revision);
        change.replica->coldLeft = duration(coldLeft);
        std::vector changes{change};
        recordReceipt(changes, isPaced, at);
        applyChange(entries, changes.front(), at);
        return entries.directory.replicas.at(instance_id("a")).coldUntil;
    };
    CHECK(receive(5, 3000, true, now) == now + duration(3000));
    CHECK(receive(5, 3000, true, now + duration(2000)) == now + duration(3000));
    CHECK(receive(6, 3000, true, now + duration(2000)) == now + duration(5000));
    CHECK(receive(7, 0, true, now + duration(2100)) == instant());
    CHECK(receive(8, 3000, false, now + duration(2200)) == instant());
}
