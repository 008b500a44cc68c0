// SPDX-License-Identifier: Apache-2.0
// Groups while data centres are evacuated. In the simulation each fabric domain is a data centre.
#include "Tests/Assembly/assemblySimulation.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id big("big");
const model_id small("small");

assembly_simulation servingSimulation()
{
    auto simulation = assembledSimulation();
    simulation.beginTraffic();
    simulation.advance(std::chrono::seconds(10));
    return simulation;
}

int openGroupsIn(const assembly_simulation &simulation, int domain)
{
    return simulation.openGroupsIn(domain, big) + simulation.openGroupsIn(domain, small);
}

} // namespace

TEST_CASE("Groups in an evacuated data centre stay open, get no orders, and serve again afterwards")
{
    auto simulation = servingSimulation();
    const auto groups = openGroupsIn(simulation, 2);
    const auto bigElsewhere = simulation.servingGroups(big) - simulation.openGroupsIn(2, big);
    REQUIRE(groups > 0);
    simulation.evacuate({2});
    const auto orders = simulation.ordersAcceptedIn(2);
    simulation.advance(std::chrono::seconds(8));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 2) == groups);
    CHECK(simulation.ordersAcceptedIn(2) == orders);
    // The other data centres serve as many groups of the larger model as before, or more.
    CHECK(simulation.servingGroups(big) - simulation.openGroupsIn(2, big) >= bigElsewhere);
    simulation.evacuate({});
    simulation.advance(std::chrono::seconds(5));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 2) >= groups);
    CHECK(simulation.servingGroups(big) >= simulation.wantedGroups(big));
    CHECK(simulation.servingGroups(small) >= simulation.wantedGroups(small));
}

TEST_CASE("A group that loses a member in an evacuated data centre is repaired only after the evacuation")
{
    auto simulation = servingSimulation();
    simulation.evacuate({2});
    const auto groups = openGroupsIn(simulation, 2);
    for (const auto &members : simulation.openGroups(small)) {
        if (simulation.domainOf(members.front()) == 2) {
            simulation.lose(members.back());
            break;
        }
    }
    simulation.advance(std::chrono::seconds(15));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 2) < groups);
    simulation.addEmpty(2);
    const auto orders = simulation.ordersAcceptedIn(2);
    simulation.advance(std::chrono::seconds(20));
    CHECK(openGroupsIn(simulation, 2) < groups);
    CHECK(simulation.ordersAcceptedIn(2) == orders);
    simulation.evacuate({});
    simulation.advance(std::chrono::seconds(40));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 2) == groups);
}

TEST_CASE("No group is formed in a data centre that is evacuated before its groups are formed")
{
    assembly_simulation simulation(6, 8, 1);
    simulation.evacuate({0, 3});
    simulation.advance(std::chrono::seconds(8));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 0) + openGroupsIn(simulation, 3) == 0);
    CHECK(simulation.ordersAcceptedIn(0) + simulation.ordersAcceptedIn(3) == 0);
    CHECK(simulation.servingGroups(big) == simulation.wantedGroups(big));
    CHECK(simulation.servingGroups(small) == simulation.wantedGroups(small));
    simulation.evacuate({});
    simulation.advance(std::chrono::seconds(8));
    CHECK(simulation.servingGroups(big) == 8);
    CHECK(simulation.servingGroups(small) == 8);
}

// A successor adopts the groups there, which it must neither close nor count.
TEST_CASE("A coordinator that takes over during an evacuation keeps the groups there")
{
    auto simulation = servingSimulation();
    const auto groups = openGroupsIn(simulation, 2);
    simulation.evacuate({2});
    simulation.advance(std::chrono::seconds(1));
    simulation.takeOver();
    simulation.advance(std::chrono::seconds(10));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 2) == groups);
    simulation.evacuate({});
    simulation.advance(std::chrono::seconds(5));
    CHECK(openGroupsIn(simulation, 2) >= groups);
}

TEST_CASE("A lost data centre elsewhere is repaired while another one is evacuated")
{
    auto simulation = servingSimulation();
    simulation.evacuate({2});
    simulation.loseDomain(4, duration(2000));
    simulation.advance(std::chrono::seconds(40));
    CHECK(simulation.violation().empty());
    CHECK(openGroupsIn(simulation, 4) > 0);
    CHECK(simulation.servingGroups(big) - simulation.openGroupsIn(2, big) >= simulation.wantedGroups(big));
}
