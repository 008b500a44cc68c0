// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/repair_choice.h"

#include "Libraries/Groups/group_state.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

constexpr double millisecondsPerSecond = 1000;

double secondsOf(duration value)
{
    return static_cast<double>(value.count()) / millisecondsPerSecond;
}

bool contains(const std::vector<std::size_t> &ranks, std::size_t rank)
{
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

/// Chooses an instance from \a pool for each rank and prefers those that hold the rank's weights. Returns nothing if the pool is too
/// small.
std::optional<std::vector<instance_id>>
fillRanks(const planning_round &round, const model_choice &choice, const std::vector<std::size_t> &ranks, std::set<instance_id> pool)
{
    if (pool.size() < ranks.size()) {
        return std::nullopt;
    }
    std::vector<instance_id> chosen;
    std::vector<std::size_t> unfilled;
    chosen.resize(ranks.size());
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        const auto holds = [&](const instance_id &instance) { return holdsWeights(round, instance, choice, ranks[index]); };
        const auto found = std::find_if(pool.begin(), pool.end(), holds);
        if (found == pool.end()) {
            unfilled.push_back(index);
            continue;
        }
        chosen[index] = *found;
        pool.erase(found);
    }
    for (const auto index : unfilled) {
        chosen[index] = *pool.begin();
        pool.erase(pool.begin());
    }
    return chosen;
}

/// Returns how many of the chosen instances have to load weights. \a ranks holds their ranks, in the same order.
int loadsFor(const planning_round &round,
             const model_choice &choice,
             const std::vector<std::size_t> &ranks,
             const std::vector<instance_id> &chosen)
{
    int loads = 0;
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        loads += holdsWeights(round, chosen[index], choice, ranks[index]) ? 0 : 1;
    }
    return loads;
}

/// Collects the repair options of one group.
class option_finder
{
public:
    option_finder(planning_round &round, const broken_group &group, const std::vector<broken_group> &others)
        : m_round(round)
        , m_otherBrokenGroups(others)
        , m_brokenGroup(group)
        , m_group(*findPlannedGroup(round, group.id))
        , m_wanted(findWant(round, m_group)->wanted)
        , m_domain(m_group.members.front().domain)
    {
    }

    std::vector<repair_option> find()
    {
        addWait();
        addStandby();
        addDonors();
        addRebuild();
        addSpan();
        addPreemption();
        std::stable_sort(m_options.begin(), m_options.end(), [](const repair_option &left, const repair_option &right) {
            return left.cost < right.cost;
        });
        return std::move(m_options);
    }

private:
    /// Returns the cost of the group being down for this time while its healthy members are idle.
    double costOf(duration time) const
    {
        const auto healthy = static_cast<double>(m_group.members.size() - m_brokenGroup.lostRanks.size());
        const auto idleShare = healthy / static_cast<double>(m_group.members.size());
        return secondsOf(time) * (m_wanted.downtimeWeight + m_wanted.strandedWeight * idleShare);
    }

    void
    add(plan_action action, duration time, double extraCost, std::vector<instance_id> instances, std::vector<group_id> dissolvedGroups = {})
    {
        m_options.push_back({action, time, costOf(time) + extraCost, std::move(dissolvedGroups), std::move(instances)});
    }

    duration remainingReturnTime() const
    {
        return expectedReturn(m_round.policy, m_wanted, m_brokenGroup.absence);
    }

    void addWait()
    {
        if (!m_brokenGroup.isLeaving) {
            add(plan_action::wait, remainingReturnTime(), 0, {});
        }
    }

    /// 3a. Replaces the lost members by free instances of the same domain.
    void addStandby()
    {
        const auto chosen = fillRanks(m_round, m_group.choice, m_brokenGroup.lostRanks, m_round.domains[m_domain].free);
        if (!chosen) {
            return;
        }
        const auto loads = loadsFor(m_round, m_group.choice, m_brokenGroup.lostRanks, *chosen);
        add(plan_action::use_standby, loadDuration(m_round, m_wanted, loads), 0, *chosen);
    }

    /// 3b. Replaces the lost members by members of other broken groups of the domain. As many groups are removed as needed, those that
    /// would be repaired last first.
    void addDonors()
    {
        auto pool = m_round.domains[m_domain].free;
        std::vector<group_id> dissolvedGroups;
        double donorCost = 0;
        for (auto other = m_otherBrokenGroups.rbegin(); other != m_otherBrokenGroups.rend(); ++other) {
            const auto *donor = findDonor(*other);
            if (donor == nullptr) {
                continue;
            }
            dissolvedGroups.push_back(donor->id);
            for (std::size_t rank = 0; rank < donor->members.size(); ++rank) {
                if (!contains(other->lostRanks, rank)) {
                    pool.insert(donor->members[rank].instance);
                }
            }
            // Instead of waiting for its own members, the donor has to be formed again from instances that return, with a new load.
            const auto &donorWanted = findWant(m_round, *donor)->wanted;
            donorCost += secondsOf(donorWanted.loadTime) * donorWanted.downtimeWeight;
            if (const auto chosen = fillRanks(m_round, m_group.choice, m_brokenGroup.lostRanks, pool)) {
                const auto loads = loadsFor(m_round, m_group.choice, m_brokenGroup.lostRanks, *chosen);
                add(plan_action::use_donor, loadDuration(m_round, m_wanted, loads), donorCost, *chosen, dissolvedGroups);
                return;
            }
        }
    }

