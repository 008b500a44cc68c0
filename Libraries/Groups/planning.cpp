// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/planning.h"

#include "Libraries/Groups/group_state.h"
#include "Libraries/Groups/planning_round.h"
#include "Libraries/Groups/repair_choice.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace vetchpost {

namespace {

model_choice choiceOf(const deployment &wanted)
{
    return {wanted.model, wanted.adapter, wanted.version};
}

void recordDecision(
    planning_round &round, const group_id &group, plan_action action, std::string why, std::vector<repair_option> alternatives = {})
{
    round.decisions.push_back({group, action, std::move(why), std::move(alternatives)});
}

group_state stateInRound(const planning_round &round, const allotted_group &group)
{
    return round.groupStates.at(group.id);
}

bool isDrained(const planning_round &round, const allotted_group &group)
{
    if (stateInRound(round, group) == group_state::broken || stateInRound(round, group) == group_state::forming) {
        return true;
    }
    const auto drainTime = duration(round.input.calendarNow - group.drainingSince);
    if (group.drainingSince == 0 || drainTime < round.policy.minDrainTime) {
        return false;
    }
    const auto *leader = findInstance(round.input.tracker, group.members.front().instance);
    const auto &load = leader->lastState->load;
    return (load.running == 0 && load.queued == 0) || drainTime >= round.policy.drainTimeout;
}

/// Starts to drain a group unless it is draining already. Returns whether it is drained.
bool ensureDrained(planning_round &round, allotted_group &group, const std::string &why)
{
    if (isDrained(round, group)) {
        return true;
    }
    if (group.drainingSince == 0) {
        group.drainingSince = round.input.calendarNow;
        recordDecision(round, group.id, plan_action::drain, why);
    }
    return false;
}

std::vector<group_id> groupsOf(const planning_round &round, const deployment_id &deployment)
{
    std::vector<group_id> ids;
    for (const auto &group : round.next.groups) {
        if (group.deployment == deployment) {
            ids.push_back(group.id);
        }
    }
    return ids;
}

/// Returns the groups of a deployment in the order of their removal: first those that do not serve, then those that are draining, then
/// the youngest.
std::vector<group_id> orderForRemoval(planning_round &round, const deployment_id &deployment)
{
    struct ranked_group
    {
        std::tuple<bool, bool, std::uint64_t> rank;
        group_id id;
    };
    std::vector<ranked_group> ranked;
    for (const auto &group : round.next.groups) {
        if (group.deployment == deployment) {
            const bool isServing = stateInRound(round, group) == group_state::serving;
            ranked.push_back({{isServing, group.drainingSince == 0, ~group.current.value()}, group.id});
        }
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const ranked_group &left, const ranked_group &right) { return left.rank < right.rank; });
    std::vector<group_id> ids;
    ids.reserve(ranked.size());
    for (const auto &entry : ranked) {
        ids.push_back(entry.id);
    }
    return ids;
}

/// Returns how many more of these groups may be taken out of service in this round because there are more than wanted. \a ids are all
/// groups of one deployment.
std::size_t surplusAllowance(const planning_round &round, const std::vector<group_id> &ids)
{
    std::size_t draining = 0;
    for (const auto &group : round.next.groups) {
        const bool isOfDeployment = std::find(ids.begin(), ids.end(), group.id) != ids.end();
        draining += isOfDeployment && group.drainingSince != 0 ? 1U : 0U;
    }
    const auto share = static_cast<std::size_t>(static_cast<double>(ids.size()) * round.policy.surplusShare);
    const auto limit = std::max<std::size_t>(1, share);
    return limit > draining ? limit - draining : 0;
}

/// Returns how many replicas of a deployment are wanted; nothing if this data centre's share is unknown.
std::optional<std::size_t> wantedReplicas(const planning_round &round, const deployment_id &deployment)
{
    const auto want = round.wants.find(deployment);
    if (want == round.wants.end()) {
        return 0;
    }
    const auto replicas = want->second->replicas;
    return replicas ? std::optional(static_cast<std::size_t>(*replicas)) : std::nullopt;
}

