// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/coordinator.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Groups/group_standing.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

using actions = std::vector<coordinator_action>;

/// Decides one step. The numbers are those of docs/design/GROUPS.md.
class coordinator_step
{
public:
    coordinator_step(coordinator_state &state, const coordinator_view &view)
        : m_state(state)
        , m_view(view)
    {
    }

    actions operator()(const coordinator_tick & /*event*/)
    {
        if (m_state.phase != coordinator_phase::follower && m_state.phase != coordinator_phase::acquiring && !holdsLease()) {
            stepDown();
        }
        if (m_state.isCalling) {
            return sendOrders();
        }
        if (m_view.now < m_state.nextTry) {
            return sendOrders();
        }
        if (m_state.phase == coordinator_phase::follower) {
            return acquire();
        }
        if (isRenewalDue()) {
            return call(renew_coordination{m_state.lease});
        }
        if (m_state.mustRead || m_state.phase == coordinator_phase::reading) {
            return call(read_allotment{});
        }
        if (m_state.phase == coordinator_phase::active) {
            return plan();
        }
        return {};
    }

    actions operator()(const acquisition_answer &event)
    {
        m_state.isCalling = false;
        if (!event.isAcquired) {
            m_state.phase = coordinator_phase::follower;
            pauseLonger();
            return {};
        }
        m_state.failedTries = 0;
        m_state.lease = event.lease;
        m_state.leaseUntil = event.asked + m_state.settings.leaseTime;
        m_state.phase = coordinator_phase::reading;
        m_state.mustRead = true;
        return {};
    }

    actions operator()(const renewal_answer &event)
    {
        m_state.isCalling = false;
        if (m_state.phase == coordinator_phase::follower) {
            return {};
        }
        if (!event.isRenewed) {
            pause();
            return {};
        }
        if (!*event.isRenewed) {
            stepDown();
            return {};
        }
        // The lease counts from before the call was made: the service may have started counting then.
        m_state.leaseUntil = event.asked + m_state.settings.leaseTime;
        return {};
    }

    actions operator()(const allotment_answer &event)
    {
        m_state.isCalling = false;
        if (m_state.phase == coordinator_phase::follower) {
            return {};
        }
        const auto value = event.isRead ? allotmentFrom(event.entry.value) : std::nullopt;
        if (!value) {
            pause();
            return {};
        }
        m_state.mustRead = false;
        m_state.isInDoubt = m_state.isInDoubt && event.entry.changed == m_state.acceptedRevision;
        const bool isOurs = value->coordinator == m_state.settings.self && value->current == m_state.accepted.current
            && m_state.phase == coordinator_phase::active;
        if (m_state.phase == coordinator_phase::active && !isOurs) {
            // Another coordinator has taken over.
            stepDown();
            return {};
        }
        accept(*value, event.entry.changed);
        return m_state.phase == coordinator_phase::active ? sendOrders() : takeOver();
    }

    actions operator()(const write_answer &event)
    {
        m_state.isCalling = false;
        if (!m_state.pending) {
            // The lease ended while the write was under way: whatever came of it, it is no longer this daemon's to use.
            return {};
        }
        switch (event.result.outcome) {
        case swap_outcome::applied:
            accept(*m_state.pending, event.result.changed);
            m_state.isInDoubt = false;
            if (m_state.phase != coordinator_phase::active) {
                m_state.activeSince = m_view.now;
            }
            m_state.phase = coordinator_phase::active;
            return sendOrders();
        case swap_outcome::conflict:
            // Somebody else wrote, or an earlier write of ours took effect after all: only reading tells.
            m_state.mustRead = true;
            return {};
        case swap_outcome::unknown:
            m_state.mustRead = true;
            m_state.isInDoubt = true;
            pause();
            return {};
        case swap_outcome::not_sent:
            m_state.pending.reset();
            if (m_state.phase == coordinator_phase::taking_over) {
                m_state.phase = coordinator_phase::reading;
            }
            pause();
            return {};
        }
        return {};
    }

