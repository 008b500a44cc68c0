// SPDX-License-Identifier: Apache-2.0
#include "Tests/Assembly/assemblyFuzz.h"

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id big("big");
const model_id small("small");
constexpr int kindCount = 11;

} // namespace

TEST_CASE("The target numbers of groups follow the models' shares")
{
    const assembly_simulation simulation(6, 8, 1);
    const auto configured = demandShares({}, simulation.engine());
    const auto targets = groupTargets(simulation.engine(), configured, 48, 0);
    CHECK(targets.at(big) == 8);
    CHECK(targets.at(small) == 8);
    const auto withSpares = groupTargets(simulation.engine(), configured, 48, 0.25);
    CHECK(withSpares.at(big) == 6);
    CHECK(withSpares.at(small) == 6);
    CHECK(groupTargets(simulation.engine(), configured, 0, 0).at(big) == 0);
}

TEST_CASE("All groups serve within eight seconds before the first request")
{
    assembly_simulation simulation(6, 8, 1);
    simulation.advance(std::chrono::seconds(8));
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
    CHECK(simulation.servingGroups(small) == 8);
}

TEST_CASE("Before the first request all hosts load the other model at once")
{
    assembly_simulation simulation(6, 8, 1);
    simulation.advance(std::chrono::seconds(8));
    CHECK(simulation.violation().empty());
    // One load for each replica's own group, and one of the other model's weights.
    CHECK(simulation.loadsBegun() == 2 * 6 * 8);
}

// With hundreds of daemons the coordinator plans two loads for each of 3,000 replicas while loads are free, more than it can send before
// the first request. If queued orders are sent after it nevertheless, the weight store gets several hundred loads per second.
TEST_CASE("Loads that were planned before the first request do not begin beyond the weight store's rate after it")
{
    const auto startOfTraffic = GENERATE(1000, 2000, 4000, 6000);
    const auto heardAfter = GENERATE(0, 250);
    CAPTURE(startOfTraffic, heardAfter);
    assembly_simulation simulation(40, 8, 1);
    simulation.limitSendRate(3);
    simulation.advance(duration(startOfTraffic));
    const auto loads = simulation.loadsBegun();
    simulation.beginTrafficOnOtherDaemon(duration(heardAfter));
    simulation.advance(std::chrono::seconds(1));
    CHECK(simulation.violation().empty());
    // Some loads had not begun yet, since their orders were queued.
    CHECK(loads < 2 * 40 * 8);
    simulation.advance(std::chrono::seconds(60));
    CHECK(simulation.violation().empty());
}

TEST_CASE("Until the coordinator learns of the first request its loads keep within the weight store's rate")
{
    const auto startOfTraffic = GENERATE(700, 1200, 1700, 2200, 2700);
    CAPTURE(startOfTraffic);
    assembly_simulation simulation(20, 8, 1);
    simulation.advance(duration(startOfTraffic));
    simulation.beginTrafficOnOtherDaemon(duration(250));
    simulation.advance(std::chrono::seconds(60));
    CHECK(simulation.violation().empty());
}

// If some two thousand of 3,000 hosts are prepared in the seconds before the first request, the changes of their entries take more than
// five seconds to reach all daemons. Changes of leaving replicas queue behind them, so requests reach replicas that have reported that they
// are leaving.
TEST_CASE("Before the first request hosts are prepared no faster than all daemons can process the changes")
{
    constexpr int hosts = 60 * 8;
    constexpr duration reportDelay(300);
    assembly_simulation simulation(60, 8, 1);
    simulation.setLoadRate(1000);
    simulation.advance(duration(1500));
    // The groups' own loads come first, within the store's rate.
    REQUIRE(simulation.loadsBegun() >= hosts);
    for (int step = 0; step < 20; ++step) {
        const auto before = simulation.loadsBegun();
        simulation.advance(reportDelay);
        CHECK(simulation.loadsBegun() - before <= 2 * 48);
    }
    CHECK(simulation.loadsBegun() == 2 * hosts);
    CHECK(simulation.violation().empty());
}

// Without losses preparatory loads have a cost but no benefit. With 3,000 replicas whose hosts were unprepared at the first request, 181 of
// them were begun on a day without any loss.
TEST_CASE("After the first request the number of prepared hosts depends on the losses")
{
    assembly_simulation simulation(20, 8, 1);
    simulation.limitSendRate(3);
    while (simulation.servingGroups(small) < simulation.wantedGroups(small)) {
        simulation.advance(duration(100));
    }
    simulation.beginTraffic();
    const auto atFirstRequest = simulation.loadsBegun();
    REQUIRE(atFirstRequest < 2 * 20 * 8 - 60);
    simulation.advance(std::chrono::seconds(100));
    const auto before = simulation.loadsBegun();
    CHECK(before - atFirstRequest <= 6);
    for (int i = 0; i < 6; ++i) {
        simulation.lose(simulation.membersOfAnyGroup(big).back());
        simulation.advance(std::chrono::seconds(5));
    }
    simulation.advance(std::chrono::seconds(60));
    CHECK(simulation.loadsBegun() - before > 12);
    CHECK(simulation.violation().empty());
}

