// SPDX-License-Identifier: Apache-2.0
// Preemption of groups in favour of a model that is short of groups.
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace vetchpost {

/// Removes the reservations that are not needed any more, and prolongs those whose preempted groups are still closing.
void assembly_round::updateReservations()
{
    for (const auto &[id, group] : m_state.groups) {
        const auto *head = find(group.members.front().instance);
        const auto reserved = head == nullptr ? m_state.reservations.end() : m_state.reservations.find(head->domain);
        if (reserved != m_state.reservations.end() && group.isPreempted && isReleasedSoon(group)) {
            reserved->second.until = m_view.now + m_state.policy.reservationTime;
        }
    }
    std::erase_if(m_state.reservations, [&](const auto &entry) {
        const auto *model = findModel(entry.second.model);
        const bool isNeeded = model != nullptr && presentFraction(*model) < 1;
        if (!isNeeded || m_view.now > entry.second.until) {
            m_state.decisions.push_back(fmt::format("reservation ended: domain={} model={} {}",
                                                    entry.first.value(),
                                                    entry.second.model.value(),
                                                    isNeeded ? "no group could be formed" : "no more needed"));
            return true;
        }
        return false;
    });
}

int assembly_round::reservationsFor(const model_id &model) const
{
    return static_cast<int>(std::count_if(
        m_state.reservations.begin(), m_state.reservations.end(), [&](const auto &entry) { return entry.second.model == model; }));
}

bool assembly_round::isScarce(const group_model &model) const
{
    return presentFraction(model) < m_state.policy.scarcityThreshold;
}

/// Closes groups of other models in a domain if their members and the replicas that are free or become free soon include enough ones that
/// are ready for a group of a short model.
void assembly_round::preemptForShortModels()
{
    for (const auto *model : unservedModels()) {
        const auto choice = choosePacking(packingModel(*model), packingModels(), packingDomains(), packingLimits(), packing_basis::ready);
        if (choice) {
            preempt(*model, *choice);
            return;
        }
    }
}

void assembly_round::preempt(const group_model &model, const packing_choice &choice)
{
    const auto why = fmt::format("its members complete a group of {} in domain={}, of which {} of {} groups are present",
                                 model.id.value(),
                                 choice.domain.value(),
                                 presentGroups(model.id),
                                 m_targets.at(model.id));
    m_state.reservations[choice.domain] = {model.id, m_view.now + m_state.policy.reservationTime};
    m_state.decisions.push_back(
        fmt::format("reserved: domain={} model={} closed_groups={}", choice.domain.value(), model.id.value(), choice.closed.size()));
    for (const auto &id : choice.closed) {
        auto &group = m_state.groups.at(id);
        group.isPreempted = true;
        beginClose(group, close_method::finish, why);
    }
}

std::vector<const group_model *> assembly_round::unservedModels() const
{
    auto models = modelsBySize();
    const auto smallest = smallestGroupSize();
    std::erase_if(models, [&](const group_model *model) {
        // Groups of the smallest size fit wherever something is free; a reservation for them would only keep larger ones out.
        const bool isHard = model->size > smallest || isScarce(*model);
        return !isHard || presentFraction(*model, reservationsFor(model->id)) >= 1 || bestDomain(*model) != nullptr;
    });
    std::stable_sort(models.begin(), models.end(), [&](const group_model *left, const group_model *right) {
        return presentFraction(*left, reservationsFor(left->id)) < presentFraction(*right, reservationsFor(right->id));
    });
    return models;
}

packing_model assembly_round::packingModel(const group_model &model) const
{
    const auto present = presentGroups(model.id) + reservationsFor(model.id);
    return {model.id, model.size, m_targets.at(model.id), present, unneededGroups(model)};
}

std::vector<packing_model> assembly_round::packingModels() const
{
    std::vector<packing_model> models;
    for (const auto &model : m_view.engine.models) {
        models.push_back(packingModel(model));
        // Only groups that stay can be spared.
        models.back().present = std::min(models.back().present, groupCountOf(model.id).staying);
    }
    return models;
}

/// Whether the group is being closed and its head answers, so that its members become free once its requests have finished.
bool assembly_round::isReleasedSoon(const planned_group &group) const
{
    const bool isEnding = group.stage == assembly_stage::closing || group.stage == assembly_stage::leaving;
    const auto &head = group.members.front().instance;
    return isEnding && !group.headLostSince && find(head) != nullptr && !find(head)->isLapsed && !m_view.suspects.contains(head);
}

void assembly_round::addTo(packing_group &counts, const served_replica &replica) const
{
    if (!isPresent(replica.id) || isAvoided(replica.id)) {
        return;
    }
    ++counts.alive;
    const auto staging = m_state.stagings.find(replica.id);
    for (const auto &model : m_view.engine.models) {
        const bool isReady = readinessOf(replica, model.id) != readiness::must_load;
        const bool isLoading = staging != m_state.stagings.end() && staging->second.model == model.id;
        counts.ready[model.id] += isReady ? 1 : 0;
        counts.readyOrLoading[model.id] += isReady || isLoading ? 1 : 0;
    }
}

/// The domains that are not reserved, with what could be closed there.
std::vector<packing_domain> assembly_round::packingDomains() const
{
    std::map<fabric_domain_id, packing_domain> domains;
    for (const auto &[domain, free] : m_free) {
        for (const auto *replica : free) {
            addTo(domains[domain].unassigned, *replica);
        }
    }
    for (const auto &[id, group] : m_state.groups) {
        const auto *head = find(group.members.front().instance);
        const bool isServing = group.stage == assembly_stage::serving;
        if (head == nullptr || head->isLapsed || isEvacuated(group) || !(isServing || isReleasedSoon(group))) {
            continue;
        }
        auto &domain = domains[head->domain];
        packing_group counts;
        counts.id = id;
        counts.model = group.model;
        auto &target = isServing ? counts : domain.unassigned;
        for (const auto &member : group.members) {
            if (const auto *replica = find(member.instance)) {
                addTo(target, *replica);
            }
        }
        if (isServing) {
            domain.groups.push_back(std::move(counts));
        }
    }
    std::vector<packing_domain> result;
    for (auto &[id, domain] : domains) {
        domain.id = id;
        if (!m_state.reservations.contains(id)) {
            result.push_back(std::move(domain));
        }
    }
    return result;
}

packing_limits assembly_round::packingLimits() const
{
    return {m_state.policy.preemptionMargin, m_state.policy.scarcityThreshold, !isPreemptionUnderWay()};
}

/// How many groups of a model can be closed so that its requests still fit into the remaining ones.
int assembly_round::unneededGroups(const group_model &model) const
{
    const auto held = m_state.demand.outstanding.find(model.id);
    const auto staying = groupCountOf(model.id).staying;
    if (held == m_state.demand.outstanding.end()) {
        return staying;
    }
    const auto perGroup = m_state.policy.maxPreemptionLoad * std::max(1, m_view.engine.slots);
    return std::max(0, staying - static_cast<int>(std::ceil(held->second / perGroup)));
}

/// How many members of a group are ready for a model.
int assembly_round::countReadyMembers(const planned_group &group, const model_id &model) const
{
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(), [&](const planned_member &member) {
        const auto *replica = find(member.instance);
        return replica != nullptr && readinessOf(*replica, model) != readiness::must_load;
    }));
}