/// 1. Drains and removes surplus groups, a share of them at a time. Adds the ids of the other groups to \a kept.
void removeUnwanted(planning_round &round, std::vector<group_id> &kept)
{
    std::set<deployment_id> deployments;
    for (const auto &group : round.next.groups) {
        deployments.insert(group.deployment);
    }
    for (const auto &deployment : deployments) {
        auto ids = orderForRemoval(round, deployment);
        const auto wanted = wantedReplicas(round, deployment).value_or(ids.size());
        const auto surplus = ids.size() > wanted ? ids.size() - wanted : 0;
        auto allowance = surplusAllowance(round, ids);
        for (std::size_t i = 0; i < ids.size(); ++i) {
            auto &group = *findPlannedGroup(round, ids[i]);
            const bool isStillServing = group.drainingSince == 0 && stateInRound(round, group) == group_state::serving;
            if (i >= surplus) {
                kept.push_back(ids[i]);
                continue;
            }
            if (isStillServing && allowance == 0) {
                continue;
            }
            allowance -= isStillServing ? 1 : 0;
            if (ensureDrained(round, group, "more replicas than wanted")) {
                recordDecision(round, ids[i], plan_action::remove, "more replicas than wanted");
                removeGroup(round, ids[i]);
            }
        }
    }
}

/// Whether one more group of the deployment may stop serving without falling below the share that must be kept serving.
bool canDrainAnother(planning_round &round, const deployment_want &want)
{
    int serving = 0;
    for (const auto &id : groupsOf(round, want.wanted.id)) {
        const auto &group = *findPlannedGroup(round, id);
        serving += stateInRound(round, group) == group_state::serving && group.drainingSince == 0 ? 1 : 0;
    }
    if (!want.replicas) {
        return false;
    }
    constexpr int wholePercent = 100;
    const auto kept = (*want.replicas * want.wanted.minServingPercent + wholePercent - 1) / wholePercent;
    return serving - 1 >= kept;
}

/// 2. Changes the groups that have another model, adapter or version than wanted, as many at a time as the share of groups that must be
/// kept serving allows.
void rollOutModels(planning_round &round, const std::vector<group_id> &kept)
{
    for (const auto &id : kept) {
        auto &group = *findPlannedGroup(round, id);
        const auto &want = *findWant(round, group);
        if (group.choice == choiceOf(want.wanted) && group.enginesCheckFencing == want.wanted.enginesCheckFencing) {
            continue;
        }
        const bool isServing = stateInRound(round, group) == group_state::serving;
        if (isServing && group.drainingSince == 0 && !canDrainAnother(round, want)) {
            continue;
        }
        const auto loads = static_cast<int>(group.members.size());
        if (!ensureDrained(round, group, "another model or version is wanted") || (loads > remainingLoads(round) && round.loads > 0)) {
            continue;
        }
        group.choice = choiceOf(want.wanted);
        group.enginesCheckFencing = want.wanted.enginesCheckFencing;
        markChanged(round, group);
        round.loads += loads;
        recordDecision(round, id, plan_action::change_model, "another model or version is wanted");
    }
}

/// Returns groups to service that no longer need to drain.
void resumeDrained(planning_round &round, const std::vector<group_id> &kept)
{
    for (const auto &id : kept) {
        if (round.victims.contains(id) || findPlannedGroup(round, id) == nullptr) {
            continue;
        }
        auto &group = *findPlannedGroup(round, id);
        const auto &want = *findWant(round, group);
        const bool needsChange = group.choice != choiceOf(want.wanted) || !leavingRanks(group, round.input.tracker).empty();
        if (group.drainingSince != 0 && !needsChange) {
            group.drainingSince = 0;
            recordDecision(round, id, plan_action::resume, "it is wanted again");
        }
    }
}

