// SPDX-License-Identifier: Apache-2.0
#include "Tests/Assembly/assemblyWorld.h"
#include "Tests/Fakes/fuzz.h"

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace vetchpost::test {

void showValue(const assembly_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

} // namespace vetchpost::test

namespace {

const model_id big("big");
const model_id small("small");
constexpr int kinds = 11;
constexpr int stepsPerCase = 40;
constexpr int casesInCi = 60;
/// After the last fault each model has a group again within this time, whatever its hosts hold.
constexpr std::chrono::seconds timeToBeWhole(40);

rc::Gen<assembly_step> anyStep()
{
    return rc::gen::build<assembly_step>(rc::gen::set(&assembly_step::kind, rc::gen::inRange(0, kinds)),
                                         rc::gen::set(&assembly_step::subject, rc::gen::inRange(0, 60)),
                                         rc::gen::set(&assembly_step::amount, rc::gen::inRange(0, 60000)));
}

} // namespace

TEST_CASE("Groups are wanted in the proportion of the models' shares")
{
    const assembly_world world(6, 8, 1);
    const auto configured = demandShares({}, world.engine());
    const auto targets = groupTargets(world.engine(), configured, 48, 0);
    CHECK(targets.at(big) == 8);
    CHECK(targets.at(small) == 8);
    const auto withSpares = groupTargets(world.engine(), configured, 48, 0.25);
    CHECK(withSpares.at(big) == 6);
    CHECK(withSpares.at(small) == 6);
    CHECK(groupTargets(world.engine(), configured, 0, 0).at(big) == 0);
}

TEST_CASE("Everything is assembled in the seconds before the first request")
{
    assembly_world world(6, 8, 1);
    world.advance(std::chrono::seconds(8));
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(big) == 8);
    CHECK(world.servingGroups(small) == 8);
}

TEST_CASE("Before the first request all hosts load the other model at once")
{
    assembly_world world(6, 8, 1);
    world.advance(std::chrono::seconds(8));
    CHECK(world.violation().empty());
    // A load for each replica's own group, and one of the other model.
    CHECK(world.loadsBegun() == 2 * 6 * 8);
}

// At hundreds of daemons the coordinator planned two loads for each of 3,000 replicas while they were free, more than it could send before
// the first request came. What waited for its turn was sent nevertheless: the weight store counted several hundred loads a second.
TEST_CASE("Loads that were planned before the first request do not begin beyond the weight store's rate after it")
{
    const auto startOfTraffic = GENERATE(1000, 2000, 4000, 6000);
    const auto heardAfter = GENERATE(0, 250);
    CAPTURE(startOfTraffic, heardAfter);
    assembly_world world(40, 8, 1);
    world.sendSlowly(3);
    world.advance(duration(startOfTraffic));
    const auto loads = world.loadsBegun();
    world.beginTrafficElsewhere(duration(heardAfter));
    world.advance(std::chrono::seconds(1));
    CHECK(world.violation().empty());
    // Not all is prepared yet: orders waited for their turn.
    CHECK(loads < 2 * 40 * 8);
    world.advance(std::chrono::seconds(60));
    CHECK(world.violation().empty());
}

TEST_CASE("Until the coordinator has heard of the first request its loads keep within the weight store's rate")
{
    const auto startOfTraffic = GENERATE(700, 1200, 1700, 2200, 2700);
    CAPTURE(startOfTraffic);
    assembly_world world(20, 8, 1);
    world.advance(duration(startOfTraffic));
    world.beginTrafficElsewhere(duration(250));
    world.advance(std::chrono::seconds(60));
    CHECK(world.violation().empty());
}

// At 3,000 replicas some two thousand hosts were prepared in the seconds before the first request. Their entries' changes were still on the
// way to the daemons five seconds later, and those of leaving replicas behind them: requests reached replicas that had said they leave.
TEST_CASE("Hosts are prepared before the first request no faster than all daemons can take in what changes")
{
    constexpr int hosts = 60 * 8;
    constexpr duration notice(300);
    assembly_world world(60, 8, 1);
    world.setLoadRate(1000);
    world.advance(duration(1500));
    // Each group's own loads come first, at the store's rate.
    REQUIRE(world.loadsBegun() >= hosts);
    for (int step = 0; step < 20; ++step) {
        const auto before = world.loadsBegun();
        world.advance(notice);
        CHECK(world.loadsBegun() - before <= 2 * 48);
    }
    CHECK(world.loadsBegun() == 2 * hosts);
    CHECK(world.violation().empty());
}

