// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/planning_table.h"

#include "Libraries/Groups/group_standing.h"

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
    const auto blocked = input.notBefore.find(instance);
    return blocked == input.notBefore.end() || blocked->second <= input.now;
}

void fillDomains(planning_table &table)
{
    const auto placed = placedInstances(table.next);
    const auto &input = table.input;
    for (const auto &[id, tracked] : input.tracker.instances) {
        if (!tracked.listed.service.empty()) {
            continue;
        }
        auto &domain = table.domains[tracked.listed.fabricDomain];
        ++domain.listed;
        if (tracked.missingSince) {
            ++domain.missing;
            domain.lastLoss = std::max(domain.lastLoss, *tracked.missingSince);
        }
        if (!placed.contains(id) && isPlaceable(tracked, input.tracker.limits, input.now) && isReusable(input, id)) {
            domain.free.insert(id);
        }
    }
    for (auto &[id, domain] : table.domains) {
        domain.isDark = domain.missing >= table.policy.darkDomainInstances && domain.missing >= table.policy.darkDomainShare * domain.listed
            && input.now - domain.lastLoss < table.policy.darkDomainGrace;
    }
}

int storeSlots(const planning_table &table)
{
    const auto known = table.input.store.concurrentLoads;
    return known > 0 ? known : table.policy.assumedStoreSlots;
}

int loadsUnderWay(const planning_table &table)
{
    int loads = 0;
    for (const auto &group : table.next.groups) {
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            const auto *tracked = findInstance(table.input.tracker, group.members[rank].instance);
            const bool isAnswering = tracked != nullptr && tracked->isAnswering();
            if (isAnswering && !hasConfirmed(group, rank, table.input.tracker)
                && !holdsWeights(table, group.members[rank].instance, group.choice, rank)) {
                ++loads;
            }
        }
    }
    return loads;
}

} // namespace

planning_table makePlanningTable(const planning_input &input, const planning_policy &policy)
{
    planning_table table{input, policy, input.current, {}, {}, 0, {}, {}, {}};
    std::erase_if(table.next.withheld, [&](const withheld_instance &entry) { return isReusable(input, entry.instance); });
    for (const auto &want : *input.wants) {
        table.wants.emplace(want.wanted.id, &want);
    }
    for (const auto &group : input.current.groups) {
        table.standings.emplace(group.id, standingOf(group, input.tracker));
    }
    fillDomains(table);
    table.loads = loadsUnderWay(table);
    return table;
}

generation takeGeneration(planning_table &table)
{
    table.next.lastGeneration = table.next.lastGeneration.next();
    return table.next.lastGeneration;
}

void markChanged(planning_table &table, allotted_group &group)
{
    group.current = takeGeneration(table);
    group.drainingSince = 0;
    table.standings[group.id] = group_standing::forming;
}

allotted_member takeInstance(planning_table &table, const instance_id &instance)
{
    const auto &listed = findInstance(table.input.tracker, instance)->listed;
    // The id may be the very one that stands among the free ones: it is copied before it is taken out.
    allotted_member member{instance, listed.address, listed.fabricDomain};
    table.domains[listed.fabricDomain].free.erase(member.instance);
    return member;
}

void releaseInstance(planning_table &table, const allotted_member &member, bool enginesCheckFencing)
{
    if (!enginesCheckFencing) {
        // An order of ours, or of a coordinator before us, may still be on its way, and the engine would obey it.
        table.next.withheld.push_back({member.instance, table.next.current});
        return;
    }
    const auto *tracked = findInstance(table.input.tracker, member.instance);
    if (tracked != nullptr && isPlaceable(*tracked, table.input.tracker.limits, table.input.now)) {
        table.domains[tracked->listed.fabricDomain].free.insert(member.instance);
    }
}

void removeGroup(planning_table &table, const group_id &id)
{
    auto &groups = table.next.groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const allotted_group &group) { return group.id == id; });
    const auto removed = *found;
    groups.erase(found);
    for (const auto &member : removed.members) {
        releaseInstance(table, member, removed.enginesCheckFencing);
    }
}

allotted_group *findPlannedGroup(planning_table &table, const group_id &id)
{
    auto &groups = table.next.groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const allotted_group &group) { return group.id == id; });
    return found == groups.end() ? nullptr : &*found;
}

const deployment_want *wantOf(const planning_table &table, const allotted_group &group)
{
    const auto found = table.wants.find(group.deployment);
    return found == table.wants.end() ? nullptr : found->second;
}

bool holdsWeights(const planning_table &table, const instance_id &instance, const model_choice &choice, std::size_t rank)
{
    const auto *tracked = findInstance(table.input.tracker, instance);
    if (tracked == nullptr || !tracked->isAnswering()) {
        return false;
    }
    const auto &state = *tracked->lastState;
    return state.phase == engine_phase::ready && state.choice == choice && state.rank == static_cast<int>(rank);
}

int loadsLeft(const planning_table &table)
{
    const auto most = static_cast<int>(std::ceil(table.policy.loadsPerStoreSlot * storeSlots(table)));
    return std::max(0, most - table.loads);
}

duration loadDuration(const planning_table &table, const deployment &wanted, int count)
{
    if (count == 0) {
        return table.policy.reformTime;
    }
    const auto slots = storeSlots(table);
    const auto rounds = (table.loads + count + slots - 1) / slots;
    return wanted.loadTime * std::max(1, rounds) + table.policy.reformTime;
}

int loadsNeeded(const planning_table &table, const model_choice &choice, const std::vector<instance_id> &ranked)
{
    int loads = 0;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        if (!holdsWeights(table, ranked[rank], choice, rank)) {
            ++loads;
        }
    }
    return loads;
}

} // namespace vetchpost
