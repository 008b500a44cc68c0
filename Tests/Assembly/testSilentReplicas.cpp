// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/silent_replicas.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));
const instance_id head("i-head");
const instance_id member("i-member");

served_replica replicaIn(const instance_id &id, int rank)
{
    served_replica replica;
    replica.id = id;
    replica.membership = {group_id("g1"), formation(1), rank, rank == 0 ? member_state::open : member_state::ready};
    return replica;
}

replica_directory oneGroup()
{
    return {{{head, replicaIn(head, 0)}, {member, replicaIn(member, 1)}}};
}

/// Records that the replica has not answered for long enough, by a last probe at \a when. Returns whether it is suspected since then.
bool recordSilence(silent_replicas &silent, const instance_id &replica, instant when)
{
    recordProbe(silent, replica, {when - silenceBeforeSuspicion, false});
    return recordProbe(silent, replica, {when, false}) == probe_effect::suspected;
}

} // namespace

TEST_CASE("A replica that did not answer is suspected until it answers, its entry goes or the suspicion expires")
{
    silent_replicas silent;
    auto directory = oneGroup();
    CHECK(recordSilence(silent, member, start));
    CHECK(recordProbe(silent, member, {start + duration(100), false}) == probe_effect::none);
    CHECK(updateSuspicions(silent, directory, start + duration(200)).suspects == std::set{member});

    SECTION("it answers")
    {
        CHECK(recordProbe(silent, member, {start + duration(300), true}) == probe_effect::none);
    }
    SECTION("its entry goes")
    {
        directory.replicas.erase(member);
    }
    SECTION("the suspicion expires")
    {
        CHECK(updateSuspicions(silent, directory, start + duration(10200)).suspects.empty());
        return;
    }
    CHECK(updateSuspicions(silent, directory, start + duration(400)).suspects.empty());
}

// An unanswered probe is recorded late, after a self-check of the daemon.
TEST_CASE("Of two probes of a replica the one that began later counts, whichever ends first")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    SECTION("the later one had an answer")
    {
        CHECK(recordProbe(silent, member, {start + duration(400), true}) == probe_effect::none);
        CHECK(recordProbe(silent, member, {start, false}) == probe_effect::none);
        CHECK(updateSuspicions(silent, directory, start + duration(800)).suspects.empty());
        CHECK(recordProbe(silent, member, {start + duration(900), false}) == probe_effect::doubtful);
        CHECK(recordProbe(silent, member, {start + duration(900) + silenceBeforeSuspicion, false}) == probe_effect::suspected);
    }
    SECTION("the later one had none")
    {
        CHECK(recordSilence(silent, member, start + duration(400)));
        CHECK(recordProbe(silent, member, {start, true}) == probe_effect::none);
        CHECK(updateSuspicions(silent, directory, start + duration(800)).suspects == std::set{member});
    }
}

TEST_CASE("A silent replica counts as crashed only if its entry, read afterwards, does not mark it as leaving")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    recordSilence(silent, head, start);
    CHECK(updateSuspicions(silent, directory, start).notLeaving.empty());
    silent.notLeaving.insert(head);
    CHECK(updateSuspicions(silent, directory, start).notLeaving == std::set{head});
    CHECK(recordProbe(silent, head, {start + duration(100), true}) == probe_effect::none);
    CHECK(updateSuspicions(silent, directory, start + duration(200)).notLeaving.empty());
}

TEST_CASE("A group's members are probed one probe at a time, and suspected ones not again")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    CHECK(membersToProbe(silent, directory, head, start).size() == 2);
    CHECK(membersToProbe(silent, directory, head, start + probeTimeout).empty());
    recordSilence(silent, member, start + probeTimeout);
    const auto again = membersToProbe(silent, directory, head, start + probeTimeout * 2);
    REQUIRE(again.size() == 1);
    CHECK(again.front().id == head);
    CHECK(membersToProbe(silent, directory, instance_id("i-nobody"), start).empty());
    CHECK(headOfGroup(directory, directory.replicas.at(member)) == head);
}

