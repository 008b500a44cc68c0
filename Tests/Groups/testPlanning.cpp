// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/naivePlanner.h"
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Groups/group_standing.h"
#include "Libraries/Groups/planning.h"
#include "Libraries/Groups/replica_shares.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <functional>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

using planner = std::function<planning_result(const planning_input &)>;

/// A fleet whose engines obey and load at once, planned round by round.
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
        takeList(m_tracker, list);
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
        wanted.keptPercent = 75;
        wanted.loadTime = std::chrono::seconds(60);
        wanted.restartTime = std::chrono::seconds(240);
        wants.push_back({wanted, replicas});
    }

    void lose(const instance_id &instance)
    {
        m_states.erase(instance);
        takeObservation(m_tracker, {instance, std::nullopt}, now);
    }

    void giveBack(const instance_id &instance)
    {
        engine_state state;
        state.instance = instance;
        state.run = incarnation(++m_runs);
        m_states[instance] = state;
        observeAll();
    }

    void leave(const instance_id &instance)
    {
        m_states.at(instance).isLeaving = true;
        observeAll();
    }

    void setRunning(const instance_id &instance, int running)
    {
        m_states.at(instance).load.running = running;
        observeAll();
    }

    /// One round; the decisions that it took.
    std::vector<planning_decision> round(const planner &plan, bool doesLoad = true)
    {
        const std::optional known(wants);
        const planning_input input{allotted, m_tracker, known, {1000, 0}, notBefore, now, now.time_since_epoch().count(), dataCentre};
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
            count += standingOf(group, m_tracker) == group_standing::serving ? 1 : 0;
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
    std::map<instance_id, instant> notBefore;

private:
    void observeAll()
    {
        for (const auto &[id, state] : m_states) {
            takeObservation(m_tracker, {id, state}, now);
        }
    }

    std::map<instance_id, engine_state> m_states;
    instance_tracker m_tracker;
    std::uint64_t m_runs = 1;
};

planner ours()
{
    return [](const planning_input &input) { return planGroups(input, planning_policy()); };
}

planner naive()
{
    return [](const planning_input &input) { return bench::planNaively(input, 1); };
}

bool hasAction(const std::vector<planning_decision> &decisions, plan_action action)
{
    return std::any_of(decisions.begin(), decisions.end(), [&](const planning_decision &decision) { return decision.action == action; });
}

} // namespace

TEST_CASE("The planner makes as many groups whole as fit, and never fewer than the naive one", "[fuzz]")
{
    const auto property = [] {
        const auto domains = *rc::gen::inRange(1, 4);
        const auto perDomain = *rc::gen::inRange(4, 12);
        const auto size = *rc::gen::inRange(2, 5);
        const auto replicas = *rc::gen::inRange(1, 8);
        const auto lost = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, domains * perDomain));
        int served[2] = {0, 0};
        for (const int which : {0, 1}) {
            planned_fleet fleet(domains, perDomain, size, replicas);
            const auto plan = which == 0 ? ours() : naive();
            fleet.settle(plan, 6);
            for (const auto place : lost) {
                fleet.lose(instance_id(fmt::format("i{}-{:02}", place / perDomain, place % perDomain)));
            }
            fleet.settle(plan);
            served[which] = fleet.serving();
        }
        std::vector<int> healthy(static_cast<std::size_t>(domains), perDomain);
        for (const auto place : lost) {
            --healthy[static_cast<std::size_t>(place / perDomain)];
        }
        RC_ASSERT(served[0] >= served[1]);
        RC_ASSERT(served[0] == std::min(replicas, wholeGroupRoom(healthy, size)));
    };
    checkProperty("planner", fuzzSteps(10000) / 50, property);
}

TEST_CASE("A lost member is replaced by a standby of its own fabric domain")
{
    planned_fleet fleet(2, 5, 4, 2);
    fleet.settle(ours(), 3);
    const auto lost = fleet.allotted.groups.front().members[2];
    fleet.lose(lost.instance);
    // A moment is waited for first.
    fleet.now += duration(1000);
    CHECK(fleet.round(ours()).empty());
    fleet.now += duration(3000);
    CHECK(hasAction(fleet.round(ours()), plan_action::use_standby));
    CHECK(fleet.serving() == 2);
    for (const auto &member : fleet.allotted.groups.front().members) {
        CHECK(member.domain == lost.domain);
    }
    // Its return changes nothing.
    fleet.giveBack(lost.instance);
    fleet.now += duration(5000);
    CHECK(fleet.round(ours()).empty());
}

TEST_CASE("Groups of two data centres never have the same name")
{
    planned_fleet first(1, 4, 4, 1);
    planned_fleet second(1, 4, 4, 1);
    second.dataCentre = data_centre_id("lekki");
    first.round(ours());
    second.round(ours());
    REQUIRE(first.allotted.groups.size() == 1);
    REQUIRE(second.allotted.groups.size() == 1);
    CHECK(first.allotted.groups.front().id != second.allotted.groups.front().id);
}

