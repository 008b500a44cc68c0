// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_round.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace vetchpost {

void assembly_round::collectFreeReplicas(const std::unordered_set<std::string_view> &planned)
{
    std::map<fabric_domain_id, int> usable;
    for (const auto &[id, replica] : m_view.directory.replicas) {
        if (replica.service != m_view.service) {
            continue;
        }
        if (isEvacuated(replica)) {
            m_state.idleSince.erase(id);
            continue;
        }
        if (!replica.isDraining && !m_view.suspects.contains(id)) {
            ++usable[replica.domain];
        }
        // A replica whose head holds requests must not join another group, whether or not its group is planned.
        if (!planned.contains(id.value()) && isPresent(id) && !isAvoided(id) && !mayGroupHoldRequests(replica)) {
            m_free[replica.domain].push_back(&replica);
            m_state.idleSince.try_emplace(id, m_view.now);
        } else {
            m_state.idleSince.erase(id);
        }
    }
    std::erase_if(m_state.idleSince, [&](const auto &entry) { return find(entry.first) == nullptr; });
    // Replicas of a domain beyond a multiple of the smallest group size can only be spares.
    const auto smallest = smallestGroupSize();
    for (const auto &[domain, count] : usable) {
        m_usable += count - count % smallest;
    }
}

int assembly_round::smallestGroupSize() const
{
    int smallest = 0;
    for (const auto &model : m_view.engine.models) {
        smallest = smallest == 0 ? model.size : std::min(smallest, model.size);
    }
    return std::max(1, smallest);
}

bool assembly_round::isSettled()
{
    if (m_usable != m_state.usable) {
        m_state.usable = m_usable;
        m_state.usableSince = m_view.now;
    }
    updateShares();
    m_targets = groupTargets(m_view.engine, m_state.shares.values, m_usable, m_state.policy.spareShare);
    return !m_view.isBeforeTraffic || m_view.now - m_state.usableSince >= m_state.policy.settleTime;
}

/// Lets the shares follow the demand, no faster than replicas can load the weights of the models whose shares rise.
void assembly_round::updateShares()
{
    constexpr double loggedChange = 0.05;
    std::map<model_id, int> serving;
    for (const auto &[id, group] : m_state.groups) {
        serving[group.model] += group.stage == assembly_stage::serving ? 1 : 0;
    }
    std::map<model_id, double> prepared;
    for (const auto &[id, replica] : m_view.directory.replicas) {
        for (const auto &model : m_view.engine.models) {
            const bool isPrepared = replica.service == m_view.service && isAlive(id) && replica.model != model.id
                && readinessOf(replica, model.id) == readiness::staged;
            prepared[model.id] += isPrepared ? 1.0 / std::max(1, m_usable) : 0;
        }
    }
    followShares(
        m_state.shares, demandShares(m_state.demand, m_view.engine, serving, m_state.shares.values), prepared, m_view.engine, m_view.now);
    auto &logged = m_state.loggedShares;
    const bool isChanged = std::any_of(m_state.shares.values.begin(), m_state.shares.values.end(), [&](const auto &entry) {
        const auto before = logged.find(entry.first);
        return before != logged.end() && std::abs(before->second - entry.second) >= loggedChange;
    });
    for (const auto &[model, share] : m_state.shares.values) {
        if (isChanged) {
            m_state.decisions.push_back(fmt::format("share: model={} share={:.2f} before={:.2f}", model.value(), share, logged[model]));
        }
    }
    if (isChanged || logged.empty()) {
        logged = m_state.shares.values;
    }
}

void assembly_round::formGroups()
{
    for (;;) {
        const auto *model = neediestModel();
        if (model == nullptr || !formBestGroup(*model)) {
            return;
        }
    }
}

/// Whether, before the first request, a wanted group has enough free replicas in a domain but its loads are held back by the rate limit.
/// Until it is formed, its replicas must not stage other weights.
bool assembly_round::isFormingThrottled() const
{
    return m_view.isBeforeTraffic && std::any_of(m_free.begin(), m_free.end(), [&](const auto &entry) {
               return std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
                   return presentFraction(model) < 1 && entry.second.size() >= static_cast<std::size_t>(model.size);
               });
           });
}

/// The models by decreasing group size, since large groups are the hardest to find room for.
std::vector<const group_model *> assembly_round::modelsBySize() const
{
    std::vector<const group_model *> models;
    for (const auto &model : m_view.engine.models) {
        models.push_back(&model);
    }
    std::stable_sort(
        models.begin(), models.end(), [](const group_model *left, const group_model *right) { return left->size > right->size; });
    return models;
}

