// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/repair_choice.h"

#include "Libraries/Groups/group_standing.h"

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

/// Chooses one instance for each rank out of \a pool, those that hold the rank's weights first. Nothing where the pool is
/// too small.
std::optional<std::vector<instance_id>>
fillRanks(const planning_table &table, const model_choice &choice, const std::vector<std::size_t> &ranks, std::set<instance_id> pool)
{
    if (pool.size() < ranks.size()) {
        return std::nullopt;
    }
    std::vector<instance_id> chosen;
    std::vector<std::size_t> open;
    chosen.resize(ranks.size());
    for (std::size_t place = 0; place < ranks.size(); ++place) {
        const auto holds = [&](const instance_id &instance) { return holdsWeights(table, instance, choice, ranks[place]); };
        const auto found = std::find_if(pool.begin(), pool.end(), holds);
        if (found == pool.end()) {
            open.push_back(place);
            continue;
        }
        chosen[place] = *found;
        pool.erase(found);
    }
    for (const auto place : open) {
        chosen[place] = *pool.begin();
        pool.erase(pool.begin());
    }
    return chosen;
}

int loadsFor(const planning_table &table,
             const model_choice &choice,
             const std::vector<std::size_t> &ranks,
             const std::vector<instance_id> &chosen)
{
    int loads = 0;
    for (std::size_t place = 0; place < ranks.size(); ++place) {
        loads += holdsWeights(table, chosen[place], choice, ranks[place]) ? 0 : 1;
    }
    return loads;
}

/// Works out the options of one group.
class option_finder
{
public:
    option_finder(planning_table &table, const broken_group &group, const std::vector<broken_group> &broken)
        : m_table(table)
        , m_broken(broken)
        , m_lost(group)
        , m_group(*findPlannedGroup(table, group.id))
        , m_wanted(wantOf(table, m_group)->wanted)
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
    /// What it costs that the group is down for this time, with its healthy members idle beside it.
    double costOf(duration time) const
    {
        const auto healthy = static_cast<double>(m_group.members.size() - m_lost.lostRanks.size());
        const auto idleShare = healthy / static_cast<double>(m_group.members.size());
        return secondsOf(time) * (m_wanted.downtimeWeight + m_wanted.strandedWeight * idleShare);
    }

    void add(plan_action action, duration time, double extraCost, std::vector<instance_id> instances, std::vector<group_id> sources = {})
    {
        m_options.push_back({action, time, costOf(time) + extraCost, std::move(sources), std::move(instances)});
    }

    duration returnTime() const
    {
        return expectedReturn(m_table.policy, m_wanted, m_lost.age);
    }

    void addWait()
    {
        if (!m_lost.isLeaving) {
            add(plan_action::wait, returnTime(), 0, {});
        }
    }

    /// 3a. Free instances of the same domain take the lost ranks.
    void addStandby()
    {
        const auto chosen = fillRanks(m_table, m_group.choice, m_lost.lostRanks, m_table.domains[m_domain].free);
        if (!chosen) {
            return;
        }
        const auto loads = loadsFor(m_table, m_group.choice, m_lost.lostRanks, *chosen);
        add(plan_action::use_standby, loadDuration(m_table, m_wanted, loads), 0, *chosen);
    }

    /// 3b. Other broken groups of the domain are taken apart, as many as it needs: two broken groups make one whole. The last in the
    /// order of repair go first.
    void addDonors()
    {
        auto pool = m_table.domains[m_domain].free;
        std::vector<group_id> sources;
        double donorLoss = 0;
        for (auto other = m_broken.rbegin(); other != m_broken.rend(); ++other) {
            const auto *donor = donorOf(*other);
            if (donor == nullptr) {
                continue;
            }
            sources.push_back(donor->id);
            for (std::size_t rank = 0; rank < donor->members.size(); ++rank) {
                if (!contains(other->lostRanks, rank)) {
                    pool.insert(donor->members[rank].instance);
                }
            }
            // The donor could have waited for its own members; now it is formed anew from what comes back.
            const auto &donorWanted = wantOf(m_table, *donor)->wanted;
            donorLoss += secondsOf(donorWanted.loadTime) * donorWanted.downtimeWeight;
            if (const auto chosen = fillRanks(m_table, m_group.choice, m_lost.lostRanks, pool)) {
                const auto loads = loadsFor(m_table, m_group.choice, m_lost.lostRanks, *chosen);
                add(plan_action::use_donor, loadDuration(m_table, m_wanted, loads), donorLoss, *chosen, sources);
                return;
            }
        }
    }

    /// The group, if it may be taken apart for this one.
    const allotted_group *donorOf(const broken_group &other) const
    {
        const auto *donor = other.id == m_lost.id ? nullptr : findPlannedGroup(m_table, other.id);
        const auto *want = donor == nullptr ? nullptr : wantOf(m_table, *donor);
        // Where engines ignore fencing numbers, members that change their group must first be withheld.
        const bool mayBeTaken = want != nullptr && want->wanted.priority <= m_wanted.priority && donor->enginesCheckFencing
            && donor->members.front().domain == m_domain;
        return mayBeTaken ? donor : nullptr;
    }

