// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/digest.h"
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Groups/group_state.h"
#include "Tests/Fakes/fake_key_value_store.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// One fault or change that the fuzz test applies to the simulation.
struct simulation_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

/// An engine that is called directly instead of over a socket.
struct fake_engine
{
    listed_instance listed;
    engine_state state;
    bool isAlive = true;
    bool checksFencing = true;
    std::optional<instant> loadedAt;
    std::uint64_t runs = 1;
};

/// An order in transit to an engine.
struct order_in_transit
{
    engine_order order;
    instant arrives;
};

/// One coordinator with its view and the pending answers to its calls.
struct fake_coordinator
{
    coordinator_state state;
    instance_tracker tracker;
    /// When each part of its view becomes available after a restart.
    instant configurationKnownFrom;
    instant listKnownFrom;
    instant membersKnownFrom;
    bool isPaused = false;
    bool isCutFromService = false;
    bool isCutFromEngines = false;
    /// Orders that a thread of its sends at the next tick, or after a pause if it is paused before then.
    std::vector<send_order> delayedOrders;
    /// Answers to its calls, with the time at which they arrive.
    std::deque<std::pair<instant, coordinator_event>> answers;
};

/// A write whose reply is lost and that takes effect later.
struct late_write
{
    instant at;
    key_revision expected;
    std::string value;
};

/// Simulates several coordinators, engines and the key-value service in virtual time, with faults. violation() stays empty as long as
/// every invariant holds.
class group_simulation
{
public:
    group_simulation(bool checksFencing, std::uint64_t seed);

    void apply(const simulation_step &step);
    /// Ends all faults and lets time pass until all wanted groups serve, at most for \a time.
    void heal(duration time);
    /// Returns the first violated invariant; empty if there is none.
    const std::string &violation() const;
    /// Returns how many stored groups serve according to the engines themselves, not to what coordinators observed.
    int servingGroups() const;
    int wantedGroups() const;
    /// Returns the state of the simulation as text for the report of a failure.
    std::string describe() const;

private:
    void advance(duration time);
    void restart(fake_coordinator &coordinator, duration longestDelay);
    void tickCoordinators();
    void observe(fake_coordinator &coordinator);
    void run(fake_coordinator &coordinator, const coordinator_event &event);
    void perform(fake_coordinator &coordinator, const coordinator_action &action);
    void sendOrderNow(fake_coordinator &coordinator, const send_order &action);
    void deliverOrders();
    void obey(fake_engine &engine, const engine_order &order);
    void applyLateWrites();
    void check();
    void checkStoredAllotment();
    void checkNoHealthyGroupRemoved(const allotment &stored);
    std::set<group_id> healthyGroups() const;
    void checkServing(const fake_coordinator &coordinator);
    void reportViolation(const std::string &what);
    bool isServiceReachable(const fake_coordinator &coordinator) const;
    duration randomDelay(duration most);
    std::uint64_t random();

    fake_key_value_store m_store;
    std::vector<fake_engine> m_engines;
    std::vector<fake_coordinator> m_coordinators;
    std::vector<order_in_transit> m_orders;
    std::vector<late_write> m_lateWrites;
    std::vector<deployment_want> m_wants;
    std::set<std::string> m_writtenPlacements;
    allotment m_lastStored;
    instant m_now{duration(1000000)};
    instant m_serviceDownUntil;
    /// Since when no operator has changed what is wanted, no engine has failed and no connection was cut.
    instant m_undisturbedSince;
    int m_repliesToLose = 0;
    int m_staleOrdersObeyed = 0;
    std::uint64_t m_randomState;
    std::string m_violation;
};

} // namespace vetchpost::test