/// The fraction of a model's wanted groups that is present, with \a more added to the present ones.
double assembly_round::presentFraction(const group_model &model, int more) const
{
    const auto target = m_targets.at(model.id);
    return target == 0 ? 1.0 : static_cast<double>(presentGroups(model.id) + more) / target;
}

/// Whether there are enough free replicas for all missing groups.
bool assembly_round::isEnoughFree() const
{
    std::size_t free = 0;
    for (const auto &[domain, replicas] : m_free) {
        free += replicas.size();
    }
    std::size_t missing = 0;
    for (const auto &model : m_view.engine.models) {
        const auto groups = std::max(0, m_targets.at(model.id) - presentGroups(model.id));
        missing += static_cast<std::size_t>(groups * model.size);
    }
    return missing <= free;
}

/// The model to form a group of next, or nullptr. If there are free replicas for all missing groups it is the model with the largest
/// groups, which need the most replicas in one domain; otherwise the model with the smallest fraction of its groups.
const group_model *assembly_round::neediestModel() const
{
    const group_model *neediest = nullptr;
    const bool isEnough = isEnoughFree();
    double smallest = 1;
    for (const auto *model : modelsBySize()) {
        const auto part = presentFraction(*model);
        if (part < smallest && bestDomain(*model) != nullptr) {
            // A scarce larger model comes first: its group needs many replicas of one domain, which smaller groups would take one by one.
            if (isEnough || isScarce(*model)) {
                return model;
            }
            neediest = model;
            smallest = part;
        }
    }
    return neediest;
}

int assembly_round::presentGroups(const model_id &model) const
{
    return groupCountOf(model).present;
}

/// Cached; each change of a group's stage clears the cache.
const assembly_round::group_count &assembly_round::groupCountOf(const model_id &model) const
{
    if (!m_counts) {
        m_counts.emplace();
        for (const auto &[id, group] : m_state.groups) {
            if (isEvacuated(group)) {
                continue;
            }
            const bool isEnding = group.stage == assembly_stage::closing || group.stage == assembly_stage::leaving;
            const bool isThere = !isEnding || m_view.now - group.stageSince < m_state.policy.closingGrace;
            auto &count = (*m_counts)[group.model];
            count.present += isThere ? 1 : 0;
            count.staying += isEnding ? 0 : 1;
        }
    }
    return (*m_counts)[model];
}

/// Forms more groups than wanted out of replicas that no wanted group can use, so that they do not idle. Such a group is preempted when a
/// larger model can use its replicas.
void assembly_round::formExtraGroups()
{
    for (auto &[domain, free] : m_free) {
        if (isBusy(domain)) {
            continue;
        }
        for (const auto *model : modelsBySize()) {
            const auto size = static_cast<std::size_t>(model->size);
            const bool isNeedyElsewhere = presentFraction(*model) < 1;
            const auto replicas = availableFor(*model, domain);
            if (replicas.size() >= size && !isNeedyElsewhere && countReady(replicas, model->id) >= model->size) {
                formGroupIn(*model, domain);
                break;
            }
        }
    }
}

/// Whether a group of the domain is being formed or closed. Afterwards its replicas may have a better use.
bool assembly_round::isBusy(const fabric_domain_id &domain) const
{
    return std::any_of(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
        return entry.second.stage != assembly_stage::serving
            && std::any_of(entry.second.members.begin(), entry.second.members.end(), [&](const planned_member &member) {
                   const auto *replica = find(member.instance);
                   return replica != nullptr && replica->domain == domain;
               });
    });
}

int assembly_round::countReady(const std::vector<const served_replica *> &replicas, const model_id &model)
{
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
        return readinessOf(*replica, model) != readiness::must_load;
    }));
}

/// The fraction of a model's wanted groups that is present and not being closed.
double assembly_round::stayingFraction(const group_model &model) const
{
    const auto target = m_targets.at(model.id);
    return target == 0 ? 1.0 : static_cast<double>(groupCountOf(model.id).staying) / target;
}

/// The free replicas of a domain that a model may use. For policy.idleGrace, replicas that ran another model are reserved for it if that
/// model lacks more of its groups, since a member that completes a group may still come.
std::vector<const served_replica *> assembly_round::availableFor(const group_model &model, const fabric_domain_id &domain) const
{
    auto replicas = m_free.at(domain);
    const auto reserved = m_state.reservations.find(domain);
    if (reserved != m_state.reservations.end() && reserved->second.model != model.id) {
        std::erase_if(replicas,
                      [&](const served_replica *replica) { return readinessOf(*replica, reserved->second.model) != readiness::must_load; });
    }
    if (m_view.isBeforeTraffic || isScarce(model)) {
        return replicas;
    }
    const auto part = presentFraction(model);
    std::erase_if(replicas, [&](const served_replica *replica) {
        const bool isIdleLong = m_view.now - m_state.idleSince.at(replica->id) > m_state.policy.idleGrace;
        return !isIdleLong && std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &other) {
            return other.id != model.id && stayingFraction(other) + m_state.policy.preemptionMargin < part && replica->model == other.id;
        });
    });
    return replicas;
}

