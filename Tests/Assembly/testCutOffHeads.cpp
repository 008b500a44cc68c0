// SPDX-License-Identifier: Apache-2.0
// Tests that a head which only its members reach keeps them until they have left it.
#include "Tests/Assembly/assemblyFuzz.h"

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id big("big");
/// The first kind of step that cuts a replica off; a third of all steps are of such a kind.
constexpr int cutOffKind = 12;
constexpr int kindsOfCuts = 2;

/// Ends all faults and checks that every replica serves again.
void checkRecovery(assembly_simulation &simulation)
{
    CHECK(simulation.violation().empty());
    simulation.heal(recoveryTime);
    CHECK(simulation.violation().empty());
    CHECK(simulation.idleReplicas() == 0);
    CHECK(simulation.servingGroups(big) > 0);
}

} // namespace

// Guards against members of an open head that are joined to another group since the head is silent and its entry has lapsed.
TEST_CASE("No cut between a head and the daemons lets a replica serve in two groups or a group serve in part", "[fuzz]")
{
    const auto anyKind = rc::gen::inRange(0, cutOffKind + kindsOfCuts);
    const auto anyCut = rc::gen::inRange(cutOffKind, cutOffKind + kindsOfCuts);
    checkFaults(rc::gen::weightedOneOf<int>({{3, anyKind}, {1, anyCut}}));
}

TEST_CASE("The members of a head that is cut off leave it while the cut lasts")
{
    auto simulation = assembledSimulation();
    const auto head = simulation.membersOfAnyGroup(big).front();
    REQUIRE(simulation.membersHeldBy(head) == 3);
    simulation.cutOff(head, std::chrono::seconds(60));
    simulation.advance(std::chrono::seconds(12));
    CHECK(simulation.violation().empty());
    CHECK(simulation.membersHeldBy(head) == 0);
    CHECK(simulation.idleReplicas() <= 3);
    simulation.advance(std::chrono::seconds(60));
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
}

TEST_CASE("A successor does not join the members of a head that has been cut off since before its term")
{
    auto simulation = assembledSimulation();
    for (const auto &members : simulation.openGroups(big)) {
        simulation.cutOff(members.front(), std::chrono::seconds(60));
    }
    simulation.advance(duration(500));
    simulation.takeOver();
    simulation.advance(std::chrono::seconds(60));
    checkRecovery(simulation);
}

TEST_CASE("Members that were cut off together with their head leave it when they can be reached again")
{
    auto simulation = assembledSimulation();
    for (const auto &members : simulation.openGroups(big)) {
        for (const auto &member : members) {
            simulation.cutOff(member, member == members.front() ? std::chrono::seconds(60) : std::chrono::seconds(30));
        }
    }
    simulation.advance(std::chrono::seconds(60));
    checkRecovery(simulation);
}
