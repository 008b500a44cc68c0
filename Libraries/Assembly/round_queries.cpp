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

bool assembly_round::isAvoided(const instance_id &instance) const
{
    return m_state.avoidedUntil.contains(instance);
}

bool assembly_round::isSilentAndUnlisted(const instance_id &instance) const
{
    const auto *replica = find(instance);
    return m_view.suspects.contains(instance) && (replica == nullptr || replica->isUnlisted);
}

const group_model *assembly_round::findModel(const model_id &id) const
{
    const auto &models = m_view.engine.models;
    const auto found = std::find_if(models.begin(), models.end(), [&](const group_model &model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

bool assembly_round::isHoldingRequests(const served_replica &head) const
{
    return head.membership->rank == 0 && !m_state.deadHeads.contains(head.id)
        && (head.membership->state == member_state::open || head.membership->state == member_state::closing);
}

bool assembly_round::wasHead(const served_replica &replica)
{
    return replica.membership && replica.membership->rank == 0;
}

/// The member's state where it says that it stands in this formation; nothing otherwise.
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

/// Why a group cannot go on with these members; empty where it can.
std::string assembly_round::memberProblem(const planned_group &group) const
{
    for (const auto &member : group.members) {
        const auto *replica = find(member.instance);
        if (replica == nullptr) {
            return "a member is gone: " + member.instance.value();
        }
        if (hasStartedAgain(member)) {
            return "a member has started again: " + member.instance.value();
        }
        if (replica->isDraining && mustReplaceNow(group, *replica)) {
            return "a member is about to leave: " + member.instance.value();
        }
        if (m_view.suspects.contains(member.instance)) {
            return "a member does not answer: " + member.instance.value();
        }
        const bool isElsewhere = replica->membership && replica->membership->formed > group.formed;
        if (isElsewhere) {
            return "a member stands in a later formation: " + member.instance.value();
        }
    }
    return {};
}

/// A leaving member stays while its head has work, for some seconds: its group serves on until a replacement is ready, or until shortly
/// before the end. A leaving head takes nothing new.
/// Nothing is replaced at once where an entry merely went: a cut between replicas and the key-value service would close groups all over,
/// most of them for a member that serves on.
bool assembly_round::mustReplaceNow(const planned_group &group, const served_replica &leaving) const
{
    if (leaving.id == group.members.front().instance || group.stage != assembly_stage::serving) {
        return true;
    }
    const auto since = m_state.drainingSince.find(leaving.id);
    if (leaving.isUnlisted && !leaving.hasAnnounced) {
        return since == m_state.drainingSince.end() || m_view.now - since->second >= m_state.policy.unlistedMemberStay;
    }
    if (since == m_state.drainingSince.end() || m_view.now - since->second >= m_state.policy.leavingStay) {
        return true;
    }
    return std::any_of(m_view.directory.replicas.begin(), m_view.directory.replicas.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return other.service == m_view.service && other.domain == leaving.domain && isUnused(other)
            && readinessOf(other, group.model) != readiness::must_load;
    });
}

/// Whether a live replica stands in no planned group.
bool assembly_round::isUnused(const served_replica &replica) const
{
    return isAlive(replica.id) && !isAvoided(replica.id)
        && std::none_of(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
               const auto &members = entry.second.members;
               return std::any_of(
                   members.begin(), members.end(), [&](const planned_member &member) { return member.instance == replica.id; });
           });
}

bool assembly_round::isAnyoneLost(const planned_group &group) const
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const planned_member &member) { return isLost(member); });
}

bool assembly_round::isLost(const planned_member &member) const
{
    return find(member.instance) == nullptr || m_view.suspects.contains(member.instance) || hasStartedAgain(member);
}

bool assembly_round::hasStartedAgain(const planned_member &member) const
{
    const auto *replica = find(member.instance);
    return replica != nullptr && isAnotherLife(replica->life, member.life);
}

readiness assembly_round::readinessOf(const served_replica &replica, const model_id &model)
{
    if (replica.model == model) {
        return readiness::same_model;
    }
    const bool isStaged = std::find(replica.staged.begin(), replica.staged.end(), model) != replica.staged.end();
    return isStaged ? readiness::staged : readiness::must_load;
}

duration assembly_round::joinPatience(const planned_group &group) const
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

/// Whether so many more loads keep within the weight store's rate.
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

/// Any number may begin then. But the first request comes unannounced, to some daemon: what leaves until this one hears of it is counted,
/// and must keep within the rate. One group at a time may always load.
bool assembly_round::mayLoadBeforeTraffic(std::size_t count) const
{
    const auto recent = recentLoads();
    return recent == 0 || static_cast<double>(recent + count) <= loadsPerWindow();
}

/// Those that began so lately that a first request may have come since, unheard.
std::size_t assembly_round::recentLoads() const
{
    return m_state.loads.size() - m_olderLoads;
}

bool assembly_round::mustLoad(const planned_group &group, const planned_member &member) const
{
    const auto *replica = find(member.instance);
    return replica != nullptr && readinessOf(*replica, group.model) == readiness::must_load;
}

/// How many orders a replica has taken: none where it has nothing to show for one.
std::optional<std::uint64_t> assembly_round::ordersTaken(const instance_id &instance)
{
    const auto known = m_state.ordersTaken.find(instance);
    if (known != m_state.ordersTaken.end()) {
        return known->second;
    }
    const auto *replica = find(instance);
    const bool isBlank = replica != nullptr && !replica->membership && !replica->model && replica->staged.empty();
    if (!isBlank || m_state.stagings.contains(instance)) {
        return std::nullopt;
    }
    m_state.ordersTaken[instance] = 0;
    return 0;
}

bool assembly_round::mayOrder(const planned_member &member) const
{
    return !member.isOrderUnderWay && m_view.now >= member.nextOrder;
}

// Commands.

void assembly_round::enter(planned_group &group, assembly_stage stage, const std::string &why)
{
    group.stage = stage;
    group.stageSince = m_view.now;
    m_counts.reset();
    decide(group, fmt::format("{}: {}", assemblyStageName(stage), why));
}

void assembly_round::decide(const planned_group &group, const std::string &what)
{
    std::string members;
    for (const auto &member : group.members) {
        members += (members.empty() ? "" : ",") + member.instance.value();
    }
    m_state.decisions.push_back(fmt::format("group={} model={} members={} {}", group.id.value(), group.model.value(), members, what));
}

void assembly_round::sendJoin(planned_group &group, planned_member &member)
{
    if (!mayOrder(member)) {
        return;
    }
    // Of a group that was formed before the first request: its loads are no longer free.
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
        const auto known = ordersTaken(member.instance);
        order.kind = known ? kind : order_kind::look;
        order.expectedOrders = known.value_or(0);
    }
    order.life = member.life;
    order.isFreeLoad = order.kind == order_kind::join && m_view.isBeforeTraffic && mustLoad(group, member);
    for (const auto &other : group.members) {
        order.members.push_back(other.instance);
    }
    member.isOrderUnderWay = true;
    m_orders.push_back(std::move(order));
}

} // namespace vetchpost
