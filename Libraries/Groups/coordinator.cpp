// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/coordinator.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Groups/group_state.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

using actions = std::vector<coordinator_action>;

/// Handles one event. Numbers at the start of comments refer to the rules in docs/design/GROUPS.md.
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
        // The lease ends with its era, since the service may have lost it or the key that is bound to it.
        const bool isHeld = isLeaseValid() && m_state.lease.era() == m_view.era;
        if (m_state.phase != coordinator_phase::follower && m_state.phase != coordinator_phase::acquiring && !isHeld) {
            stepDown();
        }
        if (m_state.isCalling) {
            return sendOrders();
        }
        if (m_view.now < m_state.nextAttempt) {
            return sendOrders();
        }
        if (m_state.phase == coordinator_phase::follower) {
            return acquireLease();
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
            backOff();
            return {};
        }
        m_state.failedAttempts = 0;
        m_state.lease = event.lease;
        m_state.leaseUntil = event.calledAt + m_state.settings.leaseTime;
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
            delayNextAttempt();
            return {};
        }
        if (!*event.isRenewed) {
            stepDown();
            return {};
        }
        // The service may have started the lease's term as early as the moment before the call.
        m_state.leaseUntil = event.calledAt + m_state.settings.leaseTime;
        return {};
    }

    actions operator()(const allotment_answer &event)
    {
        m_state.isCalling = false;
        if (m_state.phase == coordinator_phase::follower) {
            return {};
        }
        auto value = event.isRead ? allotmentFrom(event.entry.value) : std::nullopt;
        if (!value) {
            delayNextAttempt();
            return {};
        }
        if (m_state.phase != coordinator_phase::active) {
            // Epochs and generations must not be given out again.
            value = newestOf(*value, newestOf(m_state.accepted, event.known));
        }
        m_state.mustRead = false;
        m_state.isWriteUnconfirmed = m_state.isWriteUnconfirmed && event.entry.changed == m_state.acceptedRevision;
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
            // This daemon stepped down while the write was in progress, so its outcome no longer matters here.
            return {};
        }
        switch (event.result.outcome) {
        case swap_outcome::applied:
            accept(*m_state.pending, event.result.changed);
            m_state.isWriteUnconfirmed = false;
            if (m_state.phase != coordinator_phase::active) {
                m_state.activeSince = m_view.now;
            }
            m_state.phase = coordinator_phase::active;
            return sendOrders();
        case swap_outcome::conflict:
            // Another daemon wrote, or an earlier write of this one took effect late. Reading the allotment shows which.
            m_state.mustRead = true;
            return {};
        case swap_outcome::unknown:
            m_state.mustRead = true;
            m_state.isWriteUnconfirmed = true;
            delayNextAttempt();
            return {};
        case swap_outcome::not_sent:
            m_state.pending.reset();
            if (m_state.phase == coordinator_phase::taking_over) {
                m_state.phase = coordinator_phase::reading;
            }
            delayNextAttempt();
            return {};
        }
        return {};
    }

    actions operator()(const order_answer &event)
    {
        const auto found = m_state.orders.find(event.instance);
        if (found != m_state.orders.end() && found->second.ordered == event.ordered) {
            found->second.isInFlight = false;
        }
        return {};
    }

