// SPDX-License-Identifier: Apache-2.0
// Groups of smaller models that give way to one of a larger model.
#include "Libraries/Assembly/assembly_round.h"

#include <algorithm>

namespace vetchpost {

/// Takes groups of smaller models of a domain apart where their members, with its free replicas, are all ready for a larger model.
void assembly_round::preemptForLarger()
{
    for (const auto *model : modelsBySize()) {
        if (presentPart(*model) >= 1 || bestDomain(*model) != nullptr) {
            continue;
        }
        const auto victims = victimsFor(*model);
        for (auto *victim : victims) {
            victim->givesWay = true;
            beginClose(*victim, close_method::finish, "its members complete a group of " + model->id.value());
        }
        if (!victims.empty()) {
            return;
        }
    }
}

/// How many members of a group are ready for a model.
int assembly_round::readyMembers(const planned_group &group, const model_id &model) const
{
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(), [&](const planned_member &member) {
        const auto *replica = find(member.instance);
        return replica != nullptr && readinessOf(*replica, model) != readiness::must_load;
    }));
}

/// Those first with the most members that are ready for a model.
void assembly_round::sortByReadyMembers(std::vector<planned_group *> &groups, const group_model &model) const
{
    std::stable_sort(groups.begin(), groups.end(), [&](const planned_group *left, const planned_group *right) {
        return readyMembers(*left, model.id) > readyMembers(*right, model.id);
    });
}

/// How many members of a group, with the free replicas of its domain, are ready for a model.
int assembly_round::readyWith(const planned_group &group, const model_id &model) const
{
    const auto *replica = find(group.members.front().instance);
    const auto free = replica == nullptr ? m_free.end() : m_free.find(replica->domain);
    return readyMembers(group, model) + (free == m_free.end() ? 0 : quickCount(free->second, model));
}

/// The serving groups of smaller models in each domain where nothing is being formed or closed.
std::map<fabric_domain_id, std::vector<planned_group *>> assembly_round::smallerGroups(const group_model &model)
{
    std::map<fabric_domain_id, std::vector<planned_group *>> groups;
    for (auto &[id, group] : m_state.groups) {
        const auto *smaller = findModel(group.model);
        const auto *head = find(group.members.front().instance);
        const bool isSmaller = group.stage == assembly_stage::serving && smaller != nullptr && smaller->size < model.size;
        if (isSmaller && head != nullptr && !isBusy(head->domain)) {
            groups[head->domain].push_back(&group);
        }
    }
    return groups;
}

/// Whether a model's requests find room in its groups without so many of them.
bool assembly_round::hasRoomWithout(const group_model &model, int groups) const
{
    const auto held = m_state.demand.outstanding.find(model.id);
    const auto places = static_cast<double>(countOf(model.id).staying - groups) * m_view.engine.slots;
    return held == m_state.demand.outstanding.end() || held->second <= m_state.policy.preemptionLoad * places;
}

/// The groups to take apart for one of a larger model: in the domain where the fewest have to go.
std::vector<planned_group *> assembly_round::victimsFor(const group_model &model)
{
    std::vector<planned_group *> best;
    for (const auto &[domain, groups] : smallerGroups(model)) {
        const auto free = m_free.find(domain);
        const auto ready = free == m_free.end() ? 0 : quickCount(free->second, model.id);
        auto victims = victimsAmong(groups, model, ready);
        if (!victims.empty() && (best.empty() || victims.size() < best.size())) {
            best = std::move(victims);
        }
    }
    return best;
}

/// The fewest of a domain's groups whose members complete a group of the model together with \a ready free replicas; none where they do
/// not.
std::vector<planned_group *> assembly_round::victimsAmong(std::vector<planned_group *> groups, const group_model &model, int ready) const
{
    sortByReadyMembers(groups, model);
    std::vector<planned_group *> victims;
    for (auto *group : groups) {
        ready += readyMembers(*group, model.id);
        victims.push_back(group);
        if (ready >= model.size) {
            return mayGiveWay(victims, model) ? victims : std::vector<planned_group *>();
        }
    }
    return {};
}

/// Loads the weights that keep a larger model's group from being formed, on the hosts of smaller groups that may give way to it and on free
/// replicas beside them. Unlike loads that prepare for a loss they wait for none: the model lacks much already, and while nothing is lost
/// the smaller groups stay as they are. One exchange at a time: a load takes what its host held.
void assembly_round::stageForLarger()
{
    if (m_view.isBeforeTraffic || m_view.engine.stagedPerHost < 1 || isAnyoneGivingWay()) {
        return;
    }
    for (const auto *model : modelsBySize()) {
        if (presentPart(*model) < m_state.policy.muchLacking && bestDomain(*model) == nullptr) {
            stageExchange(*model, cheapestExchange(*model));
        }
    }
}

/// The exchange that needs the fewest loads; without groups where none is allowed.
assembly_round::exchange assembly_round::cheapestExchange(const group_model &model)
{
    exchange best;
    for (auto &[domain, groups] : smallerGroups(model)) {
        auto candidate = exchangeIn(domain, std::move(groups), model);
        const bool isAllowed = !candidate.groups.empty() && mayGiveWay(candidate.groups, model);
        if (isAllowed && (best.groups.empty() || candidate.lacking < best.lacking)) {
            best = std::move(candidate);
        }
    }
    return best;
}

/// The fewest groups of a domain whose members make room for one of the model together with its free replicas; none where they do not.
assembly_round::exchange
assembly_round::exchangeIn(const fabric_domain_id &domain, std::vector<planned_group *> groups, const group_model &model) const
{
    sortByReadyMembers(groups, model);
    exchange result;
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
    result.lacking = std::max(0, model.size - readyOrStaging(result.replicas, model.id));
    return static_cast<int>(result.replicas.size()) >= model.size ? result : exchange();
}

void assembly_round::stageExchange(const group_model &model, const exchange &chosen)
{
    auto lacking = chosen.lacking;
    for (const auto *replica : chosen.replicas) {
        const bool mayTake
            = !m_state.stagings.contains(replica->id) && !isAvoided(replica->id) && readinessOf(*replica, model.id) == readiness::must_load;
        if (lacking > 0 && mayTake && mayLoad(1)) {
            stage(*replica, model.id);
            --lacking;
        }
    }
}

// Where both models are short, groups would else give way all over at the same time, and none of them serves meanwhile.
bool assembly_round::isAnyoneGivingWay() const
{
    return std::any_of(m_state.groups.begin(), m_state.groups.end(), [](const auto &entry) {
        return entry.second.givesWay && entry.second.stage == assembly_stage::closing;
    });
}

/// Whether the smaller models can spare these groups. One gives way while its model still has more of its groups than the larger one.
/// Several do so one set after the other, of a model that has more than it should, and only where its requests find room in what is left:
/// each costs them the time of a close and an opening.
bool assembly_round::mayGiveWay(const std::vector<planned_group *> &victims, const group_model &model) const
{
    std::map<model_id, int> given;
    for (const auto *victim : victims) {
        ++given[victim->model];
    }
    const bool areSeveral = victims.size() > 1;
    if (areSeveral && isAnyoneGivingWay()) {
        return false;
    }
    const auto least = areSeveral ? 1 : presentPart(model) + m_state.policy.preemptionGain;
    return std::all_of(given.begin(), given.end(), [&](const auto &entry) {
        const auto *smaller = findModel(entry.first);
        return smaller != nullptr && presentPart(*smaller, -entry.second) >= least
            && (!areSeveral || hasRoomWithout(*smaller, entry.second));
    });
}

} // namespace vetchpost
