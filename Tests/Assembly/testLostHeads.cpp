// SPDX-License-Identifier: Apache-2.0
// Groups whose head is silent or absent, leaves, or was ordered by an earlier coordinator: when their members may be used again.
#include "Tests/Assembly/assemblyWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id small("small");

/// A group of two with its head open, and a spare replica beside them.
replica_directory groupOfTwo()
{
    replica_directory directory;
    for (const auto *id : {"head", "member", "spare"}) {
        served_replica replica;
        replica.id = instance_id(id);
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack");
        replica.model = small;
        replica.membership = {group_id("g"), formation(1), replica.id.value() == "head" ? 0 : 1, member_state::ready};
        directory.replicas[replica.id] = replica;
    }
    directory.replicas[instance_id("head")].membership->state = member_state::open;
    directory.replicas[instance_id("spare")].membership.reset();
    return directory;
}

void markUnlisted(served_replica &replica)
{
    replica.isDraining = true;
    replica.isUnlisted = true;
}

} // namespace

// A tenth of all replicas was cut off from the key-value service for five seconds and served on. Their groups were closed all at once,
// since a replica that could take the member's place was free, and two thirds of the requests came late.
TEST_CASE("A group goes on serving with a member whose entry went, while that member answers")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    const auto closesAt = [&](duration after, const std::set<instance_id> &suspects) {
        const auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), suspects, false, now + after});
        return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) { return order.kind == order_kind::close; });
    };
    CHECK_FALSE(closesAt(duration(0), nobody));
    auto &member = directory.replicas[instance_id("member")];
    markUnlisted(member);
    const auto went = duration(1000);
    for (auto after = went; after < went + state.policy.unlistedMemberStay; after += duration(500)) {
        CHECK_FALSE(closesAt(after, nobody));
    }

    SECTION("its entry comes back")
    {
        member.isDraining = false;
        member.isUnlisted = false;
        CHECK_FALSE(closesAt(went + state.policy.unlistedMemberStay, nobody));
    }

    SECTION("it stays away: before one that leaves can have ended, its group closes")
    {
        CHECK(closesAt(went + state.policy.unlistedMemberStay, nobody));
    }

    SECTION("it stops answering")
    {
        CHECK(closesAt(went + duration(7500), {instance_id("member")}));
    }

    SECTION("a member that says it leaves is replaced as soon as it can be")
    {
        member.isUnlisted = false;
        CHECK(closesAt(went + duration(7500), nobody));
    }
}

TEST_CASE("A leaving head that no longer listens keeps its group until it has finished")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    markUnlisted(directory.replicas[instance_id("head")]);

    const assembly_world world(1, 1, 1);
    const std::set<instance_id> silent = {instance_id("head")};
    assembly_state state;
    state.term = 2;
    const auto ordersAt = [&](instant when) {
        const auto silentThen = when == now ? std::set<instance_id>() : silent;
        return planAssembly(state, {directory, service_id("large"), world.engine(), silentThen, false, when});
    };
    // It has taken the order to finish; from then on nobody reaches it.
    for (const auto &order : ordersAt(now)) {
        noteOrderResult(state, order, {order_result::taken, 0}, now);
    }
    for (int i = 1; i < 9; ++i) {
        for (const auto &order : ordersAt(now + duration(1000) * i)) {
            CHECK(order.kind != order_kind::join);
            noteOrderResult(state, order, {order_result::gone, 0}, now + duration(1000) * i);
        }
        CHECK(state.groups.contains(group_id("g")));
    }
    ordersAt(now + state.policy.leavingHeadWait + duration(2000));
    CHECK_FALSE(state.groups.contains(group_id("g")));
}

namespace {

/// Plans for groupOfTwo() while its head is silent. Orders have no answer.
class silent_head
{
public:
    silent_head()
    {
        m_state.term = 2;
        round({}, duration(0));
    }

    /// \a isStaying: its entry, read anew, says that it does not leave.
    void round(const std::set<instance_id> &suspects, duration after, bool isStaying = false)
    {
        const std::set<instance_id> nobody;
        const auto now = instant(duration(1000000)) + after;
        const auto orders = planAssembly(
            m_state, {directory, service_id("large"), m_world.engine(), suspects, false, now, isStaying ? suspects : nobody});
        for (const auto &order : orders) {
            noteOrderResult(m_state, order, {order_result::unknown, 0}, now);
        }
    }

