// SPDX-License-Identifier: Apache-2.0
// Replicas that start again under their id.
#include "Libraries/Assembly/silent_replicas.h"
#include "Tests/Assembly/assemblyWorld.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id big("big");
const model_id small("small");
/// What a group takes to be closed, formed again of members that ran its model and one that has it staged or must load it, and opened.
constexpr std::chrono::seconds repairTime(25);

void checkWhole(assembly_world &world)
{
    world.advance(repairTime);
    INFO(world.describe());
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(big) == 8);
    CHECK(world.servingGroups(small) == 8);
}

served_replica lifeOf(const instance_id &id, std::uint64_t life)
{
    served_replica replica;
    replica.id = id;
    replica.life = replica_life(life);
    return replica;
}

} // namespace

TEST_CASE("A group whose member started again is formed anew")
{
    auto world = assembledWorld();
    world.restart(world.membersOfSomeGroup(big).back());
    checkWhole(world);
}

TEST_CASE("A group whose head started again is formed anew at once, without the wait for a lost head")
{
    auto world = assembledWorld();
    const auto head = world.membersOfSomeGroup(small).front();
    world.restart(head);
    world.advance(std::chrono::seconds(4));
    INFO(world.describe());
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(small) >= 7);
    checkWhole(world);
}

TEST_CASE("A replica that starts again while its join is out takes another place")
{
    auto world = assembledWorld();
    const auto members = world.membersOfSomeGroup(big);
    world.lose(members.back());
    for (int i = 0; i < 20; ++i) {
        world.advance(duration(150));
        world.restart(members.front());
    }
    world.addEmpty(0);
    world.advance(std::chrono::seconds(12));
    checkWhole(world);
}

TEST_CASE("A replica that starts again while it loads weights is not waited for")
{
    auto world = assembledWorld();
    const auto members = world.membersOfSomeGroup(small);
    world.restart(members.front());
    world.advance(duration(600));
    world.restart(members.front());
    world.restart(members.back());
    checkWhole(world);
}

TEST_CASE("Late orders and answers of an earlier life do not count for the one after it")
{
    auto world = assembledWorld();
    world.apply({6, 0, 4900});
    for (const auto &member : world.membersOfSomeGroup(big)) {
        world.restart(member);
        world.advance(duration(300));
    }
    world.advance(std::chrono::seconds(15));
    checkWhole(world);
}

TEST_CASE("A suspicion ends with the life that it was about")
{
    const instance_id id("i-1");
    const instant now(duration(1000000));
    silent_replicas silent;
    replica_directory directory{{{id, lifeOf(id, 1)}}};
    CHECK(noteLook(silent, id, {now, false, replica_life(1)}));
    CHECK(reportSilence(silent, directory, now).suspects.contains(id));
    directory.replicas.at(id).life = replica_life(2);
    CHECK(reportSilence(silent, directory, now).suspects.empty());
    // A look at the earlier life that ends late says nothing of this one.
    noteLook(silent, id, {now, false, replica_life(1)});
    CHECK(reportSilence(silent, directory, now).suspects.empty());
}

TEST_CASE("An answer to an order for an earlier life changes nothing that is known of the next")
{
    assembly_state state;
    const instance_id id("i-1");
    const instant now(duration(1000000));
    state.lives[id] = replica_life(2);
    state.ordersTaken[id] = 0;
    replica_order order;
    order.to = id;
    order.life = replica_life(1);
    noteOrderResult(state, order, {order_result::taken, 0}, now);
    CHECK(state.ordersTaken.at(id) == 0);
    order.kind = order_kind::stage;
    state.stagings[id] = {big, now};
    noteOrderResult(state, order, {order_result::unknown, 0}, now);
    CHECK(state.stagings.contains(id));
    CHECK(state.avoidedUntil.empty());
}

TEST_CASE("What the next life reports is not taken for the count of the one that was asked")
{
    assembly_state state;
    const instance_id id("i-1");
    replica_order order;
    order.kind = order_kind::look;
    order.to = id;
    order.life = replica_life(1);
    noteOrderResult(state, order, {order_result::taken, 7, replica_life(2)}, instant(duration(1000000)));
    CHECK_FALSE(state.ordersTaken.contains(id));
}
