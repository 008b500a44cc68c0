// SPDX-License-Identifier: Apache-2.0
// Tests what a coordinator may conclude after an outage of the key-value service, while entries have not been written again.
#include "Tests/Assembly/assemblyFuzz.h"

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const instant start(duration(1000000));
const model_id small("small");
const group_id oldGroup("g1");
const group_id newGroup("g2");
constexpr formation oldFormation(100001);
constexpr formation newFormation(200001);
/// The kind of step that takes the key-value service away; half of all steps are of this kind.
constexpr int outageKind = 11;

served_replica makeReplica(const std::string &id)
{
    served_replica replica;
    replica.id = instance_id(id);
    replica.service = service_id("large");
    replica.domain = fabric_domain_id("rack");
    replica.model = small;
    return replica;
}

served_replica makeMember(const std::string &id, const group_id &group, formation formed, int rank, member_state state)
{
    auto replica = makeReplica(id);
    replica.membership = {group, formed, rank, state};
    return replica;
}

/// A coordinator of the third term whose orders all succeed, in virtual time.
class coordinator_after_outage
{
public:
    replica_directory directory;
    assembly_state state;

    explicit coordinator_after_outage(const std::vector<served_replica> &replicas)
    {
        state.term = 3;
        for (const auto &replica : replicas) {
            directory.replicas[replica.id] = replica;
        }
    }

    std::vector<replica_order> ordersAt(duration after, const order_answer &answer = {order_result::accepted, 1})
    {
        const auto now = start + after;
        auto orders = planAssembly(state, {directory, service_id("large"), m_simulation.engine(), {}, false, now, {}, start});
        for (const auto &order : orders) {
            recordOrderResult(state, order, answer, now);
        }
        return orders;
    }

    /// Returns whether an order of the kind is sent within a time.
    bool sends(order_kind kind, duration from, duration to)
    {
        bool isSent = false;
        for (auto after = from; after < to; after += duration(100)) {
            const auto orders = ordersAt(after);
            isSent = isSent || std::any_of(orders.begin(), orders.end(), [&](const replica_order &order) { return order.kind == kind; });
        }
        return isSent;
    }

    void writeAgain(const served_replica &replica)
    {
        directory.replicas[replica.id] = replica;
    }

private:
    assembly_simulation m_simulation{1, 1, 1};
};

served_replica lapsed(served_replica replica)
{
    replica.isLapsed = true;
    return replica;
}

} // namespace

// Guards against joins of members of an open group whose lapsed entries name the group before it.
TEST_CASE("Replicas whose entries have lapsed join no group until they write them again")
{
    const auto head = makeMember("head", newGroup, newFormation, 0, member_state::open);
    coordinator_after_outage coordinator({lapsed(makeMember("a", oldGroup, oldFormation, 0, member_state::ready)),
                                          lapsed(makeMember("b", oldGroup, oldFormation, 1, member_state::ready)),
                                          head});
    CHECK_FALSE(coordinator.sends(order_kind::join, duration(0), duration(2000)));

    SECTION("they are members of an open group")
    {
        coordinator.writeAgain(makeMember("a", newGroup, newFormation, 1, member_state::ready));
        coordinator.writeAgain(makeMember("b", newGroup, newFormation, 2, member_state::ready));
        CHECK_FALSE(coordinator.sends(order_kind::join, duration(2000), duration(20000)));
    }

    SECTION("they are free")
    {
        coordinator.writeAgain(makeReplica("a"));
        coordinator.writeAgain(makeReplica("b"));
        CHECK(coordinator.sends(order_kind::join, duration(2000), duration(4000)));
    }
}

