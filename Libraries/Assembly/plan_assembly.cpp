// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

namespace {

/// A member that joined on an earlier coordinator's order.
planned_member adoptedMember(const served_replica &replica)
{
    planned_member member;
    member.instance = replica.id;
    member.incarnation = replica.incarnation;
    member.address = replica.address;
    member.hasJoined = true;
    return member;
}

void eraseUpTo(std::deque<instant> &moments, instant oldest)
{
    while (!moments.empty() && moments.front() <= oldest) {
        moments.pop_front();
    }
}

} // namespace

assembly_round::assembly_round(assembly_state &state, const assembly_view &view)
    : m_state(state)
    , m_view(view)
    , m_reportedGroups(groupsOf(view.directory, view.service))
{
    for (const auto &reported : m_reportedGroups) {
        if (const auto *head = reported.head()) {
            m_reportedHeads.emplace(reported.id, head);
        }
    }
    std::erase_if(m_state.avoidedUntil, [&](const auto &entry) { return entry.second <= m_view.now; });
    eraseUpTo(m_state.loads, m_view.now - m_state.policy.loadWindow);
    eraseUpTo(m_state.losses, m_view.now - m_state.policy.lossRetention);
    eraseUpTo(m_state.preparatoryLoads, m_view.now - m_state.policy.lossRetention);
    const auto firstRecent = std::upper_bound(m_state.loads.begin(), m_state.loads.end(), m_view.now - m_state.policy.trafficReportDelay);
    m_olderLoads = static_cast<std::size_t>(firstRecent - m_state.loads.begin());
    m_mayMissEntries = mayMissEntries();
    updateIncarnations();
    updateDraining();
    updateSilence();
    eraseEndedFormations();
    std::erase_if(m_state.releases, [&](const auto &entry) {
        const auto *replica = find(entry.first);
        return replica == nullptr || !replica->membership || replica->membership->formed != entry.second.formed;
    });
    std::erase_if(m_state.stagings, [&](const auto &entry) { return isStagingOver(entry.first, entry.second); });
}

void assembly_round::eraseEndedFormations()
{
    std::erase_if(m_state.endedFormations, [&](const auto &entry) {
        return m_view.now - entry.second > m_state.policy.endedFormationRetention
            && std::none_of(m_reportedGroups.begin(), m_reportedGroups.end(), [&](const reported_group &reported) {
                   return reported.formed == entry.first;
               });
    });
}

std::vector<replica_order> assembly_round::run()
{
    adoptGroups();
    updateEvacuatedGroups();
    closeUnplannedHeads();
    std::vector<group_id> ids;
    for (const auto &[id, group] : m_state.groups) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        advance(m_state.groups.at(id));
    }
    const auto planned = plannedMembers();
    releaseMembers(planned);
    collectFreeReplicas(planned);
    if (!isSettled()) {
        return std::move(m_orders);
    }
    updateReservations();
    // While entries are missing, groups that serve may not be counted, and the members of counted ones may have moved.
    if (!m_mayMissEntries) {
        preemptForShortModels();
    }
    formGroups();
    if (isFormingThrottled()) {
        return std::move(m_orders);
    }
    formExtraGroups();
    if (!m_mayMissEntries) {
        stageForShortModels();
    }
    stageSpares();
    stageServing();
    return std::move(m_orders);
}

void assembly_round::updateIncarnations()
{
    std::erase_if(m_state.incarnations, [&](const auto &entry) { return find(entry.first) == nullptr; });
    for (const auto &[id, replica] : m_view.directory.replicas) {
        const auto [known, isNew] = m_state.incarnations.try_emplace(id, replica.incarnation);
        if (!isNew && isAnotherIncarnation(known->second, replica.incarnation)) {
            known->second = replica.incarnation;
            resetInstance(id);
        }
    }
}

/// Clears what was recorded of a replica's earlier incarnation: the new one has accepted or refused no orders, loads nothing and is not
/// leaving. Groups detect by themselves that a member has restarted.
void assembly_round::resetInstance(const instance_id &instance)
{
    m_state.acceptedOrders.erase(instance);
    m_state.stagings.erase(instance);
    m_state.avoidedUntil.erase(instance);
    m_state.drainingSince.erase(instance);
    m_state.releases.erase(instance);
    m_state.silentWhileListed.erase(instance);
    m_state.idleSince.erase(instance);
    m_state.decisions.push_back(fmt::format("started again: instance={}", instance.value()));
}