    bool hasGroup() const
    {
        return m_state.groups.contains(group_id("g"));
    }

    replica_directory directory = groupOfTwo();
    const std::set<instance_id> head = {instance_id("head")};
    const assembly_policy policy;

private:
    const assembly_world m_world{1, 1, 1};
    assembly_state m_state;
};

} // namespace

TEST_CASE("A head that fell silent without leaving has crashed, and does not keep its group for longer when its entry lapses")
{
    silent_head world;
    CHECK(world.hasGroup());
    world.round(world.head, duration(600), true);
    markUnlisted(world.directory.replicas[instance_id("head")]);
    world.round(world.head, duration(4000));
    CHECK(world.hasGroup());
    world.round(world.head, duration(600) + world.policy.silentHeadWait);
    world.round(world.head, duration(700) + world.policy.silentHeadWait);
    CHECK_FALSE(world.hasGroup());
}

TEST_CASE("A silent head keeps its group while it may be leaving, though the directory does not say so")
{
    silent_head world;
    // The service's watch told nothing for a while: the head may have stopped listening and still finish requests.
    world.round(world.head, duration(600));
    world.round(world.head, duration(800));
    CHECK(world.hasGroup());
    world.round(world.head, duration(700) + world.policy.silentHeadWait);
    CHECK(world.hasGroup());
    world.round(world.head, duration(700) + world.policy.leavingHeadWait);
    world.round(world.head, duration(800) + world.policy.leavingHeadWait);
    CHECK_FALSE(world.hasGroup());
}

// What users saw: a replica took its place in a new group while the head of its group was open. The head was cut off from all daemons for
// six seconds, but not from its members and not from the key-value service. Eight daemons that were asked to look found it silent, and none
// found it alive; half a second after the cut its group was given up. The evidence: the entry was read anew, was there and did not say that
// the replica leaves; a replica that has crashed loses its entry after three heartbeats.
TEST_CASE("A silent head that does not leave keeps its group as long as its entry is there")
{
    silent_head world;
    for (int i = 0; i < 40; ++i) {
        world.round(world.head, duration(600) + duration(200) * i, true);
        CHECK(world.hasGroup());
    }
}

// The soak's seed 301: a head was cut off from its members, the daemons and the key-value service at once. Its entry lapsed before the
// stall time was over, several daemons had found it silent, and its members joined another group while it stood still and was not yet
// broken.
TEST_CASE("A silent head whose entry goes keeps its group until the stall time is over")
{
    silent_head world;
    world.round(world.head, duration(600), true);
    world.round(world.head, duration(3800));
    CHECK(world.hasGroup());
    markUnlisted(world.directory.replicas[instance_id("head")]);
    for (duration after(3900); after < duration(600) + world.policy.silentHeadWait; after += duration(100)) {
        world.round(world.head, after);
        CHECK(world.hasGroup());
    }
    world.round(world.head, duration(600) + world.policy.silentHeadWait);
    world.round(world.head, duration(700) + world.policy.silentHeadWait);
    CHECK_FALSE(world.hasGroup());
}

TEST_CASE("A head that was found silent by mistake and begins to leave then keeps its group until it has finished")
{
    silent_head world;
    world.round(world.head, duration(600), true);
    world.directory.replicas.at(instance_id("head")).isDraining = true;
    world.round(world.head, duration(2000));
    world.round(world.head, duration(3000));
    world.round(world.head, duration(1500) + world.policy.silentHeadWait);
    CHECK(world.hasGroup());
    world.round(world.head, duration(1500) + world.policy.leavingHeadWait);
    CHECK_FALSE(world.hasGroup());
}

namespace {

/// Whether any of the orders gives a replica a place in another group.
bool hasJoin(const std::vector<replica_order> &orders)
{
    return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) {
        // A join begins with a question for the number of orders taken.
        return order.kind == order_kind::join || order.kind == order_kind::look;
    });
}

} // namespace

