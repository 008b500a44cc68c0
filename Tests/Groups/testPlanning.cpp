// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/naivePlanner.h"
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Groups/group_state.h"
#include "Libraries/Groups/planning.h"
#include "Libraries/Groups/replica_shares.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <functional>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

using planner = std::function<planning_result(const planning_input &)>;

/// Simulates instances whose engines obey orders at once, planned round by round.
class planned_fleet
{
public:
    planned_fleet(int domains, int perDomain, int size, int replicas)
    {
        std::vector<listed_instance> list;
        for (int domain = 0; domain < domains; ++domain) {
            for (int i = 0; i < perDomain; ++i) {
                listed_instance listed;
                listed.id = instance_id(fmt::format("i{}-{:02}", domain, i));
                listed.address = {"127.0.0.1", 1};
                listed.fabricDomain = fabric_domain_id(fmt::format("rack{}", domain));
                list.push_back(listed);
                engine_state state;
                state.instance = listed.id;
                m_states.emplace(listed.id, state);
            }
        }
        applyInstanceList(m_tracker, list);
        observeAll();
        add("model", 5, size, replicas);
    }

    void add(const std::string &name, int priority, int size, int replicas)
    {
        deployment wanted;
        wanted.id = deployment_id(name);
        wanted.model = name;
        wanted.version = "1";
        wanted.priority = priority;
        wanted.instancesPerReplica = size;
        wanted.enginesCheckFencing = true;
        wanted.minServingPercent = 75;
        wanted.loadTime = std::chrono::seconds(60);
        wanted.restartTime = std::chrono::seconds(240);
        wants.push_back({wanted, replicas});
    }

    void fail(const instance_id &instance)
    {
        m_states.erase(instance);
        applyObservation(m_tracker, {instance, std::nullopt}, now);
    }

    void restore(const instance_id &instance)
    {
        engine_state state;
        state.instance = instance;
        state.run = incarnation(++m_runs);
        m_states[instance] = state;
        observeAll();
    }

    void announceLeaving(const instance_id &instance)
    {
        m_states.at(instance).isLeaving = true;
        observeAll();
    }

    void setRunning(const instance_id &instance, int running)
    {
        m_states.at(instance).load.running = running;
        observeAll();
    }

    /// Plans one round, carries it out and returns its decisions. Without \a doesLoad members that change remain in the loading phase.
    std::vector<planning_decision> round(const planner &plan, bool doesLoad = true)
    {
        const std::optional known(wants);
        const planning_input input{allotted, m_tracker, known, {1000, 0}, reusableFrom, now, now.time_since_epoch().count(), dataCentre};
        auto result = plan(input);
        REQUIRE_FALSE(allotmentProblem(result.next));
        allotted = result.next;
        for (const auto &group : allotted.groups) {
            for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
                const auto found = m_states.find(group.members[rank].instance);
                const bool isNew = found != m_states.end() && (found->second.group != group.id || found->second.confirmed != group.current);
                if (isNew || (found != m_states.end() && doesLoad)) {
                    found->second.group = group.id;
                    found->second.confirmed = group.current;
                    found->second.rank = static_cast<int>(rank);
                    found->second.choice = group.choice;
                    found->second.phase = doesLoad ? engine_phase::ready : engine_phase::loading;
                }
            }
        }
        observeAll();
        return result.decisions;
    }

    void settle(const planner &plan, int rounds = 20)
    {
        for (int i = 0; i < rounds; ++i) {
            now += std::chrono::minutes(2);
            round(plan);
        }
    }

    int serving() const
    {
        int count = 0;
        for (const auto &group : allotted.groups) {
            count += groupStateOf(group, m_tracker) == group_state::serving ? 1 : 0;
        }
        return count;
    }

    const instance_tracker &tracker() const
    {
        return m_tracker;
    }

    std::vector<deployment_want> wants;
    allotment allotted;
    data_centre_id dataCentre{"ikeja"};
    instant now{duration(1000000)};
    std::map<instance_id, instant> reusableFrom;

private:
    void observeAll()
    {
        for (const auto &[id, state] : m_states) {
            applyObservation(m_tracker, {id, state}, now);
        }
    }

    std::map<instance_id, engine_state> m_states;
    instance_tracker m_tracker;
    std::uint64_t m_runs = 1;
};

planner optimisingPlanner()
{
    return [](const planning_input &input) { return planGroups(input, planning_policy()); };
}

planner naivePlanner()
{
    return [](const planning_input &input) { return bench::planNaively(input, 1); };
}

