// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

namespace {

/// A place that a predecessor gave.
planned_member adopted(const served_replica &replica)
{
    planned_member member;
    member.instance = replica.id;
    member.life = replica.life;
    member.address = replica.address;
    member.hasJoined = true;
    return member;
}

void forgetBefore(std::deque<instant> &moments, instant oldest)
{
    while (!moments.empty() && moments.front() <= oldest) {
        moments.pop_front();
    }
}

} // namespace

assembly_round::assembly_round(assembly_state &state, const assembly_view &view)
    : m_state(state)
    , m_view(view)
    , m_seen(groupsOf(view.directory, view.service))
{
    std::erase_if(m_state.avoidedUntil, [&](const auto &entry) { return entry.second <= m_view.now; });
    forgetBefore(m_state.loads, m_view.now - m_state.policy.loadWindow);
    forgetBefore(m_state.losses, m_view.now - m_state.policy.lossMemory);
    forgetBefore(m_state.preparations, m_view.now - m_state.policy.lossMemory);
    const auto firstRecent = std::upper_bound(m_state.loads.begin(), m_state.loads.end(), m_view.now - m_state.policy.trafficNotice);
    m_olderLoads = static_cast<std::size_t>(firstRecent - m_state.loads.begin());
    noteLives();
    noteDraining();
    noteSilence();
    // One that is heard again, or is no longer suspected, may still hold requests: the dead do not come back under their names.
    std::erase_if(m_state.deadHeads, [&](const instance_id &id) { return find(id) == nullptr || !m_view.suspects.contains(id); });
    std::erase_if(m_state.stagings, [&](const auto &entry) { return isStagingOver(entry.first, entry.second); });
}

std::vector<replica_order> assembly_round::run()
{
    adopt();
    closeStrays();
    std::vector<group_id> ids;
    for (const auto &[id, group] : m_state.groups) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        advance(m_state.groups.at(id));
    }
    collectFree();
    if (!isSettled()) {
        return std::move(m_orders);
    }
    preemptForLarger();
    formGroups();
    if (isFormingHeldUp()) {
        return std::move(m_orders);
    }
    formExtra();
    stageForLarger();
    stageSpares();
    stageServing();
    return std::move(m_orders);
}

void assembly_round::noteLives()
{
    std::erase_if(m_state.lives, [&](const auto &entry) { return find(entry.first) == nullptr; });
    for (const auto &[id, replica] : m_view.directory.replicas) {
        const auto [known, isNew] = m_state.lives.try_emplace(id, replica.life);
        if (!isNew && isAnotherLife(known->second, replica.life)) {
            known->second = replica.life;
            forget(id);
        }
    }
}

/// A replica that started again has taken no orders, loads nothing, leaves no more and has refused nothing. Its groups find out themselves.
void assembly_round::forget(const instance_id &instance)
{
    m_state.ordersTaken.erase(instance);
    m_state.stagings.erase(instance);
    m_state.avoidedUntil.erase(instance);
    m_state.drainingSince.erase(instance);
    m_state.deadHeads.erase(instance);
    m_state.silentWhileListed.erase(instance);
    m_state.idleSince.erase(instance);
    m_state.decisions.push_back(fmt::format("started again: instance={}", instance.value()));
}

void assembly_round::noteDraining()
{
    for (const auto &[id, replica] : m_view.directory.replicas) {
        if (replica.isDraining) {
            const auto known = m_view.directory.leavingSince.find(id);
            m_state.drainingSince.try_emplace(id, known == m_view.directory.leavingSince.end() ? m_view.now : known->second);
        }
    }
    std::erase_if(m_state.drainingSince, [&](const auto &entry) { return find(entry.first) == nullptr; });
}

void assembly_round::noteSilence()
{
    // One that says afterwards that it leaves has not crashed.
    std::erase_if(m_state.silentWhileListed, [&](const instance_id &id) {
        const auto *replica = find(id);
        return replica == nullptr || !m_view.suspects.contains(id) || saysItLeaves(*replica);
    });
    for (const auto &id : m_view.notLeaving) {
        if (find(id) != nullptr && m_view.suspects.contains(id)) {
            m_state.silentWhileListed.insert(id);
        }
    }
}

// What a predecessor left.