bool assembly_round::isReadyForLarger(const served_replica &replica, const group_model &model) const
{
    return std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &larger) {
        return larger.size > model.size && readinessOf(replica, larger.id) != readiness::must_load;
    });
}

/// How many of the replicas are ready for a larger model. A smaller group goes to the domain with the fewest, so that room for a larger
/// one remains elsewhere.
int assembly_round::roomForLarger(const std::vector<const served_replica *> &replicas, const group_model &model) const
{
    return static_cast<int>(
        std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) { return isReadyForLarger(*replica, model); }));
}

/// The domain in which a group of the model needs the fewest loads, and among equals the one with the least room for a larger model's
/// group, then the one with the most available replicas; nullptr if no domain can form one now.
const fabric_domain_id *assembly_round::bestDomain(const group_model &model) const
{
    const fabric_domain_id *best = nullptr;
    std::tuple<std::size_t, int, std::size_t> bestCost;
    for (const auto &[domain, free] : m_free) {
        const auto size = static_cast<std::size_t>(model.size);
        const auto replicas = availableFor(model, domain);
        if (replicas.size() < size) {
            continue;
        }
        const auto chosen = soonestReady(replicas, model);
        const auto loads = static_cast<std::size_t>(std::count_if(chosen.begin(), chosen.end(), [&](const served_replica *replica) {
            return readinessOf(*replica, model.id) == readiness::must_load;
        }));
        // After the first request a replica stages the weights first and joins once it has them, so that the other members do not wait.
        if (loads > 0 && !(m_view.isBeforeTraffic && mayLoad(loads))) {
            continue;
        }
        const std::tuple cost(loads, m_view.isBeforeTraffic ? 0 : roomForLarger(replicas, model), SIZE_MAX - replicas.size());
        if (best == nullptr || cost < bestCost) {
            best = &domain;
            bestCost = cost;
        }
    }
    return best;
}

std::vector<const served_replica *> assembly_round::soonestReady(std::vector<const served_replica *> replicas,
                                                                 const group_model &model) const
{
    // Of the replicas that need no load, those that a larger model cannot use come first, even if they become ready a second later.
    const auto rankOf = [&](const served_replica *replica) {
        const auto soon = readinessOf(*replica, model.id);
        return std::tuple(soon == readiness::must_load, isReadyForLarger(*replica, model), soon);
    };
    std::stable_sort(replicas.begin(), replicas.end(), [&](const served_replica *left, const served_replica *right) {
        return rankOf(left) < rankOf(right);
    });
    replicas.resize(static_cast<std::size_t>(model.size));
    // A former head becomes a head again: a late order to open its earlier group then finds it in the new formation.
    std::stable_sort(replicas.begin(), replicas.end(), [](const served_replica *left, const served_replica *right) {
        return wasHead(*left) > wasHead(*right);
    });
    return replicas;
}

bool assembly_round::formBestGroup(const group_model &model)
{
    const auto *domain = bestDomain(model);
    if (domain == nullptr) {
        return false;
    }
    formGroupIn(model, *domain);
    return true;
}

void assembly_round::formGroupIn(const group_model &model, const fabric_domain_id &domain)
{
    auto &free = m_free.at(domain);
    planned_group group;
    group.formed = formation(m_state.term * formationsPerTerm + ++m_state.lastNumber);
    group.id = group_id(fmt::format("g{}", group.formed.value()));
    group.model = model.id;
    group.stageSince = m_view.now;
    for (const auto *replica : soonestReady(availableFor(model, domain), model)) {
        planned_member member;
        member.instance = replica->id;
        member.incarnation = replica->incarnation;
        member.address = replica->address;
        group.members.push_back(member);
        if (readinessOf(*replica, model.id) == readiness::must_load) {
            m_state.loads.push_back(m_view.now);
        }
        std::erase(free, replica);
    }
    if (const auto reserved = m_state.reservations.find(domain);
        reserved != m_state.reservations.end() && reserved->second.model == model.id) {
        m_state.reservations.erase(reserved);
    }
    auto &planned = m_state.groups[group.id] = std::move(group);
    m_counts.reset();
    logDecision(planned, fmt::format("forming in domain={}", domain.value()));
    join(planned);
}

} // namespace vetchpost