bool hasAction(const std::vector<planning_decision> &decisions, plan_action action)
{
    return std::any_of(decisions.begin(), decisions.end(), [&](const planning_decision &decision) { return decision.action == action; });
}

} // namespace

TEST_CASE("The planner keeps as many groups serving as fit, and never fewer than the naive planner", "[fuzz]")
{
    const auto property = [] {
        const auto domains = *rc::gen::inRange(1, 4);
        const auto perDomain = *rc::gen::inRange(4, 12);
        const auto size = *rc::gen::inRange(2, 5);
        const auto replicas = *rc::gen::inRange(1, 8);
        const auto lost = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, domains * perDomain));
        int servingByPlanner[2] = {0, 0};
        for (const int plannerIndex : {0, 1}) {
            planned_fleet fleet(domains, perDomain, size, replicas);
            const auto plan = plannerIndex == 0 ? optimisingPlanner() : naivePlanner();
            fleet.settle(plan, 6);
            for (const auto number : lost) {
                fleet.fail(instance_id(fmt::format("i{}-{:02}", number / perDomain, number % perDomain)));
            }
            fleet.settle(plan);
            servingByPlanner[plannerIndex] = fleet.serving();
        }
        std::vector<int> healthy(static_cast<std::size_t>(domains), perDomain);
        for (const auto number : lost) {
            --healthy[static_cast<std::size_t>(number / perDomain)];
        }
        RC_ASSERT(servingByPlanner[0] >= servingByPlanner[1]);
        RC_ASSERT(servingByPlanner[0] == std::min(replicas, wholeGroupCapacity(healthy, size)));
    };
    checkProperty("planner", fuzzSteps(10000) / 50, property);
}

TEST_CASE("A lost member is replaced by a standby of its own fabric domain")
{
    planned_fleet fleet(2, 5, 4, 2);
    fleet.settle(optimisingPlanner(), 3);
    const auto lost = fleet.allotted.groups.front().members[2];
    fleet.fail(lost.instance);
    // A member that has been missing for a second is not replaced yet.
    fleet.now += duration(1000);
    CHECK(fleet.round(optimisingPlanner()).empty());
    fleet.now += duration(3000);
    CHECK(hasAction(fleet.round(optimisingPlanner()), plan_action::use_standby));
    CHECK(fleet.serving() == 2);
    for (const auto &member : fleet.allotted.groups.front().members) {
        CHECK(member.domain == lost.domain);
    }
    // The return of the lost member changes nothing.
    fleet.restore(lost.instance);
    fleet.now += duration(5000);
    CHECK(fleet.round(optimisingPlanner()).empty());
}

TEST_CASE("Groups of two data centres never have the same id")
{
    planned_fleet first(1, 4, 4, 1);
    planned_fleet second(1, 4, 4, 1);
    second.dataCentre = data_centre_id("lekki");
    first.round(optimisingPlanner());
    second.round(optimisingPlanner());
    REQUIRE(first.allotted.groups.size() == 1);
    REQUIRE(second.allotted.groups.size() == 1);
    CHECK(first.allotted.groups.front().id != second.allotted.groups.front().id);
}

