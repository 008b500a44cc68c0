// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/planning_round.h"

#include "Libraries/Groups/group_state.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

std::set<instance_id> placedInstances(const allotment &value)
{
    std::set<instance_id> placed;
    for (const auto &group : value.groups) {
        for (const auto &member : group.members) {
            placed.insert(member.instance);
        }
    }
    return placed;
}

bool isReusable(const planning_input &input, const instance_id &instance)
{
    const auto found = input.reusableFrom.find(instance);
    return found == input.reusableFrom.end() || found->second <= input.now;
}

void fillDomains(planning_round &round)
{
    const auto placed = placedInstances(round.next);
    const auto &input = round.input;
    for (const auto &[id, tracked] : input.tracker.instances) {
        if (!tracked.listed.service.empty()) {
            continue;
        }
        auto &domain = round.domains[tracked.listed.fabricDomain];
        ++domain.listed;
        if (tracked.missingSince) {
            ++domain.missing;
            domain.lastLoss = std::max(domain.lastLoss, *tracked.missingSince);
        }
        if (!placed.contains(id) && isPlaceable(tracked, input.tracker.limits, input.now) && isReusable(input, id)) {
            domain.free.insert(id);
        }
    }
    for (auto &[id, domain] : round.domains) {
        domain.hasOutage = domain.missing >= round.policy.domainOutageMinInstances
            && domain.missing >= round.policy.domainOutageShare * domain.listed
            && input.now - domain.lastLoss < round.policy.domainOutageGrace;
    }
}

int storeSlots(const planning_round &round)
{
    const auto known = round.input.store.concurrentLoads;
    return known > 0 ? known : round.policy.defaultStoreSlots;
}

int countLoadsInProgress(const planning_round &round)
{
    int loads = 0;
    for (const auto &group : round.next.groups) {
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            const auto *tracked = findInstance(round.input.tracker, group.members[rank].instance);
            const bool isAnswering = tracked != nullptr && tracked->isAnswering();
            if (isAnswering && !hasConfirmed(group, rank, round.input.tracker)
                && !holdsWeights(round, group.members[rank].instance, group.choice, rank)) {
                ++loads;
            }
        }
    }
    return loads;
}

} // namespace

planning_round makePlanningRound(const planning_input &input, const planning_policy &policy)
{
    planning_round round{input, policy, input.current, {}, {}, 0, {}, {}, {}};
    std::erase_if(round.next.withheld, [&](const withheld_instance &entry) { return isReusable(input, entry.instance); });
    for (const auto &want : *input.wants) {
        round.wants.emplace(want.wanted.id, &want);
    }
    for (const auto &group : input.current.groups) {
        round.groupStates.emplace(group.id, groupStateOf(group, input.tracker));
    }
    fillDomains(round);
    round.loads = countLoadsInProgress(round);
    return round;
}

generation nextGeneration(planning_round &round)
{
    round.next.lastGeneration = round.next.lastGeneration.next();
    return round.next.lastGeneration;
}

void markChanged(planning_round &round, allotted_group &group)
{
    group.current = nextGeneration(round);
    group.drainingSince = 0;
    round.groupStates[group.id] = group_state::forming;
}

allotted_member allocateInstance(planning_round &round, const instance_id &instance)
{
    const auto &listed = findInstance(round.input.tracker, instance)->listed;
    // The argument may refer to the element of the free set that is erased below, so the id is copied first.
    allotted_member member{instance, listed.address, listed.fabricDomain};
    round.domains[listed.fabricDomain].free.erase(member.instance);
    return member;
}

void releaseInstance(planning_round &round, const allotted_member &member, bool enginesCheckFencing)
{
    if (!enginesCheckFencing) {
        // An order of this or a previous coordinator may still be in transit, and the engine would obey it.
        round.next.withheld.push_back({member.instance, round.next.current});
        return;
    }
    const auto *tracked = findInstance(round.input.tracker, member.instance);
    if (tracked != nullptr && isPlaceable(*tracked, round.input.tracker.limits, round.input.now)) {
        round.domains[tracked->listed.fabricDomain].free.insert(member.instance);
    }
}

void removeGroup(planning_round &round, const group_id &id)
{
    auto &groups = round.next.groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const allotted_group &group) { return group.id == id; });
    const auto removed = *found;
    groups.erase(found);
    for (const auto &member : removed.members) {
        releaseInstance(round, member, removed.enginesCheckFencing);
    }
}

allotted_group *findPlannedGroup(planning_round &round, const group_id &id)
{
    auto &groups = round.next.groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const allotted_group &group) { return group.id == id; });
    return found == groups.end() ? nullptr : &*found;
}

const deployment_want *findWant(const planning_round &round, const allotted_group &group)
{
    const auto found = round.wants.find(group.deployment);
    return found == round.wants.end() ? nullptr : found->second;
}

bool holdsWeights(const planning_round &round, const instance_id &instance, const model_choice &choice, std::size_t rank)
{
    const auto *tracked = findInstance(round.input.tracker, instance);
    if (tracked == nullptr || !tracked->isAnswering()) {
        return false;
    }
    const auto &state = *tracked->lastState;
    return state.phase == engine_phase::ready && state.choice == choice && state.rank == static_cast<int>(rank);
}

int remainingLoads(const planning_round &round)
{
    const auto limit = static_cast<int>(std::ceil(round.policy.loadsPerStoreSlot * storeSlots(round)));
    return std::max(0, limit - round.loads);
}

duration loadDuration(const planning_round &round, const deployment &wanted, int count)
{
    if (count == 0) {
        return round.policy.reformTime;
    }
    const auto slots = storeSlots(round);
    const auto rounds = (round.loads + count + slots - 1) / slots;
    return wanted.loadTime * std::max(1, rounds) + round.policy.reformTime;
}

int loadsNeeded(const planning_round &round, const model_choice &choice, const std::vector<instance_id> &ranked)
{
    int loads = 0;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        if (!holdsWeights(round, ranked[rank], choice, rank)) {
            ++loads;
        }
    }
    return loads;
}

} // namespace vetchpost