TEST_CASE("Members without an entry are probed repeatedly, silent ones less often")
{
    silent_replicas silent;
    auto directory = oneGroup();
    CHECK(unlistedToProbe(silent, directory, start).empty());
    directory.replicas.at(member).isUnlisted = true;
    CHECK(unlistedToProbe(silent, directory, start).size() == 1);
    CHECK(unlistedToProbe(silent, directory, start + duration(500)).empty());
    CHECK(unlistedToProbe(silent, directory, start + duration(900)).size() == 1);
    recordSilence(silent, member, start + duration(1000));
    CHECK(unlistedToProbe(silent, directory, start + duration(2000)).empty());
    CHECK(unlistedToProbe(silent, directory, start + duration(5000)).size() == 1);
}

// A crashed replica cannot report that it is leaving. One that was wrongly found silent and then begins to leave stops listening while it
// still finishes requests; if it were considered dead, its members would be ordered into a second group.
TEST_CASE("A silent replica whose entry afterwards marks it as leaving has not crashed")
{
    silent_replicas silent;
    auto directory = oneGroup();
    recordSilence(silent, head, start);
    silent.notLeaving.insert(head);
    directory.replicas.at(head).isDraining = true;
    const auto report = updateSuspicions(silent, directory, start + duration(2100));
    CHECK(report.suspects == std::set{head});
    CHECK(report.notLeaving.empty());
}

TEST_CASE("A silent replica whose entry vanishes without marking it as leaving has crashed")
{
    silent_replicas silent;
    auto directory = oneGroup();
    recordSilence(silent, head, start);
    silent.notLeaving.insert(head);
    directory.replicas.at(head).isDraining = true;
    directory.replicas.at(head).isUnlisted = true;
    CHECK(updateSuspicions(silent, directory, start + duration(2100)).notLeaving == std::set{head});
}

// If a hundred replicas are cut off from the key-value service at once, probing them must not use up the coordinator's processor.
TEST_CASE("Of many members without an entry a few are probed at a time, and all of them in turn")
{
    silent_replicas silent;
    replica_directory directory;
    for (int number = 0; number < 100; ++number) {
        auto replica = replicaIn(instance_id("i-" + std::to_string(number)), 1);
        replica.isUnlisted = true;
        directory.replicas.emplace(replica.id, replica);
    }
    std::set<instance_id> allProbed;
    std::size_t maxProbed = 0;
    for (duration passed{}; passed < duration(3000); passed += duration(50)) {
        const auto probed = unlistedToProbe(silent, directory, start + passed);
        maxProbed = std::max(maxProbed, probed.size());
        for (const auto &replica : probed) {
            allProbed.insert(replica.id);
        }
    }
    CHECK(maxProbed <= 8);
    CHECK(allProbed.size() == 100);
}

TEST_CASE("A replica that is silent for a second and goes on is not suspected, and is probed again meanwhile")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    int probes = 0;
    for (duration passed{}; passed < duration(5000); passed += duration(50)) {
        // Silent for a second, and then for a second again.
        const bool isSilent = passed < duration(1000) || (passed >= duration(2000) && passed < duration(3000));
        auto due = doubtfulToProbe(silent, directory, start + passed);
        if (passed == duration() || passed == duration(2000)) {
            due.push_back(directory.replicas.at(member));
        }
        for (const auto &replica : due) {
            ++probes;
            CHECK(recordProbe(silent, replica.id, {start + passed, !isSilent}) != probe_effect::suspected);
        }
        CHECK(updateSuspicions(silent, directory, start + passed).suspects.empty());
    }
    CHECK(probes >= 6);
    CHECK(doubtfulToProbe(silent, directory, start + duration(6000)).empty());
}

TEST_CASE("A replica that does not answer any more is suspected within two seconds, one that has ended at once")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    std::optional<duration> suspectedAfter;
    CHECK(recordProbe(silent, member, {start, false}) == probe_effect::doubtful);
    for (duration passed{}; passed < duration(3000) && !suspectedAfter; passed += duration(50)) {
        for (const auto &replica : doubtfulToProbe(silent, directory, start + passed)) {
            if (recordProbe(silent, replica.id, {start + passed, false}) == probe_effect::suspected) {
                suspectedAfter = passed;
            }
        }
    }
    REQUIRE(suspectedAfter);
    CHECK(*suspectedAfter >= silenceBeforeSuspicion);
    CHECK(*suspectedAfter < duration(2000));
    CHECK(recordProbe(silent, head, {start, false, {}, true}) == probe_effect::suspected);
    CHECK(updateSuspicions(silent, directory, start).suspects == std::set{head, member});
}