/// Returns the members of a group that must be replaced, or nothing if there are none. Members that are about to leave are included once
/// the group is drained; draining is started here.
std::optional<broken_group> findLostMembers(planning_round &round, const group_id &id)
{
    auto &group = *findPlannedGroup(round, id);
    const auto &tracker = round.input.tracker;
    broken_group broken;
    broken.id = id;
    for (const auto rank : missingRanks(group, tracker)) {
        const auto *tracked = findInstance(tracker, group.members[rank].instance);
        const auto since = tracked != nullptr ? tracked->missingSince : std::nullopt;
        // An instance that was never observed, or that is no longer tracked, counts as missing for missingGrace.
        const auto absence = since ? round.input.now - *since : round.policy.missingGrace;
        if (absence >= round.policy.missingGrace) {
            broken.lostRanks.push_back(rank);
            broken.absence = std::max(broken.absence, absence);
        }
    }
    broken.isLeaving = broken.lostRanks.empty();
    const auto leaving = leavingRanks(group, tracker);
    if (!leaving.empty() && ensureDrained(round, group, "a member is about to leave")) {
        broken.lostRanks.insert(broken.lostRanks.end(), leaving.begin(), leaving.end());
        std::sort(broken.lostRanks.begin(), broken.lostRanks.end());
    }
    return broken.lostRanks.empty() ? std::nullopt : std::optional(broken);
}

/// 3. Repairs broken groups, first those with the highest priority and then those with the fewest lost members.
void repairBroken(planning_round &round, const std::vector<group_id> &kept)
{
    std::vector<broken_group> broken;
    for (const auto &id : kept) {
        if (auto entry = findLostMembers(round, id)) {
            broken.push_back(std::move(*entry));
        }
    }
    const auto order = [&](const broken_group &entry) {
        const auto &want = *findWant(round, *findPlannedGroup(round, entry.id));
        return std::tuple(-want.wanted.priority, entry.lostRanks.size(), entry.id);
    };
    std::stable_sort(
        broken.begin(), broken.end(), [&](const broken_group &left, const broken_group &right) { return order(left) < order(right); });
    while (!broken.empty()) {
        const auto group = broken.front();
        broken.erase(broken.begin());
        const auto *planned = findPlannedGroup(round, group.id);
        if (planned == nullptr || round.domains[planned->members.front().domain].hasOutage) {
            // The group was removed to repair another, or its domain has an outage and is given time to return.
            continue;
        }
        auto options = repairOptions(round, group, broken);
        const auto fits = [&](const repair_option &option) {
            return option.action == plan_action::wait || static_cast<int>(option.instances.size()) <= remainingLoads(round)
                || round.loads == 0;
        };
        const auto chosen = std::find_if(options.begin(), options.end(), fits);
        if (chosen == options.end()) {
            continue;
        }
        if (chosen->action == plan_action::preempt) {
            // The victim finishes its work first, so that preemption interrupts no request within drainTimeout.
            const auto &victim = chosen->dissolvedGroups.front();
            round.victims.insert(victim);
            if (!ensureDrained(round, *findPlannedGroup(round, victim), "its members go to " + group.id.value())) {
                continue;
            }
        }
        const auto why = fmt::format(
            "{} of {} members lost, expected {} s", group.lostRanks.size(), planned->members.size(), chosen->expectedTime.count() / 1000);
        applyRepair(round, group, *chosen);
        const auto isSource = [&](const broken_group &other) {
            return std::find(chosen->dissolvedGroups.begin(), chosen->dissolvedGroups.end(), other.id) != chosen->dissolvedGroups.end();
        };
        std::erase_if(broken, isSource);
        recordDecision(round, group.id, chosen->action, why, options);
    }
}

/// Chooses the domain for a new group: the one with the most free instances, so that the most standbys remain, since a lost member is
/// replaced fastest from its own domain. Returns nothing if the group fits into no domain.
std::optional<fabric_domain_id> chooseDomain(const planning_round &round, std::size_t size)
{
    std::optional<fabric_domain_id> best;
    std::size_t maxFree = 0;
    for (const auto &[id, domain] : round.domains) {
        if (!domain.hasOutage && domain.free.size() >= size && domain.free.size() > maxFree) {
            best = id;
            maxFree = domain.free.size();
        }
    }
    return best;
}