TEST_CASE("A group that lost a member is complete again within the time of a staged load")
{
    auto simulation = assembledSimulation();
    const auto members = simulation.membersBesideSmallGroup();
    REQUIRE(members.size() == 4);
    const auto loads = simulation.loadsBegun();
    simulation.lose(members.back());
    simulation.advance(duration(4500));
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
    // A smaller group was preempted, whose members held the larger model's weights.
    CHECK(simulation.servingGroups(small) >= 7);
    CHECK(simulation.loadsBegun() - loads <= 2);
}

TEST_CASE("Survivors of a model that lacks more groups are reserved for it for a while")
{
    auto simulation = assembledSimulation();
    const auto bigGroups = simulation.openGroups(big);
    REQUIRE(bigGroups.size() == 8);
    std::vector<instance_id> survivors;
    for (std::size_t i = 0; i < 3; ++i) {
        simulation.lose(bigGroups[i].back());
        survivors.insert(survivors.end(), bigGroups[i].begin(), bigGroups[i].end() - 1);
    }
    for (int i = 0; i < 4; ++i) {
        simulation.advance(duration(250));
        for (const auto &survivor : survivors) {
            CHECK(simulation.groupSizeOf(survivor) != 2);
        }
    }
    CHECK(simulation.violation().empty());
    simulation.advance(std::chrono::seconds(30));
    CHECK(simulation.servingGroups(big) >= 6);
}

TEST_CASE("A member that is about to leave is replaced without aborting the requests of its group")
{
    auto simulation = assembledSimulation();
    const auto members = simulation.membersOfAnyGroup(small);
    simulation.apply({2, std::stoi(members.back().value().substr(1)) - 1, 6000});
    simulation.advance(duration(6000));
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
}

TEST_CASE("A successor adopts the serving groups unchanged")
{
    auto simulation = assembledSimulation();
    const auto before = simulation.membersOfAnyGroup(big);
    const auto loads = simulation.loadsBegun();
    simulation.takeOver();
    simulation.advance(std::chrono::seconds(10));
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) == 8);
    CHECK(simulation.servingGroups(small) == 8);
    CHECK(simulation.membersOfAnyGroup(big) == before);
    CHECK(simulation.loadsBegun() == loads);
}

TEST_CASE("A free replica does not load one model after the other")
{
    const instant now(duration(1000000));
    replica_directory directory;
    served_replica replica;
    replica.id = instance_id("lone");
    replica.service = service_id("large");
    replica.domain = fabric_domain_id("rack");
    directory.replicas[replica.id] = replica;
    const assembly_simulation simulation(1, 1, 1);
    const std::set<instance_id> noSuspects;
    assembly_state state;
    state.term = 1;
    int loads = 0;
    for (int i = 0; i < 40; ++i) {
        for (const auto &order :
             planAssembly(state, {directory, service_id("large"), simulation.engine(), noSuspects, false, now + duration(1000) * i})) {
            REQUIRE(order.kind == order_kind::stage);
            recordOrderResult(state, order, {order_result::accepted, 0}, now + duration(1000) * i);
            directory.replicas.at(replica.id).staged = {order.model};
            ++loads;
        }
    }
    CHECK(loads == 1);
}

namespace {

/// Two domains of six replicas, each with two groups of the smaller model and two free replicas that are ready for the larger one.
replica_directory smallGroupsAndReadySpares()
{
    replica_directory directory;
    for (int i = 0; i < 12; ++i) {
        served_replica replica;
        replica.id = instance_id("r" + std::to_string(100 + i));
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack" + std::to_string(i / 6));
        const int index = i % 6;
        if (index < 4) {
            const std::uint64_t number = i / 6 * 2 + index / 2 + 1;
            replica.model = small;
            replica.membership = {group_id("g" + std::to_string(number)),
                                  formation(number),
                                  index % 2,
                                  index % 2 == 0 ? member_state::open : member_state::ready};
        } else {
            replica.staged = {big};
        }
        directory.replicas[replica.id] = replica;
    }
    return directory;
}

} // namespace