// What users saw: a replica took its place in a new group while the head of its group was open. The head had been cut off from the
// key-value service, so that its entry was gone, and still served; then all daemons were killed. The one that coordinated next knew the
// service's listing alone. It took the members, whose head nobody listed, for free. The evidence: an order to join right after a takeover,
// without any decision on the group that the member named.
TEST_CASE("A successor that does not find a group's head in the listing leaves its members alone while the head may still serve")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    const auto head = directory.replicas.extract(instance_id("head"));
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    const auto ordersAt = [&](duration after) {
        auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + after, {}, now});
        for (const auto &order : orders) {
            noteOrderResult(state, order, {order_result::taken, 0}, now + after);
        }
        return orders;
    };

    SECTION("it comes back into the listing")
    {
        for (int i = 0; i < 8; ++i) {
            CHECK_FALSE(hasJoin(ordersAt(duration(1000) * i)));
        }
        directory.replicas[instance_id("head")] = head.mapped();
        for (int i = 80; i < 140; ++i) {
            CHECK_FALSE(hasJoin(ordersAt(duration(100) * i)));
        }
    }

    SECTION("the successor has followed the entries for long: the head has had the time to end")
    {
        const auto orders = planAssembly(
            state, {directory, service_id("large"), world.engine(), nobody, false, now, {}, now - state.policy.leavingHeadWait});
        CHECK(hasJoin(orders));
    }

    SECTION("it never comes back")
    {
        for (int i = 0; i < 8; ++i) {
            CHECK_FALSE(hasJoin(ordersAt(duration(1000) * i)));
        }
        bool hasJoined = false;
        for (int i = 8; i < 20; ++i) {
            hasJoined = hasJoin(ordersAt(duration(1000) * i)) || hasJoined;
        }
        CHECK(hasJoined);
    }
}

// What users saw: after the key-value service had been away and all daemons had been killed, fifteen replicas took places in new groups
// while the heads of theirs were open. The entries had lapsed with the service; they came back one by one within two seconds, the
// coordinator had started and planned already, and members whose head was not back yet counted as free. The evidence: no decision to adopt
// the groups, orders to join their members, and 20 ms later "closing a head that no plan knows".
TEST_CASE("A successor leaves groups alone whose entries come back after it has begun to plan")
{
    const instant now(duration(1000000));
    const auto whole = groupOfTwo();
    replica_directory directory;
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    const auto ordersAt = [&](duration after) {
        auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + after, {}, now});
        for (const auto &order : orders) {
            noteOrderResult(state, order, {order_result::taken, 0}, now + after);
        }
        return orders;
    };
    CHECK(ordersAt(duration(0)).empty());
    directory.replicas[instance_id("spare")] = whole.replicas.at(instance_id("spare"));
    directory.replicas[instance_id("member")] = whole.replicas.at(instance_id("member"));
    for (int i = 1; i < 5; ++i) {
        CHECK_FALSE(hasJoin(ordersAt(duration(100) * i)));
    }
    directory = whole;
    for (int i = 5; i < 40; ++i) {
        const auto orders = ordersAt(duration(100) * i);
        CHECK_FALSE(hasJoin(orders));
        CHECK(std::none_of(orders.begin(), orders.end(), [](const replica_order &order) {
            return order.kind == order_kind::close || order.kind == order_kind::leave;
        }));
    }
    CHECK(state.groups.contains(group_id("g")));
}

TEST_CASE("A successor leaves members alone whose entries come back one after the other, and their head's last")
{
    const instant now(duration(1000000));
    const auto whole = groupOfTwo();
    auto another = whole.replicas.at(instance_id("member"));
    another.id = instance_id("another");
    another.membership->rank = 2;
    replica_directory directory;
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    const auto hasJoinAt = [&](duration after) {
        auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + after, {}, now});
        for (const auto &order : orders) {
            noteOrderResult(state, order, {order_result::taken, 0}, now + after);
        }
        return hasJoin(orders);
    };
    directory.replicas[instance_id("spare")] = whole.replicas.at(instance_id("spare"));
    directory.replicas[instance_id("member")] = whole.replicas.at(instance_id("member"));
    CHECK_FALSE(hasJoinAt(duration(0)));
    directory.replicas[another.id] = another;
    for (int i = 1; i < 20; ++i) {
        CHECK_FALSE(hasJoinAt(duration(100) * i));
    }
}