    actions operator()(const order_answer &event)
    {
        const auto found = m_state.orders.find(event.instance);
        if (found != m_state.orders.end() && found->second.ordered == event.ordered) {
            found->second.isUnderWay = false;
        }
        return {};
    }

private:
    bool holdsLease() const
    {
        return m_view.now + m_state.settings.margin < m_state.leaseUntil;
    }

    bool isRenewalDue() const
    {
        constexpr int renewalsPerLease = 3;
        const auto since = m_view.now - (m_state.leaseUntil - m_state.settings.leaseTime);
        return since >= m_state.settings.leaseTime / renewalsPerLease;
    }

    void pause()
    {
        m_state.nextTry = m_view.now + m_state.settings.retryPause;
    }

    /// After a failed try to become coordinator: twice as long each time and not in step with the others, so that the service is not
    /// met by all daemons at once when it comes back.
    void pauseLonger()
    {
        constexpr int mostDoublings = 4;
        const auto longest = m_state.settings.retryPause * (1 << std::min(m_state.failedTries, mostDoublings));
        ++m_state.failedTries;
        const auto spread = hashOf(m_state.settings.self.value(), static_cast<std::uint64_t>(m_state.failedTries));
        m_state.nextTry
            = m_view.now + longest / 2 + duration(static_cast<std::int64_t>(spread % static_cast<std::uint64_t>(longest.count() / 2 + 1)));
    }

    void stepDown()
    {
        m_state.phase = coordinator_phase::follower;
        m_state.pending.reset();
        m_state.mustRead = false;
        m_state.isInDoubt = false;
        m_state.orders.clear();
        pause();
    }

    actions call(coordinator_action action)
    {
        m_state.isCalling = true;
        auto result = sendOrders();
        result.push_back(std::move(action));
        return result;
    }

    actions acquire()
    {
        if (m_view.isAnotherActive) {
            m_state.failedTries = 0;
            pause();
            return {};
        }
        m_state.phase = coordinator_phase::acquiring;
        m_state.isCalling = true;
        return {acquire_coordination{}};
    }

    /// 2. The first write of a coordinator raises the epoch, so that every write of the one before it conflicts.
    actions takeOver()
    {
        auto next = m_state.accepted;
        next.current = next.current.next();
        next.coordinator = m_state.settings.self;
        next.lastGeneration = next.lastGeneration.next();
        // 4. Orders of the coordinators before may still be on their way for as long as the last of them can have believed
        // in its lease, and a message may be under way after that.
        const auto wait = m_view.now + m_state.settings.leaseTime + m_state.settings.orderTimeout + m_state.settings.margin;
        m_state.notBefore.clear();
        for (const auto &entry : next.withheld) {
            m_state.notBefore[entry.instance] = wait;
        }
        for (const auto &group : next.groups) {
            for (const auto &member : group.members) {
                if (!group.enginesCheckFencing) {
                    m_state.notBefore[member.instance] = wait;
                }
            }
        }
        m_state.phase = coordinator_phase::taking_over;
        return write(std::move(next));
    }

    actions write(allotment next)
    {
        m_state.pending = std::move(next);
        return call(write_allotment{m_state.acceptedRevision, toText(*m_state.pending)});
    }

    actions plan()
    {
        const planning_input input{m_state.accepted,
                                   m_view.tracker,
                                   m_view.wants,
                                   m_view.store,
                                   m_state.notBefore,
                                   m_view.now,
                                   m_view.calendarNow,
                                   m_state.settings.dataCentre,
                                   m_state.activeSince};
        auto result = planGroups(input, m_state.settings.policy);
        m_state.lastDecisions = std::move(result.decisions);
        if (allotmentProblem(result.next)) {
            return sendOrders();
        }
        if (!result.hasChanged) {
            if (!m_state.isInDoubt) {
                return sendOrders();
            }
            // 3. A write in doubt could take effect long after this daemon went on without it. One more write raises the
            // revision, so that it no longer can.
            result.next.lastGeneration = result.next.lastGeneration.next();
        }
        // 3. The intent is written before any order of it goes out.
        return write(std::move(result.next));
    }

