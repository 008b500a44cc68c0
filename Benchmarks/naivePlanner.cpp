// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/naivePlanner.h"

#include "Libraries/Groups/group_state.h"
#include "Libraries/Groups/planning_round.h"

#include <fmt/format.h>

#include <random>

namespace vetchpost::bench {

namespace {

constexpr duration replacementDelay(600000);

std::vector<instance_id> firstInstances(const std::set<instance_id> &free, std::size_t count)
{
    return {free.begin(), std::next(free.begin(), static_cast<std::ptrdiff_t>(count))};
}

void rebuildElsewhere(planning_round &round, allotted_group &group)
{
    for (auto &[id, domain] : round.domains) {
        if (domain.free.size() >= group.members.size()) {
            const auto previous = group.members;
            group.members.clear();
            for (const auto &instance : firstInstances(domain.free, previous.size())) {
                group.members.push_back(allocateInstance(round, instance));
            }
            for (const auto &member : previous) {
                releaseInstance(round, member, true);
            }
            group.current = nextGeneration(round);
            return;
        }
    }
}

} // namespace

planning_result planNaively(const planning_input &input, std::uint64_t seed)
{
    const planning_policy policy;
    auto round = makePlanningRound(input, policy);
    std::mt19937_64 random(seed + static_cast<std::uint64_t>(input.now.time_since_epoch().count()));
    for (auto &group : round.next.groups) {
        for (const auto rank : missingRanks(group, input.tracker)) {
            const auto *tracked = findInstance(input.tracker, group.members[rank].instance);
            if (tracked != nullptr && tracked->missingSince && input.now - *tracked->missingSince < replacementDelay) {
                continue;
            }
            auto &free = round.domains[group.members.front().domain].free;
            if (free.empty()) {
                rebuildElsewhere(round, group);
                break;
            }
            const auto index = static_cast<std::ptrdiff_t>(random() % free.size());
            group.members[rank] = allocateInstance(round, *std::next(free.begin(), index));
            group.current = nextGeneration(round);
        }
    }
    for (const auto &want : *input.wants) {
        int present = 0;
        for (const auto &group : round.next.groups) {
            present += group.deployment == want.wanted.id ? 1 : 0;
        }
        const auto size = static_cast<std::size_t>(want.wanted.instancesPerReplica);
        for (auto &[id, domain] : round.domains) {
            while (present < want.replicas.value_or(0) && domain.free.size() >= size) {
                allotted_group group;
                group.deployment = want.wanted.id;
                group.choice = {want.wanted.model, want.wanted.adapter, want.wanted.version};
                group.enginesCheckFencing = true;
                group.current = nextGeneration(round);
                group.id = group_id(fmt::format("{}-{}", want.wanted.id.value(), group.current.value()));
                for (const auto &instance : firstInstances(domain.free, size)) {
                    group.members.push_back(allocateInstance(round, instance));
                }
                round.next.groups.push_back(std::move(group));
                ++present;
            }
        }
    }
    planning_result result;
    result.hasChanged = round.next.groups != input.current.groups;
    result.next = std::move(round.next);
    return result;
}

} // namespace vetchpost::bench