// What users saw: a replica took its place in a new group while the head of its group was open. The head had been cut off from all daemons
// and the key-value service for some seconds: it was taken for dead and its group was given up. When the cut ended it was still open by its
// own word, but what had been decided of it stayed decided: it and its members counted as free. The evidence: an order to join after the
// head had answered again.
TEST_CASE("A head that was taken for dead and is heard again holds its group until it is closed")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    // Without the spare no new group can be formed while the head is silent.
    directory.replicas.erase(instance_id("spare"));
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    const std::set<instance_id> silent = {instance_id("head")};
    assembly_state state;
    state.term = 2;
    const auto ordersAt = [&](duration after, const std::set<instance_id> &suspects, order_result result) {
        auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), suspects, false, now + after, suspects});
        for (const auto &order : orders) {
            noteOrderResult(state, order, {result, 0}, now + after);
        }
        return orders;
    };
    ordersAt(duration(0), nobody, order_result::unknown);
    const auto entry = directory.replicas[instance_id("head")];
    ordersAt(duration(600), silent, order_result::unknown);
    // It was cut off from the key-value service too.
    markUnlisted(directory.replicas[instance_id("head")]);
    ordersAt(duration(750), silent, order_result::unknown);
    REQUIRE(state.groups.contains(group_id("g")));
    const auto givenUp = duration(750) + state.policy.silentHeadWait;
    ordersAt(givenUp, silent, order_result::unknown);
    REQUIRE_FALSE(state.groups.contains(group_id("g")));

    // The cut has ended.
    directory.replicas[instance_id("head")] = entry;
    bool isTold = false;
    for (int i = 0; i < 20; ++i) {
        const auto orders = ordersAt(givenUp + duration(1250 + 100 * i), nobody, order_result::taken);
        CHECK_FALSE(hasJoin(orders));
        isTold = isTold
            || std::any_of(orders.begin(), orders.end(), [](const replica_order &order) { return order.kind == order_kind::close; });
    }
    CHECK(isTold);
    directory.replicas[instance_id("head")].membership->state = member_state::ready;
    bool hasJoined = false;
    for (int i = 0; i < 20; ++i) {
        hasJoined = hasJoin(ordersAt(givenUp + duration(4250 + 100 * i), nobody, order_result::taken)) || hasJoined;
    }
    CHECK(hasJoined);
}

// What users saw: a replica took its place in a new group while the head of its group was closing. The head had been told to finish; while
// that order was under way a direct look at it had no answer in time, so that it was to be cut off instead. Its answer to the first order
// then counted as an answer to the second one, which was never sent: the group was given up while the head still finished requests. The
// evidence: one order to close, with the method to finish, before the decision that the head is gone.
TEST_CASE("A head that has taken the order to finish has not taken the one to cut")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    directory.replicas.erase(instance_id("spare"));
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    const std::set<instance_id> silent = {instance_id("head")};
    assembly_state state;
    state.term = 2;
    const auto ordersAt = [&](duration after, const std::set<instance_id> &suspects) {
        return planAssembly(state, {directory, service_id("large"), world.engine(), suspects, false, now + after, suspects});
    };
    const auto isClose = [](const replica_order &order) { return order.kind == order_kind::close; };
    ordersAt(duration(0), nobody);
    // A member begins to leave, and nobody can replace it.
    directory.replicas[instance_id("member")].isDraining = true;
    ordersAt(duration(100), nobody);
    const auto after = state.policy.leavingStay + duration(200);
    const auto asked = ordersAt(after, nobody);
    const auto finish = std::find_if(asked.begin(), asked.end(), isClose);
    REQUIRE(finish != asked.end());
    REQUIRE(finish->method == close_method::finish);
    directory.replicas[instance_id("head")].membership->state = member_state::closing;
    ordersAt(after + duration(200), silent);
    noteOrderResult(state, *finish, {order_result::taken, 0}, now + after + duration(250));
    ordersAt(after + duration(300), silent);
    CHECK(state.groups.contains(group_id("g")));
    const auto orders = ordersAt(after + duration(250) + state.policy.orderRetry, silent);
    const auto cut = std::find_if(orders.begin(), orders.end(), isClose);
    REQUIRE(cut != orders.end());
    CHECK(cut->method == close_method::cut);
    noteOrderResult(state, *cut, {order_result::taken, 0}, now + after + duration(1200));
    ordersAt(after + duration(1300), silent);
    CHECK_FALSE(state.groups.contains(group_id("g")));
}

