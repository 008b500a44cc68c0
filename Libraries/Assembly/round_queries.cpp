// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

const served_replica *assembly_round::find(const instance_id &instance) const
{
    const auto found = m_view.directory.replicas.find(instance);
    return found == m_view.directory.replicas.end() ? nullptr : &found->second;
}

bool assembly_round::isAlive(const instance_id &instance) const
{
    const auto *replica = find(instance);
    return replica != nullptr && !replica->isDraining && !m_view.suspects.contains(instance);
}

bool assembly_round::isPresent(const instance_id &instance) const
{
    return isAlive(instance) && !find(instance)->isLapsed;
}

bool assembly_round::mayMissEntries() const
{
    return m_view.now - m_view.followedSince < m_state.policy.entryReturnTime
        || std::any_of(m_view.directory.replicas.begin(), m_view.directory.replicas.end(), [&](const auto &entry) {
               return entry.second.isLapsed && entry.second.service == m_view.service;
           });
}

bool assembly_round::isAvoided(const instance_id &instance) const
{
    return m_state.avoidedUntil.contains(instance);
}

bool assembly_round::isOutOfReach(const instance_id &instance) const
{
    return find(instance) == nullptr || m_view.suspects.contains(instance);
}

std::unordered_set<std::string_view> assembly_round::plannedMembers() const
{
    std::unordered_set<std::string_view> members;
    members.reserve(m_view.directory.replicas.size());
    for (const auto &[id, group] : m_state.groups) {
        for (const auto &member : group.members) {
            members.insert(member.instance.value());
        }
    }
    return members;
}