// Leaving members do not count as losses, and the preparatory loads that are allowed without losses are used up here.
TEST_CASE("A model without groups gets one by loading its weights on members of other groups")
{
    const instant now(duration(1000000));
    auto directory = smallGroupsAndReadySpares();
    const assembly_simulation simulation(1, 1, 1);
    const std::set<instance_id> noSuspects;
    assembly_state state;
    state.term = 1;
    state.preparatoryLoads.assign(state.policy.minPreparations, now);
    std::set<fabric_domain_id> loadedIn;
    int loads = 0;
    bool isPreempted = false;
    for (auto after = duration(); after < std::chrono::seconds(10) && !isPreempted; after += duration(1000)) {
        for (const auto &order :
             planAssembly(state, {directory, service_id("large"), simulation.engine(), noSuspects, false, now + after})) {
            recordOrderResult(state, order, {order_result::accepted, 0}, now + after);
            auto &replica = directory.replicas.at(order.to);
            isPreempted = isPreempted || order.kind == order_kind::close;
            if (order.kind == order_kind::stage) {
                replica.staged = {order.model};
                loadedIn.insert(replica.domain);
                ++loads;
            }
        }
    }
    CHECK(isPreempted);
    CHECK(loads == 2);
    CHECK(loadedIn.size() == 1);
}

TEST_CASE("A domain's replicas beyond whole groups do not count towards the targets")
{
    const instant now(duration(1000000));
    replica_directory directory;
    const assembly_simulation simulation(1, 1, 1);
    const std::set<instance_id> noSuspects;
    for (int i = 0; i < 7 * 6; ++i) {
        served_replica replica;
        replica.id = instance_id("r" + std::to_string(100 + i));
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack" + std::to_string(i / 7));
        directory.replicas[replica.id] = replica;
    }
    assembly_state state;
    state.term = 1;
    planAssembly(state, {directory, service_id("large"), simulation.engine(), noSuspects, false, now});
    // Six of the seven replicas of each domain can be in groups of two and four.
    CHECK(state.usable == 36);
}

TEST_CASE("When a loading replica dies, another load may begin")
{
    const instant now(duration(1000000));
    replica_directory directory;
    for (int i = 0; i < 12; ++i) {
        served_replica replica;
        replica.id = instance_id("r" + std::to_string(10 + i));
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack");
        directory.replicas[replica.id] = replica;
    }
    const assembly_simulation simulation(1, 1, 1);
    std::set<instance_id> silent;
    const std::set<instance_id> noSuspects;
    assembly_state state;
    state.term = 1;
    const auto loadsAt = [&](duration after) {
        std::vector<instance_id> loaded;
        for (const auto &order : planAssembly(state, {directory, service_id("large"), simulation.engine(), silent, false, now + after})) {
            loaded.push_back(order.to);
            recordOrderResult(state, order, {order_result::accepted, 0}, now + after);
        }
        return loaded;
    };
    auto loaded = loadsAt(duration(0));
    while (state.stagings.size() < 6) {
        const auto more = loadsAt(duration(6000));
        REQUIRE_FALSE(more.empty());
        loaded.insert(loaded.end(), more.begin(), more.end());
    }
    CHECK(loadsAt(duration(11500)).empty());
    silent.insert(loaded.front());
    const auto instead = loadsAt(duration(11700));
    REQUIRE(instead.size() == 1);
    CHECK(instead.front() != loaded.front());
}

TEST_CASE("No fault lets a replica serve in two groups or a group serve in part, or leaves a model without groups", "[fuzz]")
{
    checkFaults(rc::gen::inRange(0, kindCount));
}

// The domains hold whole groups of the larger model and a free replica each, so that no group of the smaller one can be formed unless a
// larger one is closed. Found by the test above with RC_PARAMS="seed=1020126527750958758".
TEST_CASE("Groups of the larger model give way when the smaller model has none")
{
    const auto steps = std::vector<assembly_step>{
        {5, 0, 39078},  {0, 8, 22272},   {0, 41, 48816},  {7, 55, 55380}, {8, 46, 27546}, {6, 51, 29012}, {3, 55, 4020},  {3, 34, 24506},
        {6, 28, 48401}, {6, 50, 59279},  {1, 2, 57680},   {0, 55, 45583}, {10, 0, 12514}, {8, 40, 9624},  {4, 34, 46358}, {4, 38, 15120},
        {8, 1, 26016},  {10, 18, 32550}, {10, 18, 19046}, {7, 49, 11731}, {2, 9, 27199},  {8, 5, 7744},   {6, 50, 56546}, {0, 27, 49315},
        {1, 56, 17451}, {3, 15, 5719},   {10, 14, 41903}, {0, 28, 59537}, {1, 57, 11491}, {6, 52, 25252}, {4, 14, 46805}, {5, 34, 849},
        {7, 5, 50047},  {5, 30, 13136},  {9, 53, 34171},  {9, 58, 24812}, {5, 34, 58527}, {0, 49, 48658}, {5, 28, 2815},  {3, 0, 32113}};
    assembly_simulation simulation(3, 8, 15414);
    simulation.heal(std::chrono::seconds(20));
    simulation.beginTraffic();
    for (const auto &step : steps) {
        simulation.apply(step);
    }
    simulation.heal(recoveryTime);
    CHECK(simulation.violation().empty());
    CHECK(simulation.servingGroups(big) > 0);
    CHECK(simulation.servingGroups(small) > 0);
}