// Guards against joins of members whose head has formed a later group during the outage, and whose lapsed entry names the earlier one.
TEST_CASE("Members of a group whose head has not written its entry again stay in their group")
{
    const auto lapsedHead = lapsed(makeMember("head", oldGroup, oldFormation, 0, member_state::open));
    const auto member = makeMember("member", newGroup, newFormation, 1, member_state::ready);
    coordinator_after_outage coordinator(
        {lapsedHead, lapsed(makeMember("member", oldGroup, oldFormation, 1, member_state::ready)), makeReplica("spare")});
    CHECK_FALSE(coordinator.sends(order_kind::join, duration(0), duration(300)));
    coordinator.writeAgain(member);
    CHECK_FALSE(coordinator.sends(order_kind::join, duration(300), duration(2000)));
    coordinator.writeAgain(makeMember("head", newGroup, newFormation, 0, member_state::open));
    CHECK_FALSE(coordinator.sends(order_kind::join, duration(2000), duration(20000)));
    REQUIRE(coordinator.state.groups.contains(newGroup));
    CHECK(coordinator.state.groups.at(newGroup).stage == assembly_stage::serving);
}

// Guards against open groups that are closed since some of their entries are not back.
TEST_CASE("A group that serves is not closed while its members' entries may still return")
{
    const auto head = makeMember("head", oldGroup, oldFormation, 0, member_state::open);
    const auto member = makeMember("member", oldGroup, oldFormation, 1, member_state::ready);
    const auto last = makeMember("last", oldGroup, oldFormation, 2, member_state::ready);
    coordinator_after_outage coordinator({head, last});
    CHECK_FALSE(coordinator.sends(order_kind::close, duration(0), duration(2000)));

    SECTION("the entry returns")
    {
        coordinator.writeAgain(member);
        CHECK_FALSE(coordinator.sends(order_kind::close, duration(2000), duration(10000)));
    }

    SECTION("the entry does not return")
    {
        CHECK(coordinator.sends(order_kind::close, duration(2000), duration(3000)));
    }
}

// Guards against a head that opened after its entry lapsed and is ordered to leave, which ends its requests.
TEST_CASE("A lapsed head that was not open is not ordered to leave")
{
    coordinator_after_outage coordinator({lapsed(makeMember("head", oldGroup, oldFormation, 0, member_state::ready)),
                                          makeMember("member", oldGroup, oldFormation, 1, member_state::ready)});
    CHECK_FALSE(coordinator.sends(order_kind::leave, duration(0), duration(2000)));
    CHECK_FALSE(coordinator.state.groups.contains(oldGroup));
    coordinator.writeAgain(makeMember("head", oldGroup, oldFormation, 0, member_state::open));
    CHECK_FALSE(coordinator.sends(order_kind::leave, duration(2000), duration(20000)));
    REQUIRE(coordinator.state.groups.contains(oldGroup));
    CHECK(coordinator.state.groups.at(oldGroup).stage == assembly_stage::serving);
}

// Guards against the join of a replica whose entry is older than its membership.
TEST_CASE("A replica whose probe names a later group than its entry is not ordered to join")
{
    coordinator_after_outage coordinator({makeReplica("a"), makeReplica("b")});
    const order_answer answer{order_result::accepted, 1, {}, group_membership{newGroup, newFormation, 1, member_state::ready}};
    for (auto after = duration(0); after < duration(10000); after += duration(100)) {
        const auto orders = coordinator.ordersAt(after, answer);
        CHECK(std::none_of(orders.begin(), orders.end(), [](const replica_order &order) { return order.kind == order_kind::join; }));
    }
    CHECK(coordinator.sends(order_kind::join, duration(10000), duration(14000)));
}

TEST_CASE("No outage of the key-value service lets a replica serve in two groups or a group serve in part", "[fuzz]")
{
    checkFaults(rc::gen::map(rc::gen::inRange(0, 2 * outageKind), [](int kind) { return std::min(kind, outageKind); }));
}

TEST_CASE("Groups stay as they are over outages of the key-value service in quick succession")
{
    auto simulation = assembledSimulation();
    const auto loads = simulation.loadsBegun();
    for (int outage = 0; outage < 14; ++outage) {
        simulation.loseStoreFor(duration(4500));
        simulation.advance(duration(5900));
        CHECK(simulation.servingGroups(model_id("big")) == 8);
        CHECK(simulation.servingGroups(small) == 8);
    }
    CHECK(simulation.violation().empty());
    CHECK(simulation.loadsBegun() == loads);
}