const group_model *assembly_round::findModel(const model_id &id) const
{
    const auto &models = m_view.engine.models;
    const auto found = std::find_if(models.begin(), models.end(), [&](const group_model &model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

bool assembly_round::isHoldingRequests(const served_replica &head)
{
    return head.membership->rank == 0 && (head.membership->state == member_state::open || head.membership->state == member_state::closing);
}

// What a lapsed entry says is out of date: the head may have opened since.
bool assembly_round::mayHoldRequests(const served_replica &head)
{
    return head.isLapsed || isHoldingRequests(head);
}

const served_replica *assembly_round::headOf(const served_replica &replica) const
{
    const auto &membership = *replica.membership;
    const auto found = m_reportedHeads.find(membership.group);
    return found == m_reportedHeads.end() || found->second->membership->formed != membership.formed ? nullptr : found->second;
}

bool assembly_round::mayGroupHoldRequests(const served_replica &replica) const
{
    if (!replica.membership || hasLeft(replica)) {
        return false;
    }
    const auto *head = headOf(replica);
    return mustLeave(replica) || (head != nullptr && mayHoldRequests(*head));
}

bool assembly_round::isHeldByReachableHead(const served_replica &replica) const
{
    const auto *head = headOf(replica);
    return head != nullptr && mayHoldRequests(*head) && !isOutOfReach(head->id);
}

// A head that is cut off from the daemons and from the key-value service looks the same as one that has crashed, and serves for as long as
// it reaches its members. No wait ends that, but a member that has left does: the head stands still and gives up. The head itself may have
// opened since its entry was written.
bool assembly_round::mustLeave(const served_replica &replica) const
{
    return replica.membership && !hasLeft(replica) && !m_state.endedFormations.contains(replica.membership->formed);
}

bool assembly_round::hasLeft(const served_replica &replica) const
{
    const auto release = m_state.releases.find(replica.id);
    return release != m_state.releases.end() && release->second.hasLeft && replica.membership
        && replica.membership->formed == release->second.formed;
}

const planned_member *assembly_round::findMemberHeldElsewhere(const planned_group &group) const
{
    const auto found = std::find_if(group.members.begin(), group.members.end(), [&](const planned_member &member) {
        const auto *replica = find(member.instance);
        const bool isElsewhere = replica != nullptr && !replica->isLapsed && replica->membership
            && replica->membership->formed != group.formed && !hasLeft(*replica);
        const auto *head = isElsewhere ? headOf(*replica) : nullptr;
        return !member.hasJoined && head != nullptr && !head->isLapsed && isHoldingRequests(*head);
    });
    return found == group.members.end() ? nullptr : &*found;
}

bool assembly_round::mayJoin(const planned_group &group, const planned_member &member) const
{
    const auto *replica = find(member.instance);
    if (replica == nullptr || replica->isLapsed) {
        return false;
    }
    const bool isHere = replica->membership && replica->membership->formed == group.formed;
    return isHere || !mayGroupHoldRequests(*replica);
}

bool assembly_round::wasHead(const served_replica &replica)
{
    return replica.membership && replica.membership->rank == 0;
}

std::optional<member_state> assembly_round::stateOf(const planned_group &group, const planned_member &member) const
{
    const auto *replica = find(member.instance);
    const bool isHere = replica != nullptr && replica->membership && replica->membership->group == group.id
        && replica->membership->formed == group.formed;
    return isHere ? std::optional(replica->membership->state) : std::nullopt;
}

bool assembly_round::isReady(const planned_group &group, const planned_member &member) const
{
    return member.hasJoined && stateOf(group, member) == member_state::ready;
}

const planned_member *assembly_round::findMemberThatLeft(const planned_group &group) const
{
    const auto found = std::find_if(group.members.begin(), group.members.end(), [&](const planned_member &member) {
        return isPresent(member.instance) && !stateOf(group, member);
    });
    return found == group.members.end() ? nullptr : &*found;
}

std::string assembly_round::memberProblem(const planned_group &group) const
{
    for (const auto &member : group.members) {
        const auto *replica = find(member.instance);
        if (isAwaited(member)) {
            continue;
        }
        if (replica == nullptr) {
            return "a member is gone: " + member.instance.value();
        }
        if (hasStartedAgain(member)) {
            return "a member has restarted: " + member.instance.value();
        }
        if (replica->isDraining && mustReplaceNow(group, *replica)) {
            return "a member is about to leave: " + member.instance.value();
        }
        if (m_view.suspects.contains(member.instance)) {
            return "a member does not answer: " + member.instance.value();
        }
        const bool isElsewhere = replica->membership && replica->membership->formed > group.formed;
        if (isElsewhere) {
            return "a member has joined a later formation: " + member.instance.value();
        }
    }
    return {};
}

/// A leaving head accepts no new requests, so its group must close at once. Another leaving member stays for some seconds while its head
/// has work; the group serves until a replacement is ready or the member is about to end. A member whose entry merely vanished is not
/// replaced early: a network partition between replicas and the key-value service would close groups in many domains, most of them for
/// members that still serve.
bool assembly_round::mustReplaceNow(const planned_group &group, const served_replica &leaving) const
{
    if (leaving.id == group.members.front().instance || group.stage != assembly_stage::serving) {
        return true;
    }
    const auto since = m_state.drainingSince.find(leaving.id);
    if (leaving.isUnlisted && !leaving.hadReportedDraining) {
        return since == m_state.drainingSince.end() || m_view.now - since->second >= m_state.policy.unlistedMemberGrace;
    }
    if (since == m_state.drainingSince.end() || m_view.now - since->second >= m_state.policy.leavingMemberGrace) {
        return true;
    }
    return std::any_of(m_view.directory.replicas.begin(), m_view.directory.replicas.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return other.service == m_view.service && other.domain == leaving.domain && isUnused(other)
            && readinessOf(other, group.model) != readiness::must_load;
    });
}

bool assembly_round::isUnused(const served_replica &replica) const
{
    return isPresent(replica.id) && !isAvoided(replica.id) && !isEvacuated(replica)
        && std::none_of(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
               const auto &members = entry.second.members;
               return std::any_of(
                   members.begin(), members.end(), [&](const planned_member &member) { return member.instance == replica.id; });
           });
}

bool assembly_round::isAnyMemberLost(const planned_group &group) const
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const planned_member &member) { return isLost(member); });
}

bool assembly_round::isLost(const planned_member &member) const
{
    return (find(member.instance) == nullptr && !isAwaited(member)) || m_view.suspects.contains(member.instance) || hasStartedAgain(member);
}

bool assembly_round::isAwaited(const planned_member &member) const
{
    return member.instance.isEmpty() && m_mayMissEntries;
}

bool assembly_round::hasStartedAgain(const planned_member &member) const
{
    const auto *replica = find(member.instance);
    return replica != nullptr && isAnotherIncarnation(replica->incarnation, member.incarnation);
}

readiness assembly_round::readinessOf(const served_replica &replica, const model_id &model)
{
    if (replica.model == model) {
        return readiness::same_model;
    }
    const bool isStaged = std::find(replica.staged.begin(), replica.staged.end(), model) != replica.staged.end();
    return isStaged ? readiness::staged : readiness::must_load;
}

duration assembly_round::joinTimeout(const planned_group &group) const
{
    const auto *model = findModel(group.model);
    return m_state.policy.joinSlack + (model == nullptr ? duration() : 2 * model->loadTime);
}

bool assembly_round::isStagingOver(const instance_id &instance, const assembly_state::staging &staging) const
{
    const auto *replica = find(instance);
    if (replica == nullptr || replica->isDraining || m_view.suspects.contains(instance)) {
        return true;
    }
    const bool isThere = std::find(replica->staged.begin(), replica->staged.end(), staging.model) != replica->staged.end();
    const auto *model = findModel(staging.model);
    return isThere || model == nullptr || m_view.now - staging.since > m_state.policy.joinSlack + 2 * model->loadTime;
}