// Where nothing is lost, hosts that hold one model only are as good as any, and each load has its price: 181 of them were begun on a day
// on which no replica was lost, at 3,000 replicas whose hosts the first request found unprepared.
TEST_CASE("Without losses few hosts are prepared for them after the first request, with losses as many as these ask for")
{
    assembly_world world(20, 8, 1);
    world.sendSlowly(3);
    while (world.servingGroups(small) < world.wantedGroups(small)) {
        world.advance(duration(100));
    }
    world.beginTraffic();
    const auto atFirstRequest = world.loadsBegun();
    REQUIRE(atFirstRequest < 2 * 20 * 8 - 60);
    world.advance(std::chrono::seconds(100));
    const auto before = world.loadsBegun();
    CHECK(before - atFirstRequest <= 6);
    for (int i = 0; i < 6; ++i) {
        world.lose(world.membersOfSomeGroup(big).back());
        world.advance(std::chrono::seconds(5));
    }
    world.advance(std::chrono::seconds(60));
    CHECK(world.loadsBegun() - before > 12);
    CHECK(world.violation().empty());
}

TEST_CASE("A group that lost a member is whole again within the time of a staged load")
{
    auto world = assembledWorld();
    const auto members = world.membersBesideSmallGroup();
    REQUIRE(members.size() == 4);
    const auto loads = world.loadsBegun();
    world.lose(members.back());
    world.advance(duration(4500));
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(big) == 8);
    // A smaller group gave way, whose members held the larger model's weights.
    CHECK(world.servingGroups(small) >= 7);
    CHECK(world.loadsBegun() - loads <= 2);
}

TEST_CASE("A model that lacks fewer groups leaves the survivors of one that lacks more alone for a while")
{
    auto world = assembledWorld();
    const auto bigGroups = world.openGroups(big);
    REQUIRE(bigGroups.size() == 8);
    std::vector<instance_id> survivors;
    for (std::size_t i = 0; i < 3; ++i) {
        world.lose(bigGroups[i].back());
        survivors.insert(survivors.end(), bigGroups[i].begin(), bigGroups[i].end() - 1);
    }
    for (int i = 0; i < 4; ++i) {
        world.advance(duration(250));
        for (const auto &survivor : survivors) {
            CHECK(world.groupSizeOf(survivor) != 2);
        }
    }
    CHECK(world.violation().empty());
    world.advance(std::chrono::seconds(30));
    CHECK(world.servingGroups(big) >= 6);
}

TEST_CASE("A member that is about to leave is replaced without cutting off what its group holds")
{
    auto world = assembledWorld();
    const auto members = world.membersOfSomeGroup(small);
    world.apply({2, std::stoi(members.back().value().substr(1)) - 1, 6000});
    world.advance(duration(6000));
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(big) == 8);
}

TEST_CASE("A successor takes the groups that serve as they are")
{
    auto world = assembledWorld();
    const auto before = world.membersOfSomeGroup(big);
    const auto loads = world.loadsBegun();
    world.takeOver();
    world.advance(std::chrono::seconds(10));
    CHECK(world.violation().empty());
    CHECK(world.servingGroups(big) == 8);
    CHECK(world.servingGroups(small) == 8);
    CHECK(world.membersOfSomeGroup(big) == before);
    CHECK(world.loadsBegun() == loads);
}

TEST_CASE("A free replica is not loaded with one model after the other")
{
    const instant now(duration(1000000));
    replica_directory directory;
    served_replica replica;
    replica.id = instance_id("lone");
    replica.service = service_id("large");
    replica.domain = fabric_domain_id("rack");
    directory.replicas[replica.id] = replica;
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 1;
    int loads = 0;
    for (int i = 0; i < 40; ++i) {
        for (const auto &order :
             planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + duration(1000) * i})) {
            REQUIRE(order.kind == order_kind::stage);
            noteOrderResult(state, order, {order_result::taken, 0}, now + duration(1000) * i);
            directory.replicas.at(replica.id).staged = {order.model};
            ++loads;
        }
    }
    CHECK(loads == 1);
}