/// Forms a new group from free instances of a domain.
void formGroup(planning_round &round, const deployment_want &want, const fabric_domain_id &domain)
{
    allotted_group group;
    group.deployment = want.wanted.id;
    group.choice = choiceOf(want.wanted);
    group.enginesCheckFencing = want.wanted.enginesCheckFencing;
    group.current = nextGeneration(round);
    group.id = group_id(fmt::format("{}-{}-{}", want.wanted.id.value(), round.input.dataCentre.value(), group.current.value()));
    const auto size = static_cast<std::size_t>(want.wanted.instancesPerReplica);
    // An instance that already holds the weights of a rank gets that rank.
    auto pool = round.domains[domain].free;
    std::vector<instance_id> ranked(size);
    for (std::size_t rank = 0; rank < size; ++rank) {
        const auto holds = [&](const instance_id &instance) { return holdsWeights(round, instance, group.choice, rank); };
        if (const auto found = std::find_if(pool.begin(), pool.end(), holds); found != pool.end()) {
            ranked[rank] = *found;
            pool.erase(found);
        }
    }
    for (auto &instance : ranked) {
        if (instance.isEmpty()) {
            instance = *pool.begin();
            pool.erase(pool.begin());
        }
    }
    round.loads += loadsNeeded(round, group.choice, ranked);
    for (const auto &instance : ranked) {
        group.members.push_back(allocateInstance(round, instance));
    }
    recordDecision(round, group.id, plan_action::form, fmt::format("a replica is missing, domain {} has room", domain.value()));
    round.groupStates[group.id] = group_state::forming;
    round.next.groups.push_back(std::move(group));
}

/// 4. Forms missing replicas where whole groups fit, highest priority first, as fast as the weight store can serve the loads.
void formMissingReplicas(planning_round &round)
{
    std::vector<const deployment_want *> wants;
    for (const auto &[id, want] : round.wants) {
        wants.push_back(want);
    }
    std::stable_sort(wants.begin(), wants.end(), [](const deployment_want *left, const deployment_want *right) {
        return left->wanted.priority > right->wanted.priority;
    });
    for (const auto *want : wants) {
        const auto size = static_cast<std::size_t>(want->wanted.instancesPerReplica);
        auto present = static_cast<int>(groupsOf(round, want->wanted.id).size());
        for (; present < want->replicas.value_or(0); ++present) {
            const auto domain = chooseDomain(round, size);
            if (!domain || (static_cast<int>(size) > remainingLoads(round) && round.loads > 0)) {
                break;
            }
            formGroup(round, *want, *domain);
        }
    }
}

constexpr std::array<std::string_view, 11> actionNames = {"wait",
                                                          "use_standby",
                                                          "use_donor",
                                                          "preempt",
                                                          "rebuild_elsewhere",
                                                          "span_domains",
                                                          "form",
                                                          "drain",
                                                          "change_model",
                                                          "remove",
                                                          "resume"};

} // namespace

std::string_view planActionName(plan_action action)
{
    return actionNames.at(static_cast<std::size_t>(action));
}

std::optional<std::string> incompleteViewReason(const planning_input &input, const planning_policy &policy)
{
    if (!input.wants) {
        return "the configuration has not been read";
    }
    if (!input.tracker.hasInstanceList) {
        return "the instance list has not been read";
    }
    if (input.now - input.collectingSince >= policy.viewGrace) {
        return std::nullopt;
    }
    for (const auto &group : input.current.groups) {
        for (const auto &member : group.members) {
            const auto *tracked = findInstance(input.tracker, member.instance);
            if (tracked == nullptr || (!tracked->lastState && !tracked->missingSince)) {
                return fmt::format("instance {} has not been observed yet", member.instance.value());
            }
        }
    }
    return std::nullopt;
}

planning_result planGroups(const planning_input &input, const planning_policy &policy)
{
    if (const auto gap = incompleteViewReason(input, policy)) {
        return {input.current, false, {{{}, plan_action::wait, *gap, {}}}};
    }
    auto round = makePlanningRound(input, policy);
    std::vector<group_id> kept;
    removeUnwanted(round, kept);
    rollOutModels(round, kept);
    repairBroken(round, kept);
    resumeDrained(round, kept);
    formMissingReplicas(round);
    planning_result result;
    result.hasChanged = round.next.groups != input.current.groups;
    if (result.hasChanged) {
        // Every write has its own generation, even if it only removes groups, so that orders to release instances supersede older ones.
        nextGeneration(round);
    }
    result.next = std::move(round.next);
    result.decisions = std::move(round.decisions);
    return result;
}

} // namespace vetchpost
