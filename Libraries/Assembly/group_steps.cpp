// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <algorithm>

namespace vetchpost {

void assembly_round::advance(planned_group &group)
{
    switch (group.stage) {
    case assembly_stage::joining:
        join(group);
        return;
    case assembly_stage::opening:
        open(group);
        return;
    case assembly_stage::serving:
        monitor(group);
        return;
    case assembly_stage::closing:
        close(group);
        return;
    case assembly_stage::leaving:
        leave(group);
        return;
    }
}

void assembly_round::join(planned_group &group)
{
    if (const auto problem = memberProblem(group); !problem.empty() || !group.why.empty()) {
        // The group has never been ordered to open, so there is nothing to close.
        dissolve(group, problem.empty() ? group.why : problem);
        return;
    }
    if (isEvacuated(group)) {
        dissolve(group, "its data centre is evacuated");
        return;
    }
    if (const auto *member = findMemberHeldElsewhere(group)) {
        dissolve(group, "a member belongs to a group that serves: " + member->instance.value());
        return;
    }
    auto &head = group.members.front();
    if (!head.hasJoined) {
        sendJoin(group, head);
        return;
    }
    bool areReady = true;
    for (auto &member : group.members) {
        if (!member.hasJoined) {
            sendJoin(group, member);
        }
        areReady = areReady && isReady(group, member);
    }
    if (areReady) {
        enterStage(group, assembly_stage::opening, "all members are ready");
        open(group);
    } else if (m_view.now - group.stageSince > joinTimeout(group)) {
        dissolve(group, "it did not come together in time");
    }
}

void assembly_round::open(planned_group &group)
{
    const auto &head = group.members.front();
    const auto state = stateOf(group, head);
    if (state == member_state::open) {
        enterStage(group, assembly_stage::serving, "the head is open");
        return;
    }
    const auto problem = memberProblem(group);
    if (!problem.empty() || !state || state == member_state::broken) {
        // The head may have accepted the order to open, so it must close before its members join another group.
        beginClose(group, close_method::cut, problem.empty() ? "the head lost its membership" : problem);
        return;
    }
    auto &member = group.members.front();
    if (mayOrder(member)) {
        send(group, member, order_kind::open);
    }
}

void assembly_round::monitor(planned_group &group)
{
    if (group.isOpenUnconfirmed && m_view.now - group.stageSince > m_state.policy.maxOrderDelay) {
        group.isOpenUnconfirmed = false;
    }
    const auto problem = memberProblem(group);
    if (!problem.empty()) {
        recordLosses(group);
        beginClose(group, isAnyMemberLost(group) ? close_method::cut : close_method::finish, problem);
        return;
    }
    const auto state = stateOf(group, group.members.front());
    if (state == member_state::closing) {
        // An earlier coordinator has ordered the head to close; its requests may finish.
        beginClose(group, close_method::finish, "the head is closing already");
    } else if (!state || state == member_state::broken) {
        beginClose(group, close_method::cut, "the head no longer serves");
    } else if (const auto *member = findMemberThatLeft(group)) {
        beginClose(group, close_method::cut, "a member has left: " + member->instance.value());
    } else if (state == member_state::ready) {
        enterStage(group, assembly_stage::opening, "the head was closed without an order of this coordinator");
    }
}

void assembly_round::recordLosses(const planned_group &group)
{
    for (const auto &member : group.members) {
        if (isLost(member) && !isEvacuated(group)) {
            m_state.losses.push_back(m_view.now);
        }
    }
}

void assembly_round::beginClose(planned_group &group, close_method method, const std::string &why)
{
    group.closing = method;
    group.hasAcceptedClose = false;
    group.headLostSince.reset();
    // A pending order to open may never be answered.
    group.isOpenUnconfirmed = group.isOpenUnconfirmed || (group.stage == assembly_stage::opening && group.members.front().isOrderPending);
    group.members.front().isOrderPending = false;
    group.members.front().nextOrder = m_view.now;
    enterStage(group, assembly_stage::closing, why);
    close(group);
}

void assembly_round::close(planned_group &group)
{
    auto &head = group.members.front();
    const auto *listed = find(head.instance);
    const auto state = stateOf(group, head);
    if (listed != nullptr && !m_view.suspects.contains(head.instance)) {
        group.headLostSince.reset();
        const bool isHolding = state == member_state::open || state == member_state::closing;
        // A head that reports itself ready may be about to open; only its answer to the order to close rules that out.
        const bool mayStillOpen = state == member_state::ready && !group.hasAcceptedClose;
        if (!isHolding && !mayStillOpen && !listed->isLapsed) {
            dissolve(group, "its head is closed");
            return;
        }
    } else if (!group.headLostSince) {
        group.headLostSince = m_view.now;
    }
    // A leaving head stops listening before it has finished, so being unreachable does not mean that it has ended, and the directory may
    // not yet show that it is leaving.
    const bool isUnknown = head.instance.isEmpty();
    const bool mayBeLeaving = isUnknown || (listed != nullptr && !m_state.silentWhileListed.contains(head.instance));
    const bool isCut = group.hasAcceptedClose && group.closing == close_method::cut;
    const auto leavingTime = mayBeLeaving && !isCut ? m_state.policy.leavingHeadTimeout : duration();
    if (group.headLostSince && m_view.now - *group.headLostSince >= leavingTime) {
        erase(group, "its head cannot be reached");
        return;
    }
    // Once a member is lost, the group's requests cannot finish.
    const bool mustCutNow = group.closing == close_method::finish && isAnyMemberLost(group);
    if (mustCutNow) {
        group.closing = close_method::cut;
        group.hasAcceptedClose = false;
    }
    if (!group.hasAcceptedClose && !isUnknown && mayOrder(head)) {
        send(group, head, order_kind::close);
    }
}

/// Keeps the group's members until the head has left the group, so that no late order can open it.
void assembly_round::leave(planned_group &group)
{
    auto &head = group.members.front();
    if (isOutOfReach(head.instance) && !group.hasLeft) {
        erase(group, "its head cannot be reached");
    } else if (group.hasLeft || !stateOf(group, head)) {
        end(group, "its head has left");
    } else if (mayOrder(head)) {
        send(group, head, order_kind::leave);
    }
}

void assembly_round::dissolve(planned_group &group, const std::string &why)
{
    if (!group.isOpenUnconfirmed) {
        end(group, why);
        return;
    }
    enterStage(group, assembly_stage::leaving, why);
    group.members.front().nextOrder = m_view.now;
    leave(group);
}

void assembly_round::end(planned_group &group, const std::string &why)
{
    m_state.endedFormations[group.formed] = m_view.now;
    erase(group, why);
}

void assembly_round::erase(planned_group &group, const std::string &why)
{
    logDecision(group, "dissolved: " + why);
    const auto id = group.id;
    m_state.groups.erase(id);
    m_counts.reset();
}

} // namespace vetchpost
