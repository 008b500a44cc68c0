// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/digest.h"
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Groups/group_standing.h"
#include "Tests/Fakes/fake_key_value_store.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// One thing that the fuzzer does to the world.
struct world_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

/// An engine without its sockets.
struct fake_engine
{
    listed_instance listed;
    engine_state state;
    bool isAlive = true;
    bool checksFencing = true;
    std::optional<instant> loadedAt;
    std::uint64_t runs = 1;
};

/// An order on its way to an engine.
struct travelling_order
{
    engine_order order;
    instant arrives;
};

/// One coordinator with what it sees and the answers it waits for.
struct fake_coordinator
{
    coordinator_state state;
    instance_tracker tracker;
    /// When the parts of its view come to it after it was started anew.
    instant configurationKnownFrom;
    instant listKnownFrom;
    instant membersKnownFrom;
    bool isPaused = false;
    bool isCutFromService = false;
    bool isCutFromEngines = false;
    /// Orders that its thread was about to send when it was paused.
    std::vector<send_order> held;
    /// Calls on their way, with when their answers come.
    std::deque<std::pair<instant, coordinator_event>> answers;
};

/// A write that takes effect later although its sender has heard nothing.
struct late_write
{
    instant at;
    key_revision expected;
    std::string value;
};

/// Several coordinators, engines and the key-value service in virtual time, with the faults of the brief. The oracle is
/// violation(): empty as long as nothing that must hold has been broken.
class group_world
{
public:
    group_world(bool checksFencing, std::uint64_t seed);

    void apply(const world_step &step);
    /// Ends all faults and lets time pass.
    void heal(duration time);
    const std::string &violation() const;
    /// How many groups serve by the word of the engines themselves.
    int servingGroups() const;
    int wantedGroups() const;
    /// The whole world in words, for a failure's report.
    std::string describe() const;

private:
    void advance(duration time);
    void restart(fake_coordinator &coordinator, duration longestDelay);
    void tickAll();
    void observe(fake_coordinator &coordinator);
    void run(fake_coordinator &coordinator, const coordinator_event &event);
    void perform(fake_coordinator &coordinator, const coordinator_action &action);
    void sendNow(fake_coordinator &coordinator, const send_order &action);
    void deliverOrders();
    void obey(fake_engine &engine, const engine_order &order);
    void applyLateWrites();
    void check();
    void checkStored();
    void checkNothingHealthyRemoved(const allotment &stored);
    std::set<group_id> healthyGroups() const;
    void checkServing(const fake_coordinator &coordinator);
    void breakRule(const std::string &what);
    bool isServiceReachable(const fake_coordinator &coordinator) const;
    duration randomDelay(duration most);
    std::uint64_t random();

    fake_key_value_store m_store;
    std::vector<fake_engine> m_engines;
    std::vector<fake_coordinator> m_coordinators;
    std::vector<travelling_order> m_orders;
    std::vector<late_write> m_lateWrites;
    std::vector<deployment_want> m_wants;
    std::set<std::string> m_written;
    allotment m_lastStored;
    instant m_now{duration(1000000)};
    instant m_serviceDownUntil;
    /// Since when no operator changed what is wanted, no engine failed and nothing was cut off.
    instant m_quietSince;
    int m_repliesToLose = 0;
    int m_obeyedStale = 0;
    std::uint64_t m_randomState;
    std::string m_violation;
};

} // namespace vetchpost::test