void assembly_round::updateDraining()
{
    for (const auto &[id, replica] : m_view.directory.replicas) {
        if (replica.isDraining) {
            const auto known = m_view.directory.leavingSince.find(id);
            m_state.drainingSince.try_emplace(id, known == m_view.directory.leavingSince.end() ? m_view.now : known->second);
        }
    }
    std::erase_if(m_state.drainingSince, [&](const auto &entry) { return find(entry.first) == nullptr; });
}

void assembly_round::updateSilence()
{
    // A replica that has been marked as leaving since then has not crashed.
    std::erase_if(m_state.silentWhileListed, [&](const instance_id &id) {
        const auto *replica = find(id);
        return replica == nullptr || !m_view.suspects.contains(id) || reportsDraining(*replica);
    });
    for (const auto &id : m_view.notLeaving) {
        if (find(id) != nullptr && m_view.suspects.contains(id)) {
            m_state.silentWhileListed.insert(id);
        }
    }
}

// Groups that an earlier coordinator formed.

/// Adopts the groups of earlier terms, even if their head or members are not listed. Only replicas that report no group are free at once.
void assembly_round::adoptGroups()
{
    if (!m_state.hasAdopted) {
        m_state.since = m_view.now;
        m_state.hasAdopted = true;
    }
    for (const auto &reported : m_reportedGroups) {
        // After an outage of the key-value service, lapsed entries return one by one within two seconds, and members may return before
        // their head. A group is adopted as soon as any of its entries is present. If only the first round adopted groups, members would be
        // ordered into other groups while their head is open.
        const bool isFromBefore = reported.formed.value() < m_state.term * formationsPerTerm;
        const bool isNew = isFromBefore && isAdoptable(reported) && m_state.knownFormations.emplace(reported.id, reported.formed).second;
        const auto planned = m_state.groups.find(reported.id);
        const bool isHeadBack = isAdoptable(reported) && planned != m_state.groups.end() && planned->second.formed == reported.formed
            && reported.head() != nullptr && planned->second.members.front().instance.isEmpty();
        if (isNew || isHeadBack) {
            adoptGroup(reported);
        } else if (planned != m_state.groups.end() && planned->second.formed == reported.formed) {
            addReturnedMembers(planned->second, reported);
        }
    }
    for (auto &[id, group] : m_state.groups) {
        dropMovedMembers(group);
    }
}

/// Lapsed entries say what was true before an outage of the key-value service. Of these only groups that served are adopted, since they are
/// likely to serve still; another head may have opened, and must not be ordered to leave before its entry returns.
bool assembly_round::isAdoptable(const reported_group &reported) const
{
    const auto *head = reported.head();
    if (head != nullptr) {
        return !head->isLapsed || isHoldingRequests(*head);
    }
    return std::any_of(reported.members.begin(), reported.members.end(), [](const served_replica *member) {
        return member != nullptr && !member->isLapsed;
    });
}

/// Removes members of a group without a known head whose entries returned and name another group or none.
void assembly_round::dropMovedMembers(planned_group &group) const
{
    if (!group.members.front().instance.isEmpty()) {
        return;
    }
    for (auto &member : group.members) {
        const auto *replica = find(member.instance);
        if (replica != nullptr && !replica->isLapsed && !stateOf(group, member)) {
            member = planned_member();
        }
    }
}

/// Adds members whose entries return after their group was adopted.
void assembly_round::addReturnedMembers(planned_group &group, const reported_group &reported)
{
    group.members.resize(std::max(group.members.size(), reported.members.size()));
    for (std::size_t rank = 0; rank < reported.members.size(); ++rank) {
        const auto *member = reported.members[rank];
        if (member != nullptr && group.members[rank].instance.isEmpty()) {
            group.members[rank] = adoptedMember(*member);
        }
    }
}