private:
    bool isLeaseValid() const
    {
        return m_view.now + m_state.settings.margin < m_state.leaseUntil;
    }

    bool isRenewalDue() const
    {
        constexpr int renewalsPerLease = 3;
        const auto since = m_view.now - (m_state.leaseUntil - m_state.settings.leaseTime);
        return since >= m_state.settings.leaseTime / renewalsPerLease;
    }

    void delayNextAttempt()
    {
        m_state.nextAttempt = m_view.now + m_state.settings.retryPause;
    }

    /// Delays the next attempt to become coordinator by exponential backoff with jitter, so that the daemons don't all call the key-value
    /// service at once when it recovers.
    void backOff()
    {
        constexpr int maxDoublings = 4;
        const auto maxDelay = m_state.settings.retryPause * (1 << std::min(m_state.failedAttempts, maxDoublings));
        ++m_state.failedAttempts;
        const auto jitter = hashOf(m_state.settings.self.value(), static_cast<std::uint64_t>(m_state.failedAttempts));
        m_state.nextAttempt = m_view.now + maxDelay / 2
            + duration(static_cast<std::int64_t>(jitter % static_cast<std::uint64_t>(maxDelay.count() / 2 + 1)));
    }

    void stepDown()
    {
        m_state.phase = coordinator_phase::follower;
        m_state.pending.reset();
        m_state.mustRead = false;
        m_state.isWriteUnconfirmed = false;
        m_state.orders.clear();
        delayNextAttempt();
    }

    actions call(coordinator_action action)
    {
        m_state.isCalling = true;
        auto result = sendOrders();
        result.push_back(std::move(action));
        return result;
    }

    actions acquireLease()
    {
        if (m_view.isAnotherActive) {
            m_state.failedAttempts = 0;
            delayNextAttempt();
            return {};
        }
        m_state.phase = coordinator_phase::acquiring;
        m_state.isCalling = true;
        return {acquire_coordination{}};
    }

    /// 2. Writes the allotment with the next epoch, so that any later write of the previous coordinator conflicts.
    actions takeOver()
    {
        auto next = m_state.accepted;
        next.current = next.current.next();
        next.coordinator = m_state.settings.self;
        next.lastGeneration = next.lastGeneration.next();
        // 4. Orders of previous coordinators may still arrive: the last one may have sent orders until its lease expired, and a message
        // takes up to orderTimeout.
        const auto wait = m_view.now + m_state.settings.leaseTime + m_state.settings.orderTimeout + m_state.settings.margin;
        m_state.reusableFrom.clear();
        for (const auto &entry : next.withheld) {
            m_state.reusableFrom[entry.instance] = wait;
        }
        for (const auto &group : next.groups) {
            for (const auto &member : group.members) {
                if (!group.enginesCheckFencing) {
                    m_state.reusableFrom[member.instance] = wait;
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
                                   m_state.reusableFrom,
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
            if (!m_state.isWriteUnconfirmed) {
                return sendOrders();
            }
            // 3. An unconfirmed write could take effect long after this daemon has moved on. Another write raises the revision, so that
            // the unconfirmed one conflicts.
            result.next.lastGeneration = result.next.lastGeneration.next();
        }
        // 3. The allotment is written before any order that follows from it is sent.
        return write(std::move(result.next));
    }

    /// Records an allotment as the stored one. Takes it by value, since it may be m_state.pending, which is reset here.
    void accept(allotment value, key_revision changed)
    {
        m_state.accepted = std::move(value);
        m_state.acceptedRevision = changed;
        m_state.pending.reset();
        const auto wait = m_view.now + m_state.settings.orderTimeout + m_state.settings.margin;
        for (const auto &entry : m_state.accepted.withheld) {
            m_state.reusableFrom.emplace(entry.instance, wait);
        }
        std::erase_if(m_state.reusableFrom, [&](const auto &entry) { return entry.second + m_state.settings.leaseTime < m_view.now; });
    }

    /// 3. Creates orders from the accepted allotment alone: one for each member that has not accepted its membership yet, and a release
    /// for each instance without a membership.
    actions sendOrders()
    {
        actions result;
        if (!maySendOrders(m_state, m_view.now)) {
            return result;
        }
        std::set<instance_id> placed;
        for (const auto &group : m_state.accepted.groups) {
            for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
                placed.insert(group.members[rank].instance);
                queueMemberOrder(group, rank, result);
            }
        }
        releaseUnassigned(placed, result);
        return result;
    }

    void queueMemberOrder(const allotted_group &group, std::size_t rank, actions &result)
    {
        const auto &member = group.members[rank];
        const auto *tracked = findInstance(m_view.tracker, member.instance);
        if (tracked == nullptr || !tracked->isAnswering() || hasAcceptedOrder(*tracked->lastState, group, rank)) {
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
        queueOrder(member.address, std::move(order), result);
    }

    /// Whether the instance has accepted the order for this rank. It may still be loading its weights.
    static bool hasAcceptedOrder(const engine_state &state, const allotted_group &group, std::size_t rank)
    {
        return state.group == group.id && state.confirmed == group.current && state.rank == static_cast<int>(rank)
            && state.choice == group.choice && state.phase != engine_phase::failed && state.phase != engine_phase::idle;
    }

    /// Releases instances that report a group although the allotment has none for them, so that they answer no requests.
    void releaseUnassigned(const std::set<instance_id> &placed, actions &result)
    {
        for (const auto &[id, tracked] : m_view.tracker.instances) {
            const bool isUnassigned = tracked.isAnswering() && !tracked.lastState->group.isEmpty() && !placed.contains(id);
            if (isUnassigned && tracked.lastState->confirmed < m_state.accepted.lastGeneration) {
                engine_order order;
                order.instance = id;
                order.ordered = m_state.accepted.lastGeneration;
                queueOrder(tracked.listed.address, std::move(order), result);
            }
        }
    }

    void queueOrder(const endpoint &to, engine_order order, actions &result)
    {
        auto &outstanding = m_state.orders[order.instance];
        const bool isSameOrder = outstanding.ordered == order.ordered;
        if (isSameOrder && (outstanding.isInFlight || m_view.now - outstanding.sent < m_state.settings.orderRetryDelay)) {
            return;
        }
        outstanding = {order.ordered, m_view.now, true};
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

bool maySendOrders(const coordinator_state &state, instant now)
{
    // The order must be sent and its timeout over before the lease may expire.
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
