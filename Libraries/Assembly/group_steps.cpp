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
        watch(group);
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
        // It never opened: there is nothing to close.
        dissolve(group, problem.empty() ? group.why : problem);
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
        enter(group, assembly_stage::opening, "all members are ready");
        open(group);
    } else if (m_view.now - group.stageSince > joinPatience(group)) {
        dissolve(group, "it did not come together in time");
    }
}

void assembly_round::open(planned_group &group)
{
    const auto &head = group.members.front();
    const auto state = stateOf(group, head);
    if (state == member_state::open) {
        enter(group, assembly_stage::serving, "the head is open");
        return;
    }
    const auto problem = memberProblem(group);
    if (!problem.empty() || !state || state == member_state::broken) {
        // The order to open may have been taken: the head must close before its members are used again.
        beginClose(group, close_method::cut, problem.empty() ? "the head lost its place" : problem);
        return;
    }
    auto &member = group.members.front();
    if (mayOrder(member)) {
        send(group, member, order_kind::open);
    }
}

void assembly_round::watch(planned_group &group)
{
    if (group.isOpenInDoubt && m_view.now - group.stageSince > m_state.policy.latestOrder) {
        group.isOpenInDoubt = false;
    }
    const auto problem = memberProblem(group);
    if (!problem.empty()) {
        noteLosses(group);
        beginClose(group, isAnyoneLost(group) ? close_method::cut : close_method::finish, problem);
        return;
    }
    const auto state = stateOf(group, group.members.front());
    if (!state || state == member_state::broken || state == member_state::closing) {
        beginClose(group, close_method::cut, "the head no longer serves");
    } else if (state == member_state::ready) {
        enter(group, assembly_stage::opening, "the head was closed by somebody else");
    }
}

void assembly_round::noteLosses(const planned_group &group)
{
    for (const auto &member : group.members) {
        if (isLost(member)) {
            m_state.losses.push_back(m_view.now);
        }
    }
}

void assembly_round::beginClose(planned_group &group, close_method method, const std::string &why)
{
    group.closing = method;
    group.hasTakenClose = false;
    group.headLostSince.reset();
    // An order to open that has no answer yet may have none at all.
    group.isOpenInDoubt = group.isOpenInDoubt || (group.stage == assembly_stage::opening && group.members.front().isOrderUnderWay);
    group.members.front().isOrderUnderWay = false;
    group.members.front().nextOrder = m_view.now;
    enter(group, assembly_stage::closing, why);
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
        // A head that is still ready may be about to open: only its answer to the order to close says that it will not.
        const bool mayStillOpen = state == member_state::ready && !group.hasTakenClose;
        if (!isHolding && !mayStillOpen) {
            dissolve(group, "its head is closed");
            return;
        }
    } else if (!group.headLostSince) {
        group.headLostSince = m_view.now;
    }
    // A leaving head stops listening before it has finished: that nobody reaches it is no sign of its end. The directory may not tell yet
    // that it leaves.
    // Neither is it where its entry stays: a replica that is cut off from all daemons still heartbeats, and holds its group.
    const bool hasEntry = listed != nullptr && !listed->isUnlisted;
    const bool isUnknown = head.instance.isEmpty();
    const bool mayLeave = isUnknown || (listed != nullptr && !m_state.silentWhileListed.contains(head.instance));
    const auto patience = mayLeave ? m_state.policy.leavingHeadWait : m_state.policy.silentHeadWait;
    const bool isWaitOver = group.headLostSince && m_view.now - *group.headLostSince >= patience && (mayLeave || !hasEntry);
    const bool isCut = group.hasTakenClose && group.closing == close_method::cut;
    // A head that is cut off from everybody loses its entry before it gives up: it stands still and holds its group until the engines'
    // stall time is over.
    if (isWaitOver || (group.headLostSince && isCut)) {
        m_state.deadHeads.insert(head.instance);
        dissolve(group, "its head is gone");
        return;
    }
    // A member that is lost meanwhile leaves nothing to wait for.
    const bool mustCutNow = group.closing == close_method::finish && isAnyoneLost(group);
    if (mustCutNow) {
        group.closing = close_method::cut;
        group.hasTakenClose = false;
    }
    if (!group.hasTakenClose && !isUnknown && mayOrder(head)) {
        send(group, head, order_kind::close);
    }
}

/// Waits until no late order can open the head any more; its members are kept until then.
void assembly_round::leave(planned_group &group)
{
    auto &head = group.members.front();
    const bool isStallOver = m_view.now - group.stageSince >= m_state.policy.silentHeadWait;
    const bool isGone = m_state.deadHeads.contains(head.instance) || (isStallOver && isSilentAndUnlisted(head.instance));
    if (group.hasLeft || isGone || !stateOf(group, head)) {
        erase(group, "its head has left");
    } else if (mayOrder(head)) {
        send(group, head, order_kind::leave);
    }
}

void assembly_round::dissolve(planned_group &group, const std::string &why)
{
    if (!group.isOpenInDoubt) {
        erase(group, why);
        return;
    }
    enter(group, assembly_stage::leaving, why);
    group.members.front().nextOrder = m_view.now;
    leave(group);
}

void assembly_round::erase(planned_group &group, const std::string &why)
{
    decide(group, "dissolved: " + why);
    const auto id = group.id;
    m_state.groups.erase(id);
    m_counts.reset();
}

} // namespace vetchpost