bool assembly_round::mayLoad(std::size_t count) const
{
    if (m_view.isBeforeTraffic) {
        return mayLoadBeforeTraffic(count);
    }
    if (m_state.stagings.size() + count > static_cast<std::size_t>(m_view.engine.concurrentLoads)) {
        return false;
    }
    return static_cast<double>(m_state.loads.size() + count) <= loadsPerWindow();
}

double assembly_round::loadsPerWindow() const
{
    const auto window = std::chrono::duration<double>(m_state.policy.loadWindow).count();
    // A predecessor's loads may have begun in the same window.
    const auto share = m_state.policy.loadRateShare * (m_view.now - m_state.since < m_state.policy.loadWindow ? 0.5 : 1);
    return std::max(1.0, m_view.engine.loadsPerSecond * window * share);
}

/// Before the first request loads are not limited as such. But that request comes unannounced, to any daemon, so the loads that begin
/// before this daemon learns of it must keep within the rate. One group at a time may always load.
bool assembly_round::mayLoadBeforeTraffic(std::size_t count) const
{
    const auto recent = recentLoads();
    return recent == 0 || static_cast<double>(recent + count) <= loadsPerWindow();
}

/// The number of loads that began within policy.trafficReportDelay, so that a first request may have preceded them.
std::size_t assembly_round::recentLoads() const
{
    return m_state.loads.size() - m_olderLoads;
}

bool assembly_round::mustLoad(const planned_group &group, const planned_member &member) const
{
    const auto *replica = find(member.instance);
    return replica != nullptr && readinessOf(*replica, group.model) == readiness::must_load;
}

/// A replica without a membership, a model or staged weights has accepted no orders. For another one the number is known from a probe.
std::optional<std::uint64_t> assembly_round::acceptedOrders(const instance_id &instance)
{
    const auto known = m_state.acceptedOrders.find(instance);
    if (known != m_state.acceptedOrders.end()) {
        return known->second;
    }
    const auto *replica = find(instance);
    const bool isFresh = replica != nullptr && !replica->membership && !replica->model && replica->staged.empty();
    if (!isFresh || m_state.stagings.contains(instance)) {
        return std::nullopt;
    }
    m_state.acceptedOrders[instance] = 0;
    return 0;
}

bool assembly_round::mayOrder(const planned_member &member) const
{
    return !member.isOrderPending && m_view.now >= member.nextOrder;
}

// Stage changes and orders.

void assembly_round::enterStage(planned_group &group, assembly_stage stage, const std::string &why)
{
    group.stage = stage;
    group.stageSince = m_view.now;
    m_counts.reset();
    logDecision(group, fmt::format("{}: {}", assemblyStageName(stage), why));
}

void assembly_round::logDecision(const planned_group &group, const std::string &what)
{
    std::string members;
    for (const auto &member : group.members) {
        members += (members.empty() ? "" : ",") + member.instance.value();
    }
    m_state.decisions.push_back(fmt::format("group={} model={} members={} {}", group.id.value(), group.model.value(), members, what));
}

void assembly_round::sendJoin(planned_group &group, planned_member &member)
{
    if (!mayOrder(member) || !mayJoin(group, member)) {
        return;
    }
    // The group may have been formed before the first request, when its loads were free; after it they count.
    const bool isCounted = !m_view.isBeforeTraffic && mustLoad(group, member);
    if (isCounted && !mayLoad(1)) {
        return;
    }
    send(group, member, order_kind::join);
    if (isCounted && m_orders.back().kind == order_kind::join) {
        m_state.loads.push_back(m_view.now);
    }
}

void assembly_round::send(planned_group &group, planned_member &member, order_kind kind)
{
    replica_order order{kind, member.instance, member.address, group.id, group.formed, group.model, {}, group.closing};
    if (kind == order_kind::join) {
        const auto known = acceptedOrders(member.instance);
        order.kind = known ? kind : order_kind::probe;
        order.expectedOrders = known.value_or(0);
        const auto *replica = find(member.instance);
        order.listedFormation = replica != nullptr && replica->membership ? replica->membership->formed : formation();
    }
    order.incarnation = member.incarnation;
    order.isFreeLoad = order.kind == order_kind::join && m_view.isBeforeTraffic && mustLoad(group, member);
    for (const auto &other : group.members) {
        order.members.push_back(other.instance);
    }
    member.isOrderPending = true;
    m_orders.push_back(std::move(order));
}

} // namespace vetchpost