/// Takes over what earlier terms formed, also where the head or members are not listed: only replicas that name no group are free at once.
void assembly_round::adopt()
{
    if (!m_state.hasAdopted) {
        m_state.since = m_view.now;
        m_state.hasAdopted = true;
    }
    for (const auto &seen : m_seen) {
        // Entries that lapsed with the service come back one by one for two seconds, the members' before their head's too: a group counts
        // from the moment in which any of it is there. If only the first round took groups over, members would join other groups beside
        // open heads.
        const bool isFromBefore = seen.formed.value() < m_state.term * formationsPerTerm;
        const bool isNew = isFromBefore && m_state.metFormations.emplace(seen.id, seen.formed).second;
        const auto planned = m_state.groups.find(seen.id);
        const bool isHeadBack = planned != m_state.groups.end() && planned->second.formed == seen.formed && seen.head() != nullptr
            && planned->second.members.front().instance.isEmpty();
        if (isNew || isHeadBack) {
            adoptGroup(seen);
        } else if (planned != m_state.groups.end() && planned->second.formed == seen.formed) {
            addMissing(planned->second, seen);
        }
    }
}

/// Members whose entries come back after their group was taken over.
void assembly_round::addMissing(planned_group &group, const seen_group &seen)
{
    group.members.resize(std::max(group.members.size(), seen.members.size()));
    for (std::size_t rank = 0; rank < seen.members.size(); ++rank) {
        const auto *member = seen.members[rank];
        if (member != nullptr && group.members[rank].instance.isEmpty()) {
            group.members[rank] = adopted(*member);
        }
    }
}

void assembly_round::adoptGroup(const seen_group &seen)
{
    const auto *model = findModel(seen.model);
    if (model == nullptr) {
        return;
    }
    const auto *head = seen.head();
    const bool isWhole = static_cast<int>(seen.members.size()) == model->size
        && std::find(seen.members.begin(), seen.members.end(), nullptr) == seen.members.end();
    const bool isAnyoneJoining = std::any_of(seen.members.begin(), seen.members.end(), [](const served_replica *member) {
        return member != nullptr && member->membership->state == member_state::joining;
    });
    planned_group group;
    group.id = seen.id;
    group.formed = seen.formed;
    group.model = seen.model;
    group.stageSince = m_view.now;
    // The predecessor's last order to open may have had no answer.
    group.isOpenInDoubt = true;
    for (const auto *member : seen.members) {
        group.members.push_back(member == nullptr ? planned_member() : adopted(*member));
    }
    if (head == nullptr) {
        // It may serve without an entry: cut off from the key-value service, lapsed with it, or about to end unannounced. Its members are
        // kept until it is back or has had the time to end.
        group.stage = assembly_stage::closing;
        group.closing = close_method::cut;
        group.headLostSince = m_view.followedSince;
    } else if (isHoldingRequests(*head)) {
        group.stage = assembly_stage::serving;
    } else if (!isWhole || !isAnyoneJoining) {
        // What has not opened yet is formed anew: an order to join of the predecessor that comes late then finds another number.
        group.stage = assembly_stage::leaving;
    }
    decide(m_state.groups[seen.id] = std::move(group), head == nullptr ? "adopted without a head" : "adopted");
}

/// A head that serves although it belongs to no planned group was opened by an old order that came late.
void assembly_round::closeStrays()
{
    for (const auto &seen : m_seen) {
        const auto *head = seen.head();
        if (head == nullptr || !isHoldingRequests(*head) || isAvoided(head->id)) {
            continue;
        }
        const auto planned = m_state.groups.find(seen.id);
        if (planned != m_state.groups.end() && planned->second.formed >= seen.formed) {
            continue;
        }
        replica_order order{order_kind::close, head->id, head->address, seen.id, seen.formed, {}, {}, close_method::cut, 0, head->life};
        m_state.avoidedUntil[head->id] = m_view.now + m_state.policy.orderRetry;
        m_state.decisions.push_back(fmt::format("closing a head that no plan knows: group={} head={}", seen.id.value(), head->id.value()));
        m_orders.push_back(std::move(order));
    }
}

std::vector<replica_order> planAssembly(assembly_state &state, const assembly_view &view)
{
    return assembly_round(state, view).run();
}

} // namespace vetchpost