/// How many members of a group and free replicas of its domain are ready for a model.
int assembly_round::countReadyWithFree(const planned_group &group, const model_id &model) const
{
    const auto *replica = find(group.members.front().instance);
    const auto free = replica == nullptr ? m_free.end() : m_free.find(replica->domain);
    return countReadyMembers(group, model) + (free == m_free.end() ? 0 : countReady(free->second, model));
}

/// Loads the weights that a short model's group still needs, on free replicas and on hosts of groups that may be preempted for it in the
/// same domain. Unlike preparatory loads these do not depend on past losses, since the model is short already and, as long as nothing is
/// lost, the other groups would stay as they are. Nothing is loaded while a preemption is in progress: a load evicts what its host held.
void assembly_round::stageForShortModels()
{
    if (m_view.isBeforeTraffic || m_view.engine.stagedPerHost < 1 || isPreemptionUnderWay()) {
        return;
    }
    for (const auto *model : unservedModels()) {
        if (presentFraction(*model) >= m_state.policy.shortageThreshold) {
            continue;
        }
        const auto choice = choosePacking(packingModel(*model), packingModels(), packingDomains(), packingLimits(), packing_basis::alive);
        if (choice && !choice->closed.empty()) {
            stageForPreemption(*model, *choice);
        }
    }
}

void assembly_round::stageForPreemption(const group_model &model, const packing_choice &choice)
{
    std::vector<const served_replica *> replicas;
    if (const auto free = m_free.find(choice.domain); free != m_free.end()) {
        replicas = free->second;
    }
    for (const auto &id : choice.closed) {
        for (const auto &member : m_state.groups.at(id).members) {
            if (isPresent(member.instance)) {
                replicas.push_back(find(member.instance));
            }
        }
    }
    auto requiredLoads = choice.requiredLoads;
    for (const auto *replica : replicas) {
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

} // namespace vetchpost