    /// Takes the value itself: it may be the pending one, which ends here.
    void accept(allotment value, key_revision changed)
    {
        m_state.accepted = std::move(value);
        m_state.acceptedRevision = changed;
        m_state.pending.reset();
        const auto wait = m_view.now + m_state.settings.orderTimeout + m_state.settings.margin;
        for (const auto &entry : m_state.accepted.withheld) {
            m_state.notBefore.emplace(entry.instance, wait);
        }
        std::erase_if(m_state.notBefore, [&](const auto &entry) { return entry.second + m_state.settings.leaseTime < m_view.now; });
    }

    /// 3. Orders follow the accepted allotment alone, to every member that has not confirmed its place.
    actions sendOrders()
    {
        actions result;
        if (!mayOrder(m_state, m_view.now)) {
            return result;
        }
        std::set<instance_id> placed;
        for (const auto &group : m_state.accepted.groups) {
            for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
                placed.insert(group.members[rank].instance);
                orderMember(group, rank, result);
            }
        }
        releaseStrays(placed, result);
        return result;
    }

    void orderMember(const allotted_group &group, std::size_t rank, actions &result)
    {
        const auto &member = group.members[rank];
        const auto *tracked = findInstance(m_view.tracker, member.instance);
        if (tracked == nullptr || !tracked->isAnswering() || isOrdered(*tracked->lastState, group, rank)) {
            return;
        }
        engine_order order;
        order.instance = member.instance;
        order.group = group.id;
        order.ordered = group.current;
        order.rank = static_cast<int>(rank);
        order.choice = group.choice;
        for (const auto &other : group.members) {
            order.members.push_back(other.address);
        }
        send(member.address, std::move(order), result);
    }

    /// Whether the instance has taken the order, though it may still load.
    static bool isOrdered(const engine_state &state, const allotted_group &group, std::size_t rank)
    {
        return state.group == group.id && state.confirmed == group.current && state.rank == static_cast<int>(rank)
            && state.choice == group.choice && state.phase != engine_phase::failed && state.phase != engine_phase::idle;
    }

    /// An instance that believes in a group it is not in is released, so that nothing is answered from there.
    void releaseStrays(const std::set<instance_id> &placed, actions &result)
    {
        for (const auto &[id, tracked] : m_view.tracker.instances) {
            const bool isStray = tracked.isAnswering() && !tracked.lastState->group.isEmpty() && !placed.contains(id);
            if (isStray && tracked.lastState->confirmed < m_state.accepted.lastGeneration) {
                engine_order order;
                order.instance = id;
                order.ordered = m_state.accepted.lastGeneration;
                send(tracked.listed.address, std::move(order), result);
            }
        }
    }

    void send(const endpoint &to, engine_order order, actions &result)
    {
        auto &known = m_state.orders[order.instance];
        const bool isSame = known.ordered == order.ordered;
        if (isSame && (known.isUnderWay || m_view.now - known.sent < m_state.settings.orderRetry)) {
            return;
        }
        known = {order.ordered, m_view.now, true};
        result.push_back(send_order{to, std::move(order)});
    }

    coordinator_state &m_state;
    const coordinator_view &m_view;
};

} // namespace

coordinator_state makeCoordinator(const coordinator_settings &settings)
{
    coordinator_state state;
    state.settings = settings;
    return state;
}

actions step(coordinator_state &state, const coordinator_event &event, const coordinator_view &view)
{
    return std::visit(coordinator_step(state, view), event);
}

bool mayOrder(const coordinator_state &state, instant now)
{
    // An order must have left, and its answer be given up, before the lease may end.
    return state.phase == coordinator_phase::active && now + state.settings.margin + state.settings.orderTimeout < state.leaseUntil;
}

bool isActive(const coordinator_state &state, instant now)
{
    return state.phase == coordinator_phase::active && now + state.settings.margin < state.leaseUntil;
}

std::string coordinatorKey(const data_centre_id &dataCentre)
{
    return "vetchpost/coordinator/" + dataCentre.value();
}

} // namespace vetchpost