namespace {

/// Four groups of the smaller model on two domains of six, each of which has two free replicas that are ready for the larger one.
replica_directory smallGroupsAndReadySpares()
{
    replica_directory directory;
    for (int i = 0; i < 12; ++i) {
        served_replica replica;
        replica.id = instance_id("r" + std::to_string(100 + i));
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack" + std::to_string(i / 6));
        const int place = i % 6;
        if (place < 4) {
            const std::uint64_t number = i / 6 * 2 + place / 2 + 1;
            replica.model = small;
            replica.membership = {group_id("g" + std::to_string(number)),
                                  formation(number),
                                  place % 2,
                                  place % 2 == 0 ? member_state::open : member_state::ready};
        } else {
            replica.staged = {big};
        }
        directory.replicas[replica.id] = replica;
    }
    return directory;
}

} // namespace

// Departures are no losses, and the loads that are allowed without one are spent.
TEST_CASE("A model without groups is not left without them where the members of others may load its weights")
{
    const instant now(duration(1000000));
    auto directory = smallGroupsAndReadySpares();
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 1;
    state.preparations.assign(state.policy.leastPreparations, now);
    std::set<fabric_domain_id> loadedIn;
    int loads = 0;
    bool givesWay = false;
    for (auto after = duration(); after < std::chrono::seconds(10) && !givesWay; after += duration(1000)) {
        for (const auto &order : planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now + after})) {
            noteOrderResult(state, order, {order_result::taken, 0}, now + after);
            auto &replica = directory.replicas.at(order.to);
            givesWay = givesWay || order.kind == order_kind::close;
            if (order.kind == order_kind::stage) {
                replica.staged = {order.model};
                loadedIn.insert(replica.domain);
                ++loads;
            }
        }
    }
    CHECK(givesWay);
    CHECK(loads == 2);
    CHECK(loadedIn.size() == 1);
}

TEST_CASE("What a domain has over whole groups counts for no group's target")
{
    const instant now(duration(1000000));
    replica_directory directory;
    const assembly_world world(1, 1, 1);
    const std::set<instance_id> nobody;
    for (int i = 0; i < 7 * 6; ++i) {
        served_replica replica;
        replica.id = instance_id("r" + std::to_string(100 + i));
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack" + std::to_string(i / 7));
        directory.replicas[replica.id] = replica;
    }
    assembly_state state;
    state.term = 1;
    planAssembly(state, {directory, service_id("large"), world.engine(), nobody, false, now});
    // Six of the seven replicas of each domain can stand in groups of two and four.
    CHECK(state.usable == 36);
}

TEST_CASE("A load on a replica that died makes room for another one")
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
    const assembly_world world(1, 1, 1);
    std::set<instance_id> silent;
    const std::set<instance_id> nobody;
    assembly_state state;
    state.term = 1;
    const auto loadsAt = [&](duration after) {
        std::vector<instance_id> loaded;
        for (const auto &order : planAssembly(state, {directory, service_id("large"), world.engine(), silent, false, now + after})) {
            loaded.push_back(order.to);
            noteOrderResult(state, order, {order_result::taken, 0}, now + after);
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
    int steps = 0;
    const auto property = [&steps] {
        const auto seed = *rc::gen::arbitrary<std::uint16_t>();
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<assembly_step>>(stepsPerCase, anyStep()));
        assembly_world world(3, 8, seed);
        world.heal(std::chrono::seconds(20));
        world.beginTraffic();
        for (const auto &step : plan) {
            world.apply(step);
            ++steps;
            if (!world.violation().empty()) {
                RC_FAIL(world.violation() + " (step " + std::to_string(steps) + ")");
            }
        }
        world.heal(timeToBeWhole);
        for (const auto &model : world.engine().models) {
            if (world.servingGroups(model.id) == 0 && world.wantedGroups(model.id) > 0) {
                RC_FAIL("no group of " + model.id.value() + ": " + world.summary());
            }
        }
        if (!world.violation().empty()) {
            RC_FAIL(world.violation() + " (step " + std::to_string(steps) + ")");
        }
    };
    checkProperty("assembly", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}
