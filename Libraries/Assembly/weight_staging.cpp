// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

/// Free replicas load the weights that the next group of their domain lacks. The weight store feeds few loads at a time, so the loads that
/// complete a group soonest come first.
void assembly_round::stageSpares()
{
    if (m_view.engine.stagedPerHost < 1) {
        return;
    }
    for (const auto &need : loadNeeds()) {
        auto requiredLoads = need.requiredLoads;
        for (const auto *replica : withoutWeightsFirst(m_free.at(need.domain))) {
            if (requiredLoads > 0 && mayStage(*replica, *need.model) && mayLoad(1)) {
                stage(*replica, need.model->id);
                --requiredLoads;
            }
        }
    }
}

/// Sorts replicas that are ready for no model to the front, since a load evicts nothing on their hosts.
std::vector<const served_replica *> assembly_round::withoutWeightsFirst(std::vector<const served_replica *> replicas) const
{
    std::stable_partition(replicas.begin(), replicas.end(), [&](const served_replica *replica) { return hasNoWeights(*replica); });
    return replicas;
}

bool assembly_round::hasNoWeights(const served_replica &replica) const
{
    return std::all_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
        return readinessOf(replica, model.id) == readiness::must_load;
    });
}

/// Whether a free replica may load a model. The load evicts what its host holds, so a replica with staged weights of another model may not
/// load if that model lacks groups or this one lacks none.
bool assembly_round::mayStage(const served_replica &replica, const group_model &model) const
{
    const bool isFit = !m_state.stagings.contains(replica.id) && !m_claimed.contains(replica.id)
        && readinessOf(replica, model.id) == readiness::must_load;
    return isFit && std::none_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &other) {
               return readinessOf(replica, other.id) == readiness::staged && (presentFraction(other) < 1 || presentFraction(model) >= 1);
           });
}

/// The load needs of all domains, by decreasing priority. Also claims the ready replicas that models with missing groups need.
std::vector<assembly_round::load_need> assembly_round::loadNeeds()
{
    std::vector<load_need> needs;
    for (const auto &[domain, replicas] : m_free) {
        for (const auto *model : modelsBySize()) {
            const bool isGroupPossible = static_cast<int>(replicas.size()) >= model->size;
            const auto ready = readyOrStaging(replicas, model->id);
            // If the domain has too few free replicas for a group, one that is ready for no model prepares to complete the survivors of a
            // loss.
            const auto requiredLoads = isGroupPossible ? model->size - ready : std::min(1, countIdleWithoutWeights(replicas));
            if (requiredLoads > 0) {
                needs.push_back({domain, model, requiredLoads, loadPriority(*model, requiredLoads, isGroupPossible)});
            }
        }
    }
    std::stable_sort(
        needs.begin(), needs.end(), [](const load_need &left, const load_need &right) { return left.priority > right.priority; });
    claimReadyReplicas();
    return needs;
}

/// The priority of a load: the replicas that it helps to bring into use, weighted by the missing fraction of the model's groups. A load
/// that only prepares for a loss has a lower priority than any other.
double assembly_round::loadPriority(const group_model &model, int requiredLoads, bool isGroupPossible) const
{
    constexpr double preparatoryPriority = 0.01;
    constexpr double extraGroupPriority = 0.02;
    const auto missing = std::max(extraGroupPriority, 1 - presentFraction(model));
    return isGroupPossible ? missing * model.size / requiredLoads : preparatoryPriority * extraGroupPriority;
}

int assembly_round::countIdleWithoutWeights(const std::vector<const served_replica *> &replicas) const
{
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
        return hasNoWeights(*replica) && !m_state.stagings.contains(replica->id);
    }));
}

/// Reserves free replicas that are ready for a model with missing groups for policy.idleGrace, since a member that completes a group may
/// come.
void assembly_round::claimReadyReplicas()
{
    for (const auto &[domain, replicas] : m_free) {
        for (const auto *replica : replicas) {
            const bool isIdleLong = m_view.now - m_state.idleSince.at(replica->id) > m_state.policy.idleGrace;
            const bool isNeeded = std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
                return presentFraction(model) < 1 && readinessOf(*replica, model.id) != readiness::must_load;
            });
            if (isNeeded && !isIdleLong) {
                m_claimed.insert(replica->id);
            }
        }
    }
}

