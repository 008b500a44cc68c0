// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Groups/group_state.h"
#include "Tests/Fakes/fake_key_value_store.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

enum class view_part { configuration, share, list, members };

const data_centre_id dataCentre("ikeja");
constexpr int replicas = 4;
constexpr int groupSize = 2;
constexpr duration tick(200);

deployment filingDeployment()
{
    deployment wanted;
    wanted.id = deployment_id("filing");
    wanted.model = "large";
    wanted.version = "1";
    wanted.instancesPerReplica = groupSize;
    wanted.priority = 5;
    wanted.minServingPercent = 75;
    wanted.loadTime = std::chrono::seconds(60);
    wanted.restartTime = std::chrono::seconds(240);
    return wanted;
}

/// Four healthy groups formed by a previous coordinator, and a successor whose view becomes available part by part.
class takeover_simulation
{
public:
    takeover_simulation()
    {
        m_allotted.current = epoch(1);
        m_allotted.coordinator = daemon_id("before");
        m_allotted.lastGeneration = generation(replicas);
        for (int i = 0; i < replicas; ++i) {
            allotted_group group;
            group.id = group_id(fmt::format("filing-{}", i));
            group.deployment = deployment_id("filing");
            group.choice = {"large", {}, "1"};
            group.current = generation(static_cast<std::uint64_t>(i + 1));
            group.enginesCheckFencing = true;
            for (int rank = 0; rank < groupSize; ++rank) {
                addMember(group, i * groupSize + rank, rank);
            }
            m_allotted.groups.push_back(std::move(group));
        }
        m_store.swap(allotmentKey(dataCentre), {}, toText(m_allotted));
        coordinator_settings settings;
        settings.self = daemon_id("successor");
        settings.dataCentre = dataCentre;
        m_state = makeCoordinator(settings);
    }

    void provide(view_part part)
    {
        switch (part) {
        case view_part::configuration:
            m_wants = {{filingDeployment(), m_isShareKnown ? std::optional(replicas) : std::nullopt}};
            break;
        case view_part::share:
            m_isShareKnown = true;
            if (m_wants) {
                m_wants->front().replicas = replicas;
            }
            break;
        case view_part::list:
            applyInstanceList(m_tracker, m_listed);
            break;
        case view_part::members:
            m_areMembersObserved = true;
            break;
        }
    }

    void run(duration time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += tick) {
            for (const auto &state : m_states) {
                if (m_areMembersObserved) {
                    applyObservation(m_tracker, {state.instance, state}, m_now);
                }
            }
            handle(coordinator_tick{});
        }
    }

    std::size_t healthyGroups() const
    {
        const auto stored = allotmentFrom(m_store.get(allotmentKey(dataCentre)).value);
        return static_cast<std::size_t>(std::count_if(m_allotted.groups.begin(), m_allotted.groups.end(), [&](const allotted_group &group) {
            return std::find(stored->groups.begin(), stored->groups.end(), group) != stored->groups.end();
        }));
    }

    bool hasTakenOver() const
    {
        return isActive(m_state, m_now);
    }

    const std::vector<planning_decision> &decisions() const
    {
        return m_state.lastDecisions;
    }

private:
    void addMember(allotted_group &group, int number, int rank)
    {
        listed_instance listed;
        listed.id = instance_id(fmt::format("e{}", number));
        listed.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        listed.dataCentre = dataCentre;
        listed.fabricDomain = fabric_domain_id("rack");
        m_listed.push_back(listed);
        group.members.push_back({listed.id, listed.address, listed.fabricDomain});
        engine_state state;
        state.instance = listed.id;
        state.run = incarnation(1);
        state.group = group.id;
        state.confirmed = group.current;
        state.rank = rank;
        state.choice = group.choice;
        state.phase = engine_phase::ready;
        m_states.push_back(state);
    }

    void handle(const coordinator_event &event)
    {
        const coordinator_view view{m_tracker, m_wants, {8, 0}, false, m_now, m_now.time_since_epoch().count()};
        for (const auto &action : step(m_state, event, view)) {
            perform(action);
        }
    }

    void perform(const coordinator_action &action)
    {
        if (std::holds_alternative<acquire_coordination>(action)) {
            handle(acquisition_answer{m_now, true, m_store.grant(m_state.settings.leaseTime, m_now)});
        } else if (const auto *renewal = std::get_if<renew_coordination>(&action)) {
            handle(renewal_answer{m_now, m_store.renew(renewal->lease, m_now)});
        } else if (std::holds_alternative<read_allotment>(action)) {
            handle(allotment_answer{true, m_store.get(allotmentKey(dataCentre))});
        } else if (const auto *writing = std::get_if<write_allotment>(&action)) {
            handle(write_answer{m_store.swap(allotmentKey(dataCentre), writing->expected, writing->text)});
        }
    }

    fake_key_value_store m_store;
    allotment m_allotted;
    std::vector<listed_instance> m_listed;
    std::vector<engine_state> m_states;
    coordinator_state m_state;
    instance_tracker m_tracker;
    std::optional<std::vector<deployment_want>> m_wants;
    bool m_isShareKnown = false;
    bool m_areMembersObserved = false;
    instant m_now{duration(1000000)};
};