// What can happen, by reading: two small groups are closed so that their replicas can form a larger one. The larger group's head takes its
// place; the order to join that goes to a member of the other small group has no answer and is still on its way when the coordinator is
// killed. Its successor finds that small group whole and ready and opens it, while its members have taken no order since: the late order
// still finds the number that it expects, and the member leaves for the larger group while its own head is open.
TEST_CASE("A successor opens no group on the places that a predecessor gave, since an order of that one may still come late")
{
    constexpr std::uint64_t takenBefore = 5;
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    directory.replicas.erase(instance_id("spare"));
    directory.replicas[instance_id("head")].membership->state = member_state::ready;
    std::map<instance_id, std::uint64_t> taken = {{instance_id("head"), takenBefore}, {instance_id("member"), takenBefore}};
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    bool isOpen = false;
    for (int i = 0; i < 60 && !isOpen; ++i) {
        const auto when = now + duration(100) * i;
        for (const auto &order : planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, when})) {
            auto &replica = directory.replicas.at(order.to);
            if (order.kind == order_kind::look) {
                noteOrderResult(state, order, {order_result::taken, taken[order.to]}, when);
                continue;
            }
            ++taken[order.to];
            if (order.kind == order_kind::join) {
                const auto rank = std::find(order.members.begin(), order.members.end(), order.to) - order.members.begin();
                replica.membership = {order.group, order.formed, static_cast<int>(rank), member_state::ready};
            } else if (order.kind == order_kind::leave) {
                replica.membership.reset();
            } else if (order.kind == order_kind::open) {
                replica.membership->state = member_state::open;
                isOpen = true;
            }
            noteOrderResult(state, order, {order_result::taken, 0}, when);
        }
    }
    REQUIRE(isOpen);
    // A late order to the member expects the number from before.
    CHECK(taken[instance_id("member")] > takenBefore);
}

// What can happen, by reading: a head is told to open; before it answers, a member is found silent, and the head is told to close. It
// answers that at once: it is not open. Its group was then given up although the order to open had no answer yet: that one may come seconds
// later, and open a head whose members have been given other places meanwhile.
TEST_CASE("A group whose order to open is still under way is not given up before its head has left it")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    directory.replicas.erase(instance_id("spare"));
    for (auto &[id, replica] : directory.replicas) {
        replica.membership.reset();
    }
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    std::set<instance_id> silent;
    assembly_state state;
    state.term = 2;
    std::optional<replica_order> open;
    std::vector<order_kind> toHead;
    for (int i = 0; i < 60; ++i) {
        const auto when = now + duration(20) * i;
        for (const auto &order : planAssembly(state, {directory, service_id("large"), world.engine(), silent, false, when})) {
            if (order.kind == order_kind::open) {
                open = order;
                silent.insert(order.members.back());
                continue;
            }
            if (open && order.to == open->to) {
                toHead.push_back(order.kind);
            }
            if (order.kind == order_kind::join) {
                const auto rank = std::find(order.members.begin(), order.members.end(), order.to) - order.members.begin();
                directory.replicas.at(order.to).membership = {order.group, order.formed, static_cast<int>(rank), member_state::ready};
            }
            noteOrderResult(state, order, {order.kind == order_kind::close ? order_result::held : order_result::taken, 0}, when);
        }
    }
    REQUIRE(open);
    CHECK(std::find(toHead.begin(), toHead.end(), order_kind::close) != toHead.end());
    CHECK(std::find(toHead.begin(), toHead.end(), order_kind::leave) != toHead.end());
}

// What callers saw: six streams broke off. A member had been leaving for six seconds when the coordinator changed; the new one counted from
// its own start and let the group serve on until the member ended.
TEST_CASE("A successor counts how long a member has been leaving from when that was known")
{
    const instant now(duration(1000000));
    auto directory = groupOfTwo();
    directory.replicas.erase(instance_id("spare"));
    directory.replicas[instance_id("member")].isDraining = true;
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 2;
    directory.leavingSince[instance_id("member")] = now - state.policy.leavingStay + duration(1000);
    const auto closesAt = [&](duration after) {
        const auto orders = planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + after});
        return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) { return order.kind == order_kind::close; });
    };
    CHECK_FALSE(closesAt(duration(0)));
    CHECK_FALSE(closesAt(duration(900)));
    CHECK(closesAt(duration(1000)));
}
