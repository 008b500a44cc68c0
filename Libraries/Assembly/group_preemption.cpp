// SPDX-License-Identifier: Apache-2.0
// Preemption of smaller models' groups in favour of a larger model.
#include "Libraries/Assembly/assembly_round.h"

#include <algorithm>

namespace vetchpost {

/// Closes groups of smaller models in a domain if their members and the domain's free replicas include enough ones that are ready for a
/// group of a larger model.
void assembly_round::preemptForLargerModels()
{
    for (const auto *model : modelsBySize()) {
        if (presentFraction(*model) >= 1 || bestDomain(*model) != nullptr) {
            continue;
        }
        const auto victims = victimsFor(*model);
        for (auto *victim : victims) {
            victim->isPreempted = true;
            beginClose(*victim, close_method::finish, "its members complete a group of " + model->id.value());
        }
        if (!victims.empty()) {
            return;
        }
    }
}

/// How many members of a group are ready for a model.
int assembly_round::countReadyMembers(const planned_group &group, const model_id &model) const
{
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(), [&](const planned_member &member) {
        const auto *replica = find(member.instance);
        return replica != nullptr && readinessOf(*replica, model) != readiness::must_load;
    }));
}

/// Sorts groups by the number of members that are ready for a model, most first.
void assembly_round::sortByReadyMembers(std::vector<planned_group *> &groups, const group_model &model) const
{
    std::stable_sort(groups.begin(), groups.end(), [&](const planned_group *left, const planned_group *right) {
        return countReadyMembers(*left, model.id) > countReadyMembers(*right, model.id);
    });
}

/// How many members of a group and free replicas of its domain are ready for a model.
int assembly_round::countReadyWithFree(const planned_group &group, const model_id &model) const
{
    const auto *replica = find(group.members.front().instance);
    const auto free = replica == nullptr ? m_free.end() : m_free.find(replica->domain);
    return countReadyMembers(group, model) + (free == m_free.end() ? 0 : countReady(free->second, model));
}

/// The serving groups of smaller models in each domain where nothing is being formed or closed.
std::map<fabric_domain_id, std::vector<planned_group *>> assembly_round::smallerGroups(const group_model &model)
{
    std::map<fabric_domain_id, std::vector<planned_group *>> groups;
    for (auto &[id, group] : m_state.groups) {
        const auto *smaller = findModel(group.model);
        const auto *head = find(group.members.front().instance);
        const bool isSmaller
            = group.stage == assembly_stage::serving && !isEvacuated(group) && smaller != nullptr && smaller->size < model.size;
        if (isSmaller && head != nullptr && !isBusy(head->domain)) {
            groups[head->domain].push_back(&group);
        }
    }
    return groups;
}

/// Whether the model's requests still fit if it has \a groups fewer groups.
bool assembly_round::hasCapacityWithout(const group_model &model, int groups) const
{
    const auto held = m_state.demand.outstanding.find(model.id);
    const auto remainingSlots = static_cast<double>(groupCountOf(model.id).staying - groups) * m_view.engine.slots;
    return held == m_state.demand.outstanding.end() || held->second <= m_state.policy.maxPreemptionLoad * remainingSlots;
}

/// The groups to preempt for a group of a larger model, from the domain where the fewest are needed; empty if there are none.
std::vector<planned_group *> assembly_round::victimsFor(const group_model &model)
{
    std::vector<planned_group *> best;
    for (const auto &[domain, groups] : smallerGroups(model)) {
        const auto free = m_free.find(domain);
        const auto ready = free == m_free.end() ? 0 : countReady(free->second, model.id);
        auto victims = victimsAmong(groups, model, ready);
        if (!victims.empty() && (best.empty() || victims.size() < best.size())) {
            best = std::move(victims);
        }
    }
    return best;
}

/// The fewest of a domain's groups whose members, together with \a ready free replicas, complete a group of the model. Empty if they do not
/// suffice or may not be preempted.
std::vector<planned_group *> assembly_round::victimsAmong(std::vector<planned_group *> groups, const group_model &model, int ready) const
{
    sortByReadyMembers(groups, model);
    std::vector<planned_group *> victims;
    for (auto *group : groups) {
        ready += countReadyMembers(*group, model.id);
        victims.push_back(group);
        if (ready >= model.size) {
            return mayPreempt(victims, model) ? victims : std::vector<planned_group *>();
        }
    }
    return {};
}