int assembly_round::readyOrStaging(const std::vector<const served_replica *> &replicas, const model_id &model) const
{
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
        const auto staging = m_state.stagings.find(replica->id);
        const bool isStaging = staging != m_state.stagings.end() && staging->second.model == model;
        return isStaging || readinessOf(*replica, model) != readiness::must_load;
    }));
}

/// Loads another model's weights onto hosts of serving groups. A running model does not need its host's copy any more, and after a loss the
/// survivors can form a group of the other model within a second. The first member's host of every group comes before any second one.
void assembly_round::stageServing()
{
    const auto groups = groupsToPrepare();
    std::size_t largest = 0;
    for (const auto *group : groups) {
        largest = std::max(largest, group->members.size());
    }
    for (std::size_t rank = 0; rank < largest && m_view.engine.stagedPerHost > 0; ++rank) {
        for (const auto *group : groups) {
            const auto *other = otherModel(group->model);
            if (other != nullptr && rank < group->members.size() && mayPrepare(*other)) {
                stageOtherModel(*group, group->members[rank].instance);
            }
        }
    }
}

/// The serving groups, sorted by the number of loads that a group of the other model still needs in their domain, fewest first.
std::vector<const planned_group *> assembly_round::groupsToPrepare() const
{
    std::vector<std::pair<int, const planned_group *>> candidates;
    for (const auto &[id, group] : m_state.groups) {
        const auto *other = otherModel(group.model);
        if (group.stage == assembly_stage::serving && other != nullptr && !isEvacuated(group)) {
            candidates.emplace_back(presentFraction(*other) < 1 ? other->size - countReadyWithFree(group, other->id) : 0, &group);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<const planned_group *> groups;
    groups.reserve(candidates.size());
    for (const auto &[requiredLoads, group] : candidates) {
        groups.push_back(group);
    }
    return groups;
}

/// Whether a preparatory load of a model may begin. Before the first request there may be as many as the daemons can process: loads are
/// quick then, however many run, and a host that holds another model than it runs lets the survivors of a loss serve after a staged load
/// instead of a full one. Afterwards their number depends on the recent losses, since each load has a cost and without losses no benefit.
/// If the model is short, as many may run as the weight store feeds at a time; otherwise few.
bool assembly_round::mayPrepare(const group_model &model) const
{
    if (m_view.isBeforeTraffic) {
        return recentLoads() < m_state.policy.preparationsPerReportDelay;
    }
    // An evacuation takes away more replicas than any loss, and the model has to make do with the others at once.
    const bool isShortByEvacuation = !m_view.evacuated.empty() && presentFraction(model) < 1;
    if (!isShortByEvacuation
        && m_state.preparatoryLoads.size() >= m_state.policy.minPreparations + m_state.policy.preparationsPerLoss * m_state.losses.size()) {
        return false;
    }
    const bool isWanted = presentFraction(model) < m_state.policy.shortageThreshold;
    const auto maxLoads = isWanted ? static_cast<std::size_t>(m_view.engine.concurrentLoads) : maxPreparatoryStoreLoads;
    return m_state.stagings.size() < maxLoads;
}

void assembly_round::stageOtherModel(const planned_group &group, const instance_id &instance)
{
    const auto *replica = find(instance);
    const auto *other = otherModel(group.model);
    if (replica == nullptr || replica->isDraining || replica->isLapsed || other == nullptr || m_state.stagings.contains(instance)
        || isAvoided(instance)) {
        return;
    }
    if (readinessOf(*replica, other->id) == readiness::must_load && mayLoad(1)) {
        stage(*replica, other->id);
        if (!m_view.isBeforeTraffic) {
            m_state.preparatoryLoads.push_back(m_view.now);
        }
    }
}

/// The model with the largest share of the work, other than \a model.
const group_model *assembly_round::otherModel(const model_id &model) const
{
    const group_model *best = nullptr;
    for (const auto &entry : m_view.engine.models) {
        if (entry.id != model && (best == nullptr || entry.share > best->share)) {
            best = &entry;
        }
    }
    return best;
}

void assembly_round::stage(const served_replica &replica, const model_id &model)
{
    m_state.loads.push_back(m_view.now);
    m_state.stagings[replica.id] = {model, m_view.now};
    m_state.decisions.push_back(fmt::format("staging: instance={} model={}", replica.id.value(), model.value()));
    m_orders.push_back(
        {order_kind::stage, replica.id, replica.address, {}, {}, model, {}, {}, 0, replica.incarnation, m_view.isBeforeTraffic});
}

} // namespace vetchpost