    /// Returns the other group if it may be removed for its members, else null.
    const allotted_group *findDonor(const broken_group &other) const
    {
        const auto *donor = other.id == m_brokenGroup.id ? nullptr : findPlannedGroup(m_round, other.id);
        const auto *want = donor == nullptr ? nullptr : findWant(m_round, *donor);
        // If engines ignore fencing numbers, members must be withheld before they can join another group.
        const bool mayBeTaken = want != nullptr && want->wanted.priority <= m_wanted.priority && donor->enginesCheckFencing
            && donor->members.front().domain == m_domain;
        return mayBeTaken ? donor : nullptr;
    }

    /// 3c. Rebuilds the whole group in another domain with enough free instances.
    void addRebuild()
    {
        const auto size = m_group.members.size();
        for (const auto &[id, domain] : m_round.domains) {
            if (id == m_domain || domain.hasOutage || domain.free.size() < size) {
                continue;
            }
            std::vector<std::size_t> ranks(size);
            for (std::size_t rank = 0; rank < size; ++rank) {
                ranks[rank] = rank;
            }
            const auto chosen = fillRanks(m_round, m_group.choice, ranks, domain.free);
            const auto loads = loadsNeeded(m_round, m_group.choice, *chosen);
            add(plan_action::rebuild_elsewhere, loadDuration(m_round, m_wanted, loads), 0, *chosen);
        }
    }

    /// 3d. Replaces the lost members by instances of any domain. The replica is slower while it spans domains.
    void addSpan()
    {
        if (!m_wanted.maySpanDomains) {
            return;
        }
        std::set<instance_id> pool;
        for (const auto &[id, domain] : m_round.domains) {
            pool.insert(domain.free.begin(), domain.free.end());
        }
        const auto chosen = fillRanks(m_round, m_group.choice, m_brokenGroup.lostRanks, pool);
        if (!chosen) {
            return;
        }
        const auto loads = loadsFor(m_round, m_group.choice, m_brokenGroup.lostRanks, *chosen);
        const auto spanCost = secondsOf(remainingReturnTime()) * m_wanted.downtimeWeight * m_round.policy.spanPenalty;
        add(plan_action::span_domains, loadDuration(m_round, m_wanted, loads), spanCost, *chosen);
    }

    /// 3e. Replaces the lost members by members of a working group with a lower priority, which is removed.
    void addPreemption()
    {
        for (const auto &victim : m_round.next.groups) {
            const auto *want = findWant(m_round, victim);
            const bool isLower = want != nullptr && want->wanted.priority < m_wanted.priority;
            if (!isLower || victim.id == m_group.id || victim.members.front().domain != m_domain || !victim.enginesCheckFencing
                || m_round.groupStates.at(victim.id) == group_state::broken) {
                continue;
            }
            auto pool = m_round.domains[m_domain].free;
            for (const auto &member : victim.members) {
                pool.insert(member.instance);
            }
            const auto chosen = fillRanks(m_round, m_group.choice, m_brokenGroup.lostRanks, pool);
            if (!chosen) {
                continue;
            }
            const auto loads = loadsFor(m_round, m_group.choice, m_brokenGroup.lostRanks, *chosen);
            // The victim is down until the lost members are back, and interrupted work costs its callers in addition.
            constexpr double lowerPriorityShare = 0.5;
            const auto victimCost = secondsOf(remainingReturnTime()) * want->wanted.downtimeWeight * lowerPriorityShare;
            add(plan_action::preempt, loadDuration(m_round, m_wanted, loads), victimCost, *chosen, {victim.id});
        }
    }

    planning_round &m_round;
    const std::vector<broken_group> &m_otherBrokenGroups;
    const broken_group &m_brokenGroup;
    const allotted_group &m_group;
    const deployment &m_wanted;
    fabric_domain_id m_domain;
    std::vector<repair_option> m_options;
};

} // namespace

duration expectedReturn(const planning_policy &policy, const deployment &wanted, duration absence)
{
    // The duration of a restart is exponentially distributed and a repair takes much longer, so the longer an instance is missing, the
    // more likely it has failed.
    const auto restart = static_cast<double>(wanted.restartTime.count());
    const auto stillRestarting = policy.restartShare * std::exp(-static_cast<double>(absence.count()) / restart);
    const auto restartChance = stillRestarting / (stillRestarting + 1 - policy.restartShare);
    const auto average = restartChance * restart + (1 - restartChance) * static_cast<double>(policy.repairTime.count());
    return duration(static_cast<std::int64_t>(average)) + wanted.loadTime;
}

std::vector<repair_option> repairOptions(planning_round &round, const broken_group &group, const std::vector<broken_group> &others)
{
    return option_finder(round, group, others).find();
}

void applyRepair(planning_round &round, const broken_group &group, const repair_option &option)
{
    if (option.action == plan_action::wait) {
        return;
    }
    for (const auto &source : option.dissolvedGroups) {
        removeGroup(round, source);
    }
    auto &repaired = *findPlannedGroup(round, group.id);
    if (option.action == plan_action::rebuild_elsewhere) {
        const auto previous = repaired.members;
        repaired.members.clear();
        for (const auto &instance : option.instances) {
            repaired.members.push_back(allocateInstance(round, instance));
        }
        for (const auto &member : previous) {
            releaseInstance(round, member, repaired.enginesCheckFencing);
        }
        round.loads += loadsNeeded(round, repaired.choice, option.instances);
    } else {
        round.loads += loadsFor(round, repaired.choice, group.lostRanks, option.instances);
        for (std::size_t index = 0; index < group.lostRanks.size(); ++index) {
            auto &member = repaired.members[group.lostRanks[index]];
            const auto previous = member;
            member = allocateInstance(round, option.instances[index]);
            releaseInstance(round, previous, repaired.enginesCheckFencing);
        }
    }
    markChanged(round, repaired);
}

} // namespace vetchpost