TEST_CASE("Two broken groups of one domain make one whole")
{
    planned_fleet fleet(1, 8, 4, 2);
    fleet.settle(ours(), 3);
    fleet.lose(fleet.allotted.groups[0].members[1].instance);
    fleet.lose(fleet.allotted.groups[1].members[3].instance);
    fleet.now += duration(4000);
    CHECK(hasAction(fleet.round(ours()), plan_action::use_donor));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("Three groups with one member left each make one whole")
{
    planned_fleet fleet(1, 9, 3, 3);
    fleet.settle(ours(), 3);
    for (const auto &group : fleet.allotted.groups) {
        fleet.lose(group.members[0].instance);
        fleet.lose(group.members[1].instance);
    }
    fleet.now += std::chrono::minutes(2);
    fleet.settle(ours(), 2);
    CHECK(fleet.serving() == 1);
}

TEST_CASE("A domain that goes dark makes no stampede, and its return undoes nothing")
{
    planned_fleet fleet(3, 8, 4, 4);
    fleet.settle(ours(), 4);
    const auto before = fleet.allotted;
    std::vector<instance_id> dark;
    for (const auto &[id, tracked] : fleet.tracker().instances) {
        if (tracked.listed.fabricDomain == before.groups.front().members.front().domain) {
            dark.push_back(id);
        }
    }
    for (const auto &id : dark) {
        fleet.lose(id);
    }
    for (int second = 0; second < 50; ++second) {
        fleet.now += duration(1000);
        CHECK(fleet.round(ours()).empty());
    }
    CHECK(fleet.allotted.groups == before.groups);
    // It lasts: the groups are built elsewhere, and stay there when it returns.
    fleet.now += std::chrono::minutes(2);
    fleet.round(ours());
    fleet.settle(ours(), 3);
    CHECK(fleet.serving() == 4);
    const auto moved = fleet.allotted;
    for (const auto &id : dark) {
        fleet.giveBack(id);
    }
    fleet.settle(ours(), 5);
    CHECK(fleet.allotted.groups == moved.groups);
}

TEST_CASE("A planned leave drains first and cuts nothing off")
{
    planned_fleet fleet(1, 5, 4, 1);
    fleet.settle(ours(), 3);
    const auto leader = fleet.allotted.groups.front().members.front().instance;
    const auto leaving = fleet.allotted.groups.front().members[1].instance;
    fleet.setRunning(leader, 3);
    fleet.leave(leaving);
    CHECK(standingOf(fleet.allotted.groups.front(), fleet.tracker()) == group_standing::draining);
    const auto generationBefore = fleet.allotted.groups.front().current;
    fleet.now += duration(5000);
    CHECK(hasAction(fleet.round(ours()), plan_action::drain));
    for (int second = 0; second < 60; ++second) {
        fleet.now += duration(1000);
        fleet.round(ours());
        CHECK(fleet.allotted.groups.front().current == generationBefore);
    }
    fleet.setRunning(leader, 0);
    fleet.now += duration(1000);
    CHECK(hasAction(fleet.round(ours()), plan_action::use_standby));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("A new version rolls group by group, and the kept share goes on serving")
{
    planned_fleet fleet(4, 5, 4, 4);
    fleet.settle(ours(), 4);
    fleet.wants.front().wanted.version = "2";
    for (int second = 0; second < 120; ++second) {
        fleet.now += duration(1000);
        fleet.round(ours(), false);
        CHECK(fleet.serving() >= 3);
        if (second % 5 == 4) {
            fleet.round(ours());
        }
    }
    CHECK(fleet.serving() == 4);
    for (const auto &group : fleet.allotted.groups) {
        CHECK(group.choice.version == "2");
    }
}

TEST_CASE("When capacity is short the higher priority gets it")
{
    planned_fleet fleet(1, 8, 4, 1);
    fleet.add("notes", 1, 4, 1);
    fleet.settle(ours(), 3);
    CHECK(fleet.serving() == 2);
    for (const auto &group : fleet.allotted.groups) {
        if (group.deployment == deployment_id("model")) {
            fleet.lose(group.members[2].instance);
            break;
        }
    }
    fleet.now += duration(5000);
    fleet.settle(ours(), 4);
    REQUIRE(fleet.allotted.groups.size() == 1);
    CHECK(fleet.allotted.groups.front().deployment == deployment_id("model"));
    CHECK(fleet.serving() == 1);
}

TEST_CASE("An instance that keeps failing is not placed again for a while")
{
    planned_fleet fleet(1, 4, 4, 1);
    fleet.settle(ours(), 2);
    const auto flapping = fleet.allotted.groups.front().members.front().instance;
    for (int i = 0; i < 3; ++i) {
        fleet.lose(flapping);
        fleet.now += duration(20000);
        fleet.giveBack(flapping);
        fleet.now += duration(20000);
    }
    const auto *tracked = findInstance(fleet.tracker(), flapping);
    CHECK(isHeld(*tracked, tracker_limits(), fleet.now));
    CHECK_FALSE(isHeld(*tracked, tracker_limits(), fleet.now + std::chrono::minutes(20)));
}

TEST_CASE("Where engines ignore fencing numbers an instance that leaves a group is withheld before it is used again")
{
    planned_fleet fleet(1, 4, 4, 1);
    fleet.wants.front().wanted.enginesCheckFencing = false;
    fleet.settle(ours(), 2);
    REQUIRE(fleet.serving() == 1);
    fleet.wants.front().replicas = 0;
    fleet.settle(ours(), 2);
    REQUIRE(fleet.allotted.groups.empty());
    CHECK(fleet.allotted.withheld.size() == 4);
    // The coordinator waits for them; until then nothing is formed from them, afterwards it is and they are withheld no more.
    for (const auto &entry : fleet.allotted.withheld) {
        fleet.notBefore[entry.instance] = fleet.now + duration(3000);
    }
    fleet.wants.front().replicas = 1;
    fleet.now += duration(1000);
    fleet.round(ours());
    CHECK(fleet.allotted.groups.empty());
    fleet.now += duration(3000);
    fleet.round(ours());
    CHECK(fleet.allotted.groups.size() == 1);
    CHECK(fleet.allotted.withheld.empty());
}

TEST_CASE("Only a load that goes on may wait before it is told")
{
    engine_state told;
    told.load.running = 3;
    auto newer = told;
    newer.load.running = 9;
    CHECK_FALSE(isNews(told, newer));
    newer.load.running = 0;
    CHECK(isNews(told, newer));
    newer = told;
    newer.isLeaving = true;
    CHECK(isNews(told, newer));
    newer = told;
    newer.phase = engine_phase::failed;
    CHECK(isNews(told, newer));
}

TEST_CASE("Followers try ever more rarely, and not in step, while the service does not let them")
{
    const instance_tracker tracker;
    const std::optional<std::vector<deployment_want>> wants;
    int tries = 0;
    std::set<instant> lastTries;
    for (int daemon = 0; daemon < 50; ++daemon) {
        coordinator_settings settings;
        settings.self = daemon_id(fmt::format("d{}", daemon));
        auto state = makeCoordinator(settings);
        instant last;
        for (instant now(duration(1000)); now < instant(duration(61000)); now += duration(200)) {
            const coordinator_view view{tracker, wants, {}, false, now, 0};
            for (const auto &action : step(state, coordinator_tick{}, view)) {
                REQUIRE(std::holds_alternative<acquire_coordination>(action));
                ++tries;
                last = now;
                step(state, acquisition_answer{now, false, {}}, view);
            }
        }
        lastTries.insert(last);
    }
    // A try a second would be sixty each.
    CHECK(tries < 50 * 12);
    CHECK(tries >= 50 * 5);
    CHECK(lastTries.size() > 15);
}

TEST_CASE("An engine that goes back to a lower fencing number is counted")
{
    instance_tracker tracker;
    listed_instance listed;
    listed.id = instance_id("i1");
    takeList(tracker, {listed});
    engine_state state;
    state.instance = listed.id;
    state.confirmed = generation(7);
    takeObservation(tracker, {listed.id, state}, instant(duration(1)));
    state.confirmed = generation(5);
    takeObservation(tracker, {listed.id, state}, instant(duration(2)));
    CHECK(tracker.staleOrdersObeyed == 1);
    // A restarted engine has forgotten its number, and proves nothing.
    state.run = incarnation(2);
    state.confirmed = generation(0);
    takeObservation(tracker, {listed.id, state}, instant(duration(3)));
    CHECK(tracker.staleOrdersObeyed == 1);
}

TEST_CASE("Replicas are split by room, as the naive rounding would, and never above it", "[fuzz]")
{
    const auto property = [] {
        const auto replicas = *rc::gen::inRange(0, 60);
        const auto rooms = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30)));
        std::vector<data_centre_offer> offers;
        int total = 0;
        for (std::size_t i = 0; i < rooms.size(); ++i) {
            offers.push_back({data_centre_id(fmt::format("dc{:02}", i)), rooms[i]});
            total += rooms[i];
        }
        const auto shares = shareReplicas(replicas, offers);
        std::reverse(offers.begin(), offers.end());
        const auto other = shareReplicas(replicas, offers);
        int given = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            given += shares[i].replicas;
            RC_ASSERT(shares[i].replicas <= rooms[i]);
            RC_ASSERT(shares[i].replicas == other[i].replicas);
            // The naive version: the exact share, rounded either way.
            const auto exact = total == 0 ? 0.0 : static_cast<double>(std::min(replicas, total)) * rooms[i] / total;
            RC_ASSERT(std::abs(shares[i].replicas - exact) < 1);
        }
        RC_ASSERT(given == std::min(replicas, total));
    };
    checkProperty("shares", 200, property);
}