TEST_CASE("Two broken groups of one domain are combined into a serving one")
{
    planned_fleet fleet(1, 8, 4, 2);
    fleet.settle(optimisingPlanner(), 3);
    fleet.fail(fleet.allotted.groups[0].members[1].instance);
    fleet.fail(fleet.allotted.groups[1].members[3].instance);
    fleet.now += duration(4000);
    CHECK(hasAction(fleet.round(optimisingPlanner()), plan_action::use_donor));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("Three groups with one member left each are combined into a serving one")
{
    planned_fleet fleet(1, 9, 3, 3);
    fleet.settle(optimisingPlanner(), 3);
    for (const auto &group : fleet.allotted.groups) {
        fleet.fail(group.members[0].instance);
        fleet.fail(group.members[1].instance);
    }
    fleet.now += std::chrono::minutes(2);
    fleet.settle(optimisingPlanner(), 2);
    CHECK(fleet.serving() == 1);
}

TEST_CASE("An outage of a domain causes no mass rebuild, and its return reverts nothing")
{
    planned_fleet fleet(3, 8, 4, 4);
    fleet.settle(optimisingPlanner(), 4);
    const auto before = fleet.allotted;
    std::vector<instance_id> lostInstances;
    for (const auto &[id, tracked] : fleet.tracker().instances) {
        if (tracked.listed.fabricDomain == before.groups.front().members.front().domain) {
            lostInstances.push_back(id);
        }
    }
    for (const auto &id : lostInstances) {
        fleet.fail(id);
    }
    for (int second = 0; second < 50; ++second) {
        fleet.now += duration(1000);
        CHECK(fleet.round(optimisingPlanner()).empty());
    }
    CHECK(fleet.allotted.groups == before.groups);
    // The outage lasts: the groups are rebuilt elsewhere and stay there when the domain returns.
    fleet.now += std::chrono::minutes(2);
    fleet.round(optimisingPlanner());
    fleet.settle(optimisingPlanner(), 3);
    CHECK(fleet.serving() == 4);
    const auto moved = fleet.allotted;
    for (const auto &id : lostInstances) {
        fleet.restore(id);
    }
    fleet.settle(optimisingPlanner(), 5);
    CHECK(fleet.allotted.groups == moved.groups);
}

TEST_CASE("A group drains before a member that is about to leave is replaced")
{
    planned_fleet fleet(1, 5, 4, 1);
    fleet.settle(optimisingPlanner(), 3);
    const auto leader = fleet.allotted.groups.front().members.front().instance;
    const auto leaving = fleet.allotted.groups.front().members[1].instance;
    fleet.setRunning(leader, 3);
    fleet.announceLeaving(leaving);
    CHECK(groupStateOf(fleet.allotted.groups.front(), fleet.tracker()) == group_state::draining);
    const auto generationBefore = fleet.allotted.groups.front().current;
    fleet.now += duration(5000);
    CHECK(hasAction(fleet.round(optimisingPlanner()), plan_action::drain));
    for (int second = 0; second < 60; ++second) {
        fleet.now += duration(1000);
        fleet.round(optimisingPlanner());
        CHECK(fleet.allotted.groups.front().current == generationBefore);
    }
    fleet.setRunning(leader, 0);
    fleet.now += duration(1000);
    CHECK(hasAction(fleet.round(optimisingPlanner()), plan_action::use_standby));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("A new version is rolled out group by group while the minimum share of groups keeps serving")
{
    planned_fleet fleet(4, 5, 4, 4);
    fleet.settle(optimisingPlanner(), 4);
    fleet.wants.front().wanted.version = "2";
    for (int second = 0; second < 120; ++second) {
        fleet.now += duration(1000);
        fleet.round(optimisingPlanner(), false);
        CHECK(fleet.serving() >= 3);
        if (second % 5 == 4) {
            fleet.round(optimisingPlanner());
        }
    }
    CHECK(fleet.serving() == 4);
    for (const auto &group : fleet.allotted.groups) {
        CHECK(group.choice.version == "2");
    }
}

TEST_CASE("The deployment with the higher priority gets scarce capacity")
{
    planned_fleet fleet(1, 8, 4, 1);
    fleet.add("notes", 1, 4, 1);
    fleet.settle(optimisingPlanner(), 3);
    CHECK(fleet.serving() == 2);
    for (const auto &group : fleet.allotted.groups) {
        if (group.deployment == deployment_id("model")) {
            fleet.fail(group.members[2].instance);
            break;
        }
    }
    fleet.now += duration(5000);
    fleet.settle(optimisingPlanner(), 4);
    REQUIRE(fleet.allotted.groups.size() == 1);
    CHECK(fleet.allotted.groups.front().deployment == deployment_id("model"));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("An instance that fails repeatedly is held down for a while")
{
    planned_fleet fleet(1, 4, 4, 1);
    fleet.settle(optimisingPlanner(), 2);
    const auto flapping = fleet.allotted.groups.front().members.front().instance;
    for (int i = 0; i < 3; ++i) {
        fleet.fail(flapping);
        fleet.now += duration(20000);
        fleet.restore(flapping);
        fleet.now += duration(20000);
    }
    const auto *tracked = findInstance(fleet.tracker(), flapping);
    CHECK(isHeldDown(*tracked, tracker_limits(), fleet.now));
    CHECK_FALSE(isHeldDown(*tracked, tracker_limits(), fleet.now + std::chrono::minutes(20)));
}

TEST_CASE("An instance whose engine ignores fencing numbers is withheld after it has left a group")
{
    planned_fleet fleet(1, 4, 4, 1);
    fleet.wants.front().wanted.enginesCheckFencing = false;
    fleet.settle(optimisingPlanner(), 2);
    REQUIRE(fleet.serving() == 1);
    fleet.wants.front().replicas = 0;
    fleet.settle(optimisingPlanner(), 2);
    REQUIRE(fleet.allotted.groups.empty());
    CHECK(fleet.allotted.withheld.size() == 4);
    // No group is formed from withheld instances until they may be reused; then they are no longer withheld.
    for (const auto &entry : fleet.allotted.withheld) {
        fleet.reusableFrom[entry.instance] = fleet.now + duration(3000);
    }
    fleet.wants.front().replicas = 1;
    fleet.now += duration(1000);
    fleet.round(optimisingPlanner());
    CHECK(fleet.allotted.groups.empty());
    fleet.now += duration(3000);
    fleet.round(optimisingPlanner());
    CHECK(fleet.allotted.groups.size() == 1);
    CHECK(fleet.allotted.withheld.empty());
}

TEST_CASE("Only a change of load that leaves an instance busy may be reported later")
{
    engine_state reported;
    reported.load.running = 3;
    auto newer = reported;
    newer.load.running = 9;
    CHECK_FALSE(needsImmediateReport(reported, newer));
    newer.load.running = 0;
    CHECK(needsImmediateReport(reported, newer));
    newer = reported;
    newer.isLeaving = true;
    CHECK(needsImmediateReport(reported, newer));
    newer = reported;
    newer.phase = engine_phase::failed;
    CHECK(needsImmediateReport(reported, newer));
}

TEST_CASE("Followers back off with jitter while they fail to become coordinator")
{
    const instance_tracker tracker;
    const std::optional<std::vector<deployment_want>> wants;
    int attempts = 0;
    std::set<instant> lastAttempts;
    for (int daemon = 0; daemon < 50; ++daemon) {
        coordinator_settings settings;
        settings.self = daemon_id(fmt::format("d{}", daemon));
        auto state = makeCoordinator(settings);
        instant last;
        for (instant now(duration(1000)); now < instant(duration(61000)); now += duration(200)) {
            const coordinator_view view{tracker, wants, {}, false, now, 0};
            for (const auto &action : step(state, coordinator_tick{}, view)) {
                REQUIRE(std::holds_alternative<acquire_coordination>(action));
                ++attempts;
                last = now;
                step(state, acquisition_answer{now, false, {}}, view);
            }
        }
        lastAttempts.insert(last);
    }
    // An attempt each second would make 60 for each follower.
    CHECK(attempts < 50 * 12);
    CHECK(attempts >= 50 * 5);
    CHECK(lastAttempts.size() > 15);
}

TEST_CASE("An engine that goes back to a lower fencing number is counted")
{
    instance_tracker tracker;
    listed_instance listed;
    listed.id = instance_id("i1");
    applyInstanceList(tracker, {listed});
    engine_state state;
    state.instance = listed.id;
    state.confirmed = generation(7);
    applyObservation(tracker, {listed.id, state}, instant(duration(1)));
    state.confirmed = generation(5);
    applyObservation(tracker, {listed.id, state}, instant(duration(2)));
    CHECK(tracker.staleOrdersObeyed == 1);
    // A restarted engine has forgotten its fencing number, so a lower one shows nothing.
    state.run = incarnation(2);
    state.confirmed = generation(0);
    applyObservation(tracker, {listed.id, state}, instant(duration(3)));
    CHECK(tracker.staleOrdersObeyed == 1);
}

TEST_CASE("Replicas are split in proportion to capacity, as rounded exact shares would be, and never above it", "[fuzz]")
{
    const auto property = [] {
        const auto replicas = *rc::gen::inRange(0, 60);
        const auto capacityByDataCentre = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30)));
        std::vector<data_centre_capacity> capacities;
        int total = 0;
        for (std::size_t i = 0; i < capacityByDataCentre.size(); ++i) {
            capacities.push_back({data_centre_id(fmt::format("dc{:02}", i)), capacityByDataCentre[i]});
            total += capacityByDataCentre[i];
        }
        const auto shares = shareReplicas(replicas, capacities);
        std::reverse(capacities.begin(), capacities.end());
        const auto other = shareReplicas(replicas, capacities);
        int assigned = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            assigned += shares[i].replicas;
            RC_ASSERT(shares[i].replicas <= capacityByDataCentre[i]);
            RC_ASSERT(shares[i].replicas == other[i].replicas);
            // Reference: the exact share, rounded up or down.
            const auto exact = total == 0 ? 0.0 : static_cast<double>(std::min(replicas, total)) * capacityByDataCentre[i] / total;
            RC_ASSERT(std::abs(shares[i].replicas - exact) < 1);
        }
        RC_ASSERT(assigned == std::min(replicas, total));
    };
    checkProperty("shares", 200, property);
}
