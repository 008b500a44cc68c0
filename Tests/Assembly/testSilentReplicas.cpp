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

} // namespace

TEST_CASE("A replica that did not answer is suspected until it answers, its entry goes or the suspicion is old")
{
    silent_replicas silent;
    auto directory = oneGroup();
    CHECK(noteLook(silent, member, {start, false}));
    CHECK_FALSE(noteLook(silent, member, {start + duration(100), false}));
    CHECK(reportSilence(silent, directory, start + duration(200)).suspects == std::set{member});

    SECTION("it answers")
    {
        CHECK_FALSE(noteLook(silent, member, {start + duration(300), true}));
    }
    SECTION("its entry goes")
    {
        directory.replicas.erase(member);
    }
    SECTION("the suspicion is old")
    {
        CHECK(reportSilence(silent, directory, start + duration(10200)).suspects.empty());
        return;
    }
    CHECK(reportSilence(silent, directory, start + duration(400)).suspects.empty());
}

// A look without an answer counts late, after a check of the daemon's own link.
TEST_CASE("Of two looks at a replica the one that began later counts, whichever ends first")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    SECTION("the later one had an answer")
    {
        CHECK_FALSE(noteLook(silent, member, {start + duration(400), true}));
        CHECK_FALSE(noteLook(silent, member, {start, false}));
        CHECK(reportSilence(silent, directory, start + duration(800)).suspects.empty());
        CHECK(noteLook(silent, member, {start + duration(900), false}));
    }
    SECTION("the later one had none")
    {
        CHECK(noteLook(silent, member, {start + duration(400), false}));
        CHECK_FALSE(noteLook(silent, member, {start, true}));
        CHECK(reportSilence(silent, directory, start + duration(800)).suspects == std::set{member});
    }
}

TEST_CASE("A silent replica has crashed only where its entry, read afterwards, said that it does not leave")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    noteLook(silent, head, {start, false});
    CHECK(reportSilence(silent, directory, start).notLeaving.empty());
    silent.notLeaving.insert(head);
    CHECK(reportSilence(silent, directory, start).notLeaving == std::set{head});
    CHECK_FALSE(noteLook(silent, head, {start + duration(100), true}));
    CHECK(reportSilence(silent, directory, start + duration(200)).notLeaving.empty());
}

TEST_CASE("A group's members are looked at once at a time, and suspected ones not again")
{
    silent_replicas silent;
    const auto directory = oneGroup();
    CHECK(membersToLookAt(silent, directory, head, start).size() == 2);
    CHECK(membersToLookAt(silent, directory, head, start + lookTimeout).empty());
    noteLook(silent, member, {start + lookTimeout, false});
    const auto again = membersToLookAt(silent, directory, head, start + lookTimeout * 2);
    REQUIRE(again.size() == 1);
    CHECK(again.front().id == head);
    CHECK(membersToLookAt(silent, directory, instance_id("i-nobody"), start).empty());
    CHECK(headOfGroup(directory, directory.replicas.at(member)) == head);
}

TEST_CASE("Members without an entry are looked at again and again, silent ones less often")
{
    silent_replicas silent;
    auto directory = oneGroup();
    CHECK(unlistedToLookAt(silent, directory, start).empty());
    directory.replicas.at(member).isUnlisted = true;
    CHECK(unlistedToLookAt(silent, directory, start).size() == 1);
    CHECK(unlistedToLookAt(silent, directory, start + duration(500)).empty());
    CHECK(unlistedToLookAt(silent, directory, start + duration(900)).size() == 1);
    noteLook(silent, member, {start + duration(1000), false});
    CHECK(unlistedToLookAt(silent, directory, start + duration(2000)).empty());
    CHECK(unlistedToLookAt(silent, directory, start + duration(5000)).size() == 1);
}

// A replica that has crashed cannot say any more that it leaves. One that was found silent by mistake, and begins to leave then, stops
// listening while it still finishes requests: taking that silence for its death put its members into a second group.
TEST_CASE("A silent replica whose entry says afterwards that it leaves has not crashed")
{
    silent_replicas silent;
    auto directory = oneGroup();
    noteLook(silent, head, {start, false});
    silent.notLeaving.insert(head);
    directory.replicas.at(head).isDraining = true;
    const auto report = reportSilence(silent, directory, start + duration(2100));
    CHECK(report.suspects == std::set{head});
    CHECK(report.notLeaving.empty());
}

TEST_CASE("A silent replica whose entry goes without a word that it leaves has crashed")
{
    silent_replicas silent;
    auto directory = oneGroup();
    noteLook(silent, head, {start, false});
    silent.notLeaving.insert(head);
    directory.replicas.at(head).isDraining = true;
    directory.replicas.at(head).isUnlisted = true;
    CHECK(reportSilence(silent, directory, start + duration(2100)).notLeaving == std::set{head});
}

// A hundred replicas that are cut off from the key-value service at once must not keep the coordinator busy with looks.
TEST_CASE("Of many members without an entry a few are looked at at a time, and each gets its turn")
{
    silent_replicas silent;
    replica_directory directory;
    for (int number = 0; number < 100; ++number) {
        auto replica = replicaIn(instance_id("i-" + std::to_string(number)), 1);
        replica.isUnlisted = true;
        directory.replicas.emplace(replica.id, replica);
    }
    std::set<instance_id> seen;
    std::size_t most = 0;
    for (duration passed{}; passed < duration(3000); passed += duration(50)) {
        const auto looked = unlistedToLookAt(silent, directory, start + passed);
        most = std::max(most, looked.size());
        for (const auto &replica : looked) {
            seen.insert(replica.id);
        }
    }
    CHECK(most <= 8);
    CHECK(seen.size() == 100);
}
