// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

/// Free replicas load what the next group of their domain lacks. The weight store feeds few loads at a time, so that those come first
/// which complete a group soonest.
void assembly_round::stageSpares()
{
    if (m_view.engine.stagedPerHost < 1) {
        return;
    }
    for (const auto &need : loadNeeds()) {
        auto lacking = need.lacking;
        for (const auto *replica : blankFirst(m_free.at(need.domain))) {
            if (lacking > 0 && mayStage(*replica, *need.model) && mayLoad(1)) {
                stage(*replica, need.model->id);
                --lacking;
            }
        }
    }
}

/// Replicas that are ready for no model come first: a load takes nothing from them.
std::vector<const served_replica *> assembly_round::blankFirst(std::vector<const served_replica *> replicas) const
{
    std::stable_partition(replicas.begin(), replicas.end(), [&](const served_replica *replica) { return isBlank(*replica); });
    return replicas;
}

bool assembly_round::isBlank(const served_replica &replica) const
{
    return std::all_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
        return readinessOf(replica, model.id) == readiness::must_load;
    });
}

/// Whether a free replica may load a model. What its host holds goes with the load: it stays where it is of use, and where nobody lacks the
/// other model.
bool assembly_round::mayStage(const served_replica &replica, const group_model &model) const
{
    const bool isFit = !m_state.stagings.contains(replica.id) && !m_claimed.contains(replica.id)
        && readinessOf(replica, model.id) == readiness::must_load;
    return isFit && std::none_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &other) {
               return readinessOf(replica, other.id) == readiness::staged && (presentPart(other) < 1 || presentPart(model) >= 1);
           });
}

/// The needs of all domains, the most pressing first. Replicas that are ready for a need are claimed by it.
std::vector<assembly_round::load_need> assembly_round::loadNeeds()
{
    std::vector<load_need> needs;
    for (const auto &[domain, replicas] : m_free) {
        for (const auto *model : modelsBySize()) {
            const bool hasRoom = static_cast<int>(replicas.size()) >= model->size;
            const auto ready = readyOrStaging(replicas, model->id);
            // Where there is no room for a group, a replica that is ready for nothing prepares for the survivors of a loss.
            const auto lacking = hasRoom ? model->size - ready : std::min(1, idleBlanks(replicas));
            if (lacking > 0) {
                needs.push_back({domain, model, lacking, worthOfLoad(*model, lacking, hasRoom)});
            }
        }
    }
    std::stable_sort(needs.begin(), needs.end(), [](const load_need &left, const load_need &right) { return left.worth > right.worth; });
    claimReady();
    return needs;
}

/// What a load of a model is worth: the replicas that come into use by it, more where more of the model's groups are missing. A load that
/// only prepares for a loss comes after all others.
double assembly_round::worthOfLoad(const group_model &model, int lacking, bool hasRoom) const
{
    constexpr double worthOfPreparing = 0.01;
    constexpr double worthOfExtra = 0.02;
    const auto missing = std::max(worthOfExtra, 1 - presentPart(model));
    return hasRoom ? missing * model.size / lacking : worthOfPreparing * worthOfExtra;
}

int assembly_round::idleBlanks(const std::vector<const served_replica *> &replicas) const
{
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
        return isBlank(*replica) && !m_state.stagings.contains(replica->id);
    }));
}

/// Free replicas that are ready for a model whose groups are missing stay so for a while: a member that completes them may come.
void assembly_round::claimReady()
{
    for (const auto &[domain, replicas] : m_free) {
        for (const auto *replica : replicas) {
            const bool isIdleLong = m_view.now - m_state.idleSince.at(replica->id) > m_state.policy.idleGrace;
            const bool isNeeded = std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
                return presentPart(model) < 1 && readinessOf(*replica, model.id) != readiness::must_load;
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

/// Hosts of serving groups get another model's weights: what runs needs the host's copy no more, and the survivors of a loss can then
/// form a group of that model within a second. First one host of every group, then the next.
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
            if (other != nullptr && rank < group->members.size() && hasRoomToPrepare(*other)) {
                stageAnother(*group, group->members[rank].instance);
            }
        }
    }
}

/// The serving groups, those first in whose domain a group of the other model lacks least.
std::vector<const planned_group *> assembly_round::groupsToPrepare() const
{
    std::vector<std::pair<int, const planned_group *>> candidates;
    for (const auto &[id, group] : m_state.groups) {
        const auto *other = otherModel(group.model);
        if (group.stage == assembly_stage::serving && other != nullptr) {
            candidates.emplace_back(presentPart(*other) < 1 ? other->size - readyWith(group, other->id) : 0, &group);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<const planned_group *> groups;
    groups.reserve(candidates.size());
    for (const auto &[lacking, group] : candidates) {
        groups.push_back(group);
    }
    return groups;
}

/// Whether a load may begin that prepares hosts for a model. Before the first request as many as the daemons can follow: loads are quick
/// then however many run, and a host that holds another model than it runs lets the survivors of its first loss serve after a staged load
/// in place of a whole one. Later as many as the losses that were seen ask for: each load has its price, and where nothing is lost it buys
/// nothing. Of these all that the store feeds at a time where the model lacks groups, few otherwise.
bool assembly_round::hasRoomToPrepare(const group_model &model) const
{
    if (m_view.isBeforeTraffic) {
        return recentLoads() < m_state.policy.preparationsPerNotice;
    }
    if (m_state.preparations.size() >= m_state.policy.leastPreparations + m_state.policy.preparationsPerLoss * m_state.losses.size()) {
        return false;
    }
    const bool isWanted = presentPart(model) < m_state.policy.muchLacking;
    const auto most = isWanted ? static_cast<std::size_t>(m_view.engine.concurrentLoads) : idleStoreLoads;
    return m_state.stagings.size() < most;
}

void assembly_round::stageAnother(const planned_group &group, const instance_id &instance)
{
    const auto *replica = find(instance);
    const auto *other = otherModel(group.model);
    if (replica == nullptr || replica->isDraining || other == nullptr || m_state.stagings.contains(instance) || isAvoided(instance)) {
        return;
    }
    if (readinessOf(*replica, other->id) == readiness::must_load && mayLoad(1)) {
        stage(*replica, other->id);
        if (!m_view.isBeforeTraffic) {
            m_state.preparations.push_back(m_view.now);
        }
    }
}

/// Of the other models the one with the largest share of the work.
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
    m_orders.push_back({order_kind::stage, replica.id, replica.address, {}, {}, model, {}, {}, 0, replica.life, m_view.isBeforeTraffic});
}

} // namespace vetchpost