/// A coordinator that knows no instances and no configuration, before a key-value service of one era.
struct lone_coordinator
{
    explicit lone_coordinator(store_era era)
        : state(makeCoordinator(settings()))
        , view{tracker, wants, {}, false, instant(duration(100000)), 0, era}
    {
    }

    static coordinator_settings settings()
    {
        coordinator_settings result;
        result.self = daemon_id("d1");
        result.dataCentre = dataCentre;
        return result;
    }

    const instance_tracker tracker;
    const std::optional<std::vector<deployment_want>> wants;
    coordinator_state state;
    coordinator_view view;
};

} // namespace

TEST_CASE("A new coordinator leaves healthy groups alone whatever the order in which the parts of its view become available")
{
    std::array order = {view_part::configuration, view_part::share, view_part::list, view_part::members};
    do {
        takeover_simulation simulation;
        for (const auto part : order) {
            simulation.run(std::chrono::seconds(1));
            simulation.provide(part);
        }
        simulation.run(std::chrono::seconds(30));
        CHECK(simulation.hasTakenOver());
        CHECK(simulation.healthyGroups() == replicas);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("A new coordinator that never gets one part of its view takes no group down")
{
    for (const auto missing : {view_part::configuration, view_part::share, view_part::list}) {
        takeover_simulation simulation;
        for (const auto part : {view_part::configuration, view_part::share, view_part::list, view_part::members}) {
            if (part != missing) {
                simulation.provide(part);
            }
        }
        simulation.run(std::chrono::minutes(2));
        CHECK(simulation.hasTakenOver());
        CHECK(simulation.healthyGroups() == replicas);
    }
}

TEST_CASE("Members without an observation are waited for, and their groups are repaired after that")
{
    takeover_simulation simulation;
    for (const auto part : {view_part::configuration, view_part::share, view_part::list}) {
        simulation.provide(part);
    }
    simulation.run(std::chrono::seconds(4));
    CHECK(simulation.healthyGroups() == replicas);
    REQUIRE(simulation.decisions().size() == 1);
    CHECK(simulation.decisions().front().action == plan_action::wait);
    simulation.run(std::chrono::seconds(3));
    // The waiting time is over: planning proceeds with the groups as broken ones and removes none.
    CHECK((simulation.decisions().empty() || simulation.decisions().front().group != group_id()));
}

TEST_CASE("A coordinator takes over an allotment that the key-value service has lost, and gives no epoch out again")
{
    const bool wasCoordinator = GENERATE(true, false);
    CAPTURE(wasCoordinator);
    allotment lost;
    lost.current = epoch(8);
    lost.lastGeneration = generation(40);
    lost.withheld.push_back({instance_id("i-1"), epoch(8)});
    allotment stored;
    stored.current = epoch(5);
    stored.lastGeneration = generation(30);
    lone_coordinator coordinator(store_era(2));
    auto &state = coordinator.state;
    const auto &view = coordinator.view;
    state.accepted = wasCoordinator ? lost : allotment();
    REQUIRE(step(state, coordinator_tick(), view).size() == 1);
    step(state, acquisition_answer{view.now, true, lease_number(1, store_era(2))}, view);
    step(state, coordinator_tick(), view);
    const auto actions
        = step(state,
               allotment_answer{true, {"allotment", toText(stored), key_revision(9, store_era(2))}, wasCoordinator ? allotment() : lost},
               view);
    REQUIRE(actions.size() == 1);
    const auto &write = std::get<write_allotment>(actions[0]);
    const auto written = allotmentFrom(write.text);
    REQUIRE(written);
    CHECK(written->current == epoch(9));
    CHECK(written->lastGeneration > generation(40));
    CHECK(written->withheld == lost.withheld);
    CHECK(write.expected == key_revision(9, store_era(2)));
}

TEST_CASE("A coordinator steps down when the key-value service names a new era, though its lease can be renewed")
{
    lone_coordinator coordinator(store_era(1));
    auto &state = coordinator.state;
    auto &view = coordinator.view;
    step(state, coordinator_tick(), view);
    step(state, acquisition_answer{view.now, true, lease_number(1, store_era(1))}, view);
    step(state, coordinator_tick(), view);
    step(state, allotment_answer{true, {"allotment", "", key_revision()}}, view);
    step(state, write_answer{{swap_outcome::applied, key_revision(2, store_era(1))}}, view);
    REQUIRE(isActive(state, view.now));
    view.era = store_era(2);
    step(state, coordinator_tick(), view);
    CHECK_FALSE(isActive(state, view.now));
}

TEST_CASE("A lease that was granted before the key-value service named a new era is not counted on")
{
    lone_coordinator coordinator(store_era(1));
    auto &state = coordinator.state;
    auto &view = coordinator.view;
    step(state, coordinator_tick(), view);
    view.era = store_era(2);
    step(state, acquisition_answer{view.now, true, lease_number(1, store_era(1))}, view);
    step(state, coordinator_tick(), view);
    CHECK(state.phase == coordinator_phase::follower);
}