/// Loads the weights that a larger model's group still needs, on hosts of smaller groups that may be preempted for it and on free replicas
/// of the same domain. Unlike preparatory loads these do not depend on past losses, since the model is short already and, as long as
/// nothing is lost, the smaller groups would stay as they are. Nothing is loaded while a preemption is in progress: a load evicts what its
/// host held.
void assembly_round::stageForLargerModels()
{
    if (m_view.isBeforeTraffic || m_view.engine.stagedPerHost < 1 || isPreemptionUnderWay()) {
        return;
    }
    for (const auto *model : modelsBySize()) {
        if (presentFraction(*model) < m_state.policy.shortageThreshold && bestDomain(*model) == nullptr) {
            stageForPreemption(*model, cheapestPreemption(*model));
        }
    }
}

/// The allowed preemption that needs the fewest loads; without groups if none is allowed.
assembly_round::preemption_option assembly_round::cheapestPreemption(const group_model &model)
{
    preemption_option best;
    for (auto &[domain, groups] : smallerGroups(model)) {
        auto candidate = preemptionIn(domain, std::move(groups), model);
        const bool isAllowed = !candidate.groups.empty() && mayPreempt(candidate.groups, model);
        if (isAllowed && (best.groups.empty() || candidate.requiredLoads < best.requiredLoads)) {
            best = std::move(candidate);
        }
    }
    return best;
}

/// The fewest groups of a domain whose members, together with its free replicas, suffice for a group of the model. Without groups if they
/// do not suffice.
assembly_round::preemption_option
assembly_round::preemptionIn(const fabric_domain_id &domain, std::vector<planned_group *> groups, const group_model &model) const
{
    sortByReadyMembers(groups, model);
    preemption_option result;
    if (const auto free = m_free.find(domain); free != m_free.end()) {
        result.replicas = free->second;
    }
    for (auto *group : groups) {
        if (static_cast<int>(result.replicas.size()) >= model.size) {
            break;
        }
        result.groups.push_back(group);
        for (const auto &member : group->members) {
            if (isAlive(member.instance)) {
                result.replicas.push_back(find(member.instance));
            }
        }
    }
    result.requiredLoads = std::max(0, model.size - readyOrStaging(result.replicas, model.id));
    return static_cast<int>(result.replicas.size()) >= model.size ? result : preemption_option();
}

void assembly_round::stageForPreemption(const group_model &model, const preemption_option &chosen)
{
    auto requiredLoads = chosen.requiredLoads;
    for (const auto *replica : chosen.replicas) {
        const bool mayTake
            = !m_state.stagings.contains(replica->id) && !isAvoided(replica->id) && readinessOf(*replica, model.id) == readiness::must_load;
        if (requiredLoads > 0 && mayTake && mayLoad(1)) {
            stage(*replica, model.id);
            --requiredLoads;
        }
    }
}

// Limits preemptions of several groups to one set at a time. If both models are short, groups would otherwise be closed in many domains at
// once, and none of them would serve meanwhile.
bool assembly_round::isPreemptionUnderWay() const
{
    return std::any_of(m_state.groups.begin(), m_state.groups.end(), [](const auto &entry) {
        return entry.second.isPreempted && entry.second.stage == assembly_stage::closing;
    });
}

/// Whether the smaller models can spare these groups. A single group may be preempted if the present fraction of its model's groups then
/// still exceeds the larger model's by policy.preemptionMargin. Several groups are preempted one set at a time, only if their models keep
/// all wanted groups and their requests fit into the remaining ones: each preemption costs the time of a close and an opening.
bool assembly_round::mayPreempt(const std::vector<planned_group *> &victims, const group_model &model) const
{
    std::map<model_id, int> preempted;
    for (const auto *victim : victims) {
        ++preempted[victim->model];
    }
    const bool areSeveral = victims.size() > 1;
    if (areSeveral && isPreemptionUnderWay()) {
        return false;
    }
    const auto minFraction = areSeveral ? 1 : presentFraction(model) + m_state.policy.preemptionMargin;
    return std::all_of(preempted.begin(), preempted.end(), [&](const auto &entry) {
        const auto *smaller = findModel(entry.first);
        return smaller != nullptr && presentFraction(*smaller, -entry.second) >= minFraction
            && (!areSeveral || hasCapacityWithout(*smaller, entry.second));
    });
}

} // namespace vetchpost
