// SPDX-License-Identifier: Apache-2.0
// Tests what becomes of the members of a head that does not answer.
#include "Tests/Assembly/groupOfTwo.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Plans for groupOfTwo() while its head is silent. Orders are not answered unless `answer` says otherwise.
class silent_head_simulation
{
public:
    silent_head_simulation()
    {
        m_state.term = 2;
        round({}, duration(0));
    }

    /// Plans one round. \a isStaying: the suspects' entries were read again and do not mark them as leaving.
    std::vector<replica_order> round(const std::set<instance_id> &suspects, duration after, bool isStaying = false)
    {
        const std::set<instance_id> noSuspects;
        const auto now = instant(duration(1000000)) + after;
        auto orders = planAssembly(
            m_state, {directory, service_id("large"), m_world.engine(), suspects, false, now, isStaying ? suspects : noSuspects});
        for (const auto &order : orders) {
            recordOrderResult(m_state, order, {answer, 0}, now);
        }
        return orders;
    }

    replica_directory directory = groupOfTwo();
    order_result answer = order_result::unknown;
    const std::set<instance_id> head = {instance_id("head")};
    const assembly_policy policy;

private:
    const assembly_simulation m_world{1, 1, 1};
    assembly_state m_state;
};

} // namespace

TEST_CASE("The member of a head that fell silent without leaving is ordered to leave at once, and joins another group then")
{
    silent_head_simulation simulation;
    simulation.answer = order_result::accepted;
    auto orders = simulation.round(simulation.head, duration(600), true);
    CHECK(hasLeave(orders));
    CHECK_FALSE(hasJoin(orders));
    // The member's entry still names the group, and the spare has refused an order a moment ago.
    bool hasJoined = false;
    for (auto after = duration(700); after <= duration(700) + simulation.policy.refusalBackoff; after += duration(100)) {
        orders = simulation.round(simulation.head, after);
        CHECK_FALSE(hasLeave(orders));
        hasJoined = hasJoined || hasJoin(orders);
    }
    CHECK(hasJoined);
}

TEST_CASE("A silent head keeps its group while it may be leaving, even if the directory does not show that")
{
    silent_head_simulation simulation;
    // Changes from the key-value service are delayed: the head may have stopped listening and still finish requests.
    for (auto after = duration(600); after < duration(600) + simulation.policy.leavingHeadTimeout; after += duration(100)) {
        const auto orders = simulation.round(simulation.head, after);
        CHECK_FALSE(hasLeave(orders));
        CHECK_FALSE(hasJoin(orders));
    }
    simulation.answer = order_result::accepted;
    CHECK(hasLeave(simulation.round(simulation.head, duration(600) + simulation.policy.leavingHeadTimeout)));
    CHECK(hasJoin(simulation.round(simulation.head, duration(700) + simulation.policy.leavingHeadTimeout)));
}

// Guards against a replica that joins a new group while the head of its group is open. It happens if a head is cut off from all daemons but
// not from its members or the key-value service, and its group is given up because all daemons that probe it find it silent. Its entry,
// read again, is present and does not mark it as leaving.
TEST_CASE("The member of a silent head joins no group before it has left, as long as the head's entry exists")
{
    silent_head_simulation simulation;
    for (int i = 0; i < 300; ++i) {
        CHECK_FALSE(hasJoin(simulation.round(simulation.head, duration(600) + duration(200) * i, true)));
    }
}

// Guards against members that join another group while their head is open or stalled but not yet broken. It happens if a head is cut off
// from the daemons and the key-value service at once, whether it reaches its members or not: its entry lapses while it is silent.
TEST_CASE("The member of a silent head whose entry is gone joins no group before it has left, however long that takes")
{
    silent_head_simulation simulation;
    const bool isForgotten = GENERATE(false, true);
    const auto end = duration(60000);
    simulation.round(simulation.head, duration(600), true);
    CHECK_FALSE(hasJoin(simulation.round(simulation.head, duration(3800))));
    markUnlisted(simulation.directory.replicas[instance_id("head")]);
    int leaves = 0;
    for (duration after(3900); after < end; after += duration(100)) {
        if (isForgotten && after == duration(16000)) {
            simulation.directory.replicas.erase(instance_id("head"));
        }
        const auto orders = simulation.round(simulation.head, after);
        CHECK_FALSE(hasJoin(orders));
        leaves += hasLeave(orders) ? 1 : 0;
    }
    CHECK(leaves >= (end - duration(3900)) / (2 * simulation.policy.orderRetryDelay));
    simulation.answer = order_result::accepted;
    simulation.round(simulation.head, end + simulation.policy.orderRetryDelay);
    CHECK(hasJoin(simulation.round(simulation.head, end + simulation.policy.orderRetryDelay + duration(100))));
}

// Guards against a member that is taken for released since its head answers again and reports itself ready, while an order to open may
// still arrive at that head.
TEST_CASE("The member of a head that was out of reach has to leave it also when the head is back and not open")
{
    silent_head_simulation simulation;
    simulation.round(simulation.head, duration(600), true);
    simulation.directory.replicas[instance_id("head")].membership->state = member_state::ready;
    for (auto after = duration(700); after < duration(5000); after += duration(100)) {
        const auto orders = simulation.round({}, after);
        CHECK(std::none_of(orders.begin(), orders.end(), [](const replica_order &order) {
            return order.to == instance_id("member") && order.kind != order_kind::leave;
        }));
    }
}

TEST_CASE("A silent head that has begun to leave keeps its group until it has finished")
{
    silent_head_simulation simulation;
    simulation.directory.replicas.at(instance_id("head")).isDraining = true;
    for (auto after = duration(600); after < duration(600) + simulation.policy.leavingHeadTimeout; after += duration(100)) {
        const auto orders = simulation.round(simulation.head, after, false);
        CHECK_FALSE(hasLeave(orders));
        CHECK_FALSE(hasJoin(orders));
    }
    CHECK(hasLeave(simulation.round(simulation.head, duration(600) + simulation.policy.leavingHeadTimeout)));
}

// Guards against a group that stands still until its head gives up, since a member has carried out a late order to leave.
TEST_CASE("A group that serves is closed when a member reports that it is no longer in it")
{
    silent_head_simulation simulation;
    const auto isClosed = [&](duration after) {
        const auto orders = simulation.round({}, after);
        return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) { return order.kind == order_kind::close; });
    };
    CHECK_FALSE(isClosed(duration(100)));
    simulation.directory.replicas[instance_id("member")].membership.reset();
    CHECK(isClosed(duration(200)));
}