void assembly_round::adoptGroup(const reported_group &reported)
{
    const auto *model = findModel(reported.model);
    if (model == nullptr) {
        return;
    }
    const auto *head = reported.head();
    const bool isWhole = static_cast<int>(reported.members.size()) == model->size
        && std::find(reported.members.begin(), reported.members.end(), nullptr) == reported.members.end();
    const bool isAnyMemberJoining = std::any_of(reported.members.begin(), reported.members.end(), [](const served_replica *member) {
        return member != nullptr && member->membership->state == member_state::joining;
    });
    planned_group group;
    group.id = reported.id;
    group.formed = reported.formed;
    group.model = reported.model;
    group.stageSince = m_view.now;
    // An order to open that the predecessor sent may still be unanswered.
    group.isOpenUnconfirmed = true;
    for (const auto *member : reported.members) {
        group.members.push_back(member == nullptr ? planned_member() : adoptedMember(*member));
    }
    if (head == nullptr) {
        // The head may serve without an entry: it may be cut off from the key-value service, its entry may have lapsed during an outage, or
        // it may be about to end unannounced. Its members are kept until it returns or has had the time to end.
        group.stage = assembly_stage::closing;
        group.closing = close_method::cut;
        group.headLostSince = m_view.followedSince;
    } else if (isHoldingRequests(*head)) {
        group.stage = assembly_stage::serving;
    } else if (!isWhole || !isAnyMemberJoining) {
        // A group that has not opened is formed anew, so that the predecessor's late orders to join find another number of accepted orders.
        group.stage = assembly_stage::leaving;
    }
    logDecision(m_state.groups[reported.id] = std::move(group), head == nullptr ? "adopted without a head" : "adopted");
}

/// Closes heads that serve but belong to no planned group, since an earlier order to open arrived late.
void assembly_round::closeUnplannedHeads()
{
    for (const auto &reported : m_reportedGroups) {
        const auto *head = reported.head();
        if (head == nullptr || head->isLapsed || !isHoldingRequests(*head) || isAvoided(head->id) || isOutOfReach(head->id)) {
            continue;
        }
        const auto planned = m_state.groups.find(reported.id);
        if (planned != m_state.groups.end() && planned->second.formed >= reported.formed) {
            continue;
        }
        replica_order order{
            order_kind::close, head->id, head->address, reported.id, reported.formed, {}, {}, close_method::cut, 0, head->incarnation};
        m_state.avoidedUntil[head->id] = m_view.now + m_state.policy.orderRetryDelay;
        m_state.decisions.push_back(fmt::format("closing an unplanned head: group={} head={}", reported.id.value(), head->id.value()));
        m_orders.push_back(std::move(order));
    }
}

void assembly_round::releaseMembers(const std::unordered_set<std::string_view> &planned)
{
    const auto firstOfLaterTerm = formation((m_state.term + 1) * formationsPerTerm);
    for (const auto &[id, replica] : m_view.directory.replicas) {
        const bool isUnplanned
            = replica.service == m_view.service && !planned.contains(id.value()) && isPresent(id) && !isEvacuated(replica);
        // Only a later coordinator knows the heads of the groups that it has formed.
        if (!isUnplanned || !mustLeave(replica) || replica.membership->formed >= firstOfLaterTerm || isHeldByReachableHead(replica)) {
            continue;
        }
        const auto &membership = *replica.membership;
        const auto [found, isNew] = m_state.releases.try_emplace(id, assembly_state::release{membership.formed, m_view.now});
        auto &release = found->second;
        if (release.isOrderPending || m_view.now < release.nextOrder) {
            continue;
        }
        release.isOrderPending = true;
        if (isNew) {
            m_state.decisions.push_back(
                fmt::format("releasing a member: group={} instance={} its group may not have ended", membership.group.value(), id.value()));
        }
        replica_order order{order_kind::leave, id, replica.address, membership.group, membership.formed};
        order.incarnation = replica.incarnation;
        m_orders.push_back(std::move(order));
    }
}

std::vector<replica_order> planAssembly(assembly_state &state, const assembly_view &view)
{
    return assembly_round(state, view).run();
}

} // namespace vetchpost