    /// 3c. The whole group is built in another domain that has room for it.
    void addRebuild()
    {
        const auto size = m_group.members.size();
        for (const auto &[id, domain] : m_table.domains) {
            if (id == m_domain || domain.isDark || domain.free.size() < size) {
                continue;
            }
            std::vector<std::size_t> ranks(size);
            for (std::size_t rank = 0; rank < size; ++rank) {
                ranks[rank] = rank;
            }
            const auto chosen = fillRanks(m_table, m_group.choice, ranks, domain.free);
            const auto loads = loadsNeeded(m_table, m_group.choice, *chosen);
            add(plan_action::rebuild_elsewhere, loadDuration(m_table, m_wanted, loads), 0, *chosen);
        }
    }

    /// 3d. Instances of other domains take the lost ranks; the replica is slow for as long as it spans.
    void addSpan()
    {
        if (!m_wanted.maySpanDomains) {
            return;
        }
        std::set<instance_id> pool;
        for (const auto &[id, domain] : m_table.domains) {
            pool.insert(domain.free.begin(), domain.free.end());
        }
        const auto chosen = fillRanks(m_table, m_group.choice, m_lost.lostRanks, pool);
        if (!chosen) {
            return;
        }
        const auto loads = loadsFor(m_table, m_group.choice, m_lost.lostRanks, *chosen);
        const auto slowness = secondsOf(returnTime()) * m_wanted.downtimeWeight * m_table.policy.spanPenalty;
        add(plan_action::span_domains, loadDuration(m_table, m_wanted, loads), slowness, *chosen);
    }

    /// 3e. A whole group of a lower priority is taken apart.
    void addPreemption()
    {
        for (const auto &victim : m_table.next.groups) {
            const auto *want = wantOf(m_table, victim);
            const bool isLower = want != nullptr && want->wanted.priority < m_wanted.priority;
            if (!isLower || victim.id == m_group.id || victim.members.front().domain != m_domain || !victim.enginesCheckFencing
                || m_table.standings.at(victim.id) == group_standing::broken) {
                continue;
            }
            auto pool = m_table.domains[m_domain].free;
            for (const auto &member : victim.members) {
                pool.insert(member.instance);
            }
            const auto chosen = fillRanks(m_table, m_group.choice, m_lost.lostRanks, pool);
            if (!chosen) {
                continue;
            }
            const auto loads = loadsFor(m_table, m_group.choice, m_lost.lostRanks, *chosen);
            // The victim is down until the lost members are back, and breaking work off hurts its callers beside.
            constexpr double lowerPriorityShare = 0.5;
            const auto loss = secondsOf(returnTime()) * want->wanted.downtimeWeight * lowerPriorityShare;
            add(plan_action::preempt, loadDuration(m_table, m_wanted, loads), loss, *chosen, {victim.id});
        }
    }

    planning_table &m_table;
    const std::vector<broken_group> &m_broken;
    const broken_group &m_lost;
    const allotted_group &m_group;
    const deployment &m_wanted;
    fabric_domain_id m_domain;
    std::vector<repair_option> m_options;
};

} // namespace

duration expectedReturn(const planning_policy &policy, const deployment &wanted, duration age)
{
    // Restarts end after an exponential time, failures much later: the longer it lasts, the likelier it is a failure.
    const auto restart = static_cast<double>(wanted.restartTime.count());
    const auto stillRestarting = policy.restartShare * std::exp(-static_cast<double>(age.count()) / restart);
    const auto restartChance = stillRestarting / (stillRestarting + 1 - policy.restartShare);
    const auto average = restartChance * restart + (1 - restartChance) * static_cast<double>(policy.repairTime.count());
    return duration(static_cast<std::int64_t>(average)) + wanted.loadTime;
}

std::vector<repair_option> repairOptions(planning_table &table, const broken_group &group, const std::vector<broken_group> &broken)
{
    return option_finder(table, group, broken).find();
}

void applyRepair(planning_table &table, const broken_group &group, const repair_option &option)
{
    if (option.action == plan_action::wait) {
        return;
    }
    for (const auto &source : option.sources) {
        removeGroup(table, source);
    }
    auto &repaired = *findPlannedGroup(table, group.id);
    if (option.action == plan_action::rebuild_elsewhere) {
        const auto previous = repaired.members;
        repaired.members.clear();
        for (const auto &instance : option.instances) {
            repaired.members.push_back(takeInstance(table, instance));
        }
        for (const auto &member : previous) {
            releaseInstance(table, member, repaired.enginesCheckFencing);
        }
        table.loads += loadsNeeded(table, repaired.choice, option.instances);
    } else {
        table.loads += loadsFor(table, repaired.choice, group.lostRanks, option.instances);
        for (std::size_t place = 0; place < group.lostRanks.size(); ++place) {
            auto &member = repaired.members[group.lostRanks[place]];
            const auto previous = member;
            member = takeInstance(table, option.instances[place]);
            releaseInstance(table, previous, repaired.enginesCheckFencing);
        }
    }
    markChanged(table, repaired);
}

} // namespace vetchpost
