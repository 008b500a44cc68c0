// SPDX-License-Identifier: Apache-2.0
// Tests replicas that restart under the same id.
#include "Libraries/Assembly/silent_replicas.h"
#include "Tests/Assembly/assemblySimulation.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id big("big");
const model_id small("small");
/// Time to close a group, form it again from members that ran its model and one that has it staged or must load it, and open it.
constexpr std::chrono::seconds repairTime(25);

void checkWhole(assembly_simulation &simulation)
{
    simulation.advance(repairTime);
    INFO(simulation.describe());
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
    CHECK(simulation.servingGroups(small) == 8);
}

served_replica incarnationOf(const instance_id &id, std::uint64_t incarnation)
{
    served_replica replica;
    replica.id = id;
    replica.incarnation = replica_incarnation(incarnation);
    return replica;
}

} // namespace

TEST_CASE("A group whose member restarted is formed anew")
{
    auto simulation = assembledSimulation();
    simulation.restart(simulation.membersOfAnyGroup(big).back());
    checkWhole(simulation);
}

TEST_CASE("A group whose head restarted is formed anew at once, without the timeout for a lost head")
{
    auto simulation = assembledSimulation();
    const auto head = simulation.membersOfAnyGroup(small).front();
    simulation.restart(head);
    simulation.advance(std::chrono::seconds(4));
    INFO(simulation.describe());
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(small) >= 7);
    checkWhole(simulation);
}

TEST_CASE("A replica that restarts while its join is pending can join another group")
{
    auto simulation = assembledSimulation();
    const auto members = simulation.membersOfAnyGroup(big);
    simulation.lose(members.back());
    for (int i = 0; i < 20; ++i) {
        simulation.advance(duration(150));
        simulation.restart(members.front());
    }
    simulation.addEmpty(0);
    simulation.advance(std::chrono::seconds(12));
    checkWhole(simulation);
}

TEST_CASE("A group does not wait for a replica that restarts while it loads weights")
{
    auto simulation = assembledSimulation();
    const auto members = simulation.membersOfAnyGroup(small);
    simulation.restart(members.front());
    simulation.advance(duration(600));
    simulation.restart(members.front());
    simulation.restart(members.back());
    checkWhole(simulation);
}

TEST_CASE("Late orders and answers of an earlier incarnation have no effect on the next one")
{
    auto simulation = assembledSimulation();
    simulation.apply({6, 0, 4900});
    for (const auto &member : simulation.membersOfAnyGroup(big)) {
        simulation.restart(member);
        simulation.advance(duration(300));
    }
    simulation.advance(std::chrono::seconds(15));
    checkWhole(simulation);
}

TEST_CASE("A suspicion ends when the suspected incarnation does")
{
    const instance_id id("i-1");
    const instant now(duration(1000000));
    silent_replicas silent;
    replica_directory directory{{{id, incarnationOf(id, 1)}}};
    CHECK(recordProbe(silent, id, {now, false, replica_incarnation(1), true}) == probe_effect::suspected);
    CHECK(updateSuspicions(silent, directory, now).suspects.contains(id));
    directory.replicas.at(id).incarnation = replica_incarnation(2);
    CHECK(updateSuspicions(silent, directory, now).suspects.empty());
    // The late result of a probe of the earlier incarnation does not concern the new one.
    recordProbe(silent, id, {now, false, replica_incarnation(1), true});
    CHECK(updateSuspicions(silent, directory, now).suspects.empty());
}

TEST_CASE("An answer to an order for an earlier incarnation does not change the state of the next one")
{
    assembly_state state;
    const instance_id id("i-1");
    const instant now(duration(1000000));
    state.incarnations[id] = replica_incarnation(2);
    state.acceptedOrders[id] = 0;
    replica_order order;
    order.to = id;
    order.incarnation = replica_incarnation(1);
    recordOrderResult(state, order, {order_result::accepted, 0}, now);
    CHECK(state.acceptedOrders.at(id) == 0);
    order.kind = order_kind::stage;
    state.stagings[id] = {big, now};
    recordOrderResult(state, order, {order_result::unknown, 0}, now);
    CHECK(state.stagings.contains(id));
    CHECK(state.avoidedUntil.empty());
}

TEST_CASE("A number of accepted orders that another incarnation reports is ignored")
{
    assembly_state state;
    const instance_id id("i-1");
    replica_order order;
    order.kind = order_kind::probe;
    order.to = id;
    order.incarnation = replica_incarnation(1);
    recordOrderResult(state, order, {order_result::accepted, 7, replica_incarnation(2)}, instant(duration(1000000)));
    CHECK_FALSE(state.acceptedOrders.contains(id));
}
