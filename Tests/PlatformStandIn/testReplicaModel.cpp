// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Tests/StandIns/platform/replica_model.h"
#include "platform/names.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

namespace names = platform_names;

const instant start(duration(100000));
constexpr int done = 200;
constexpr int begun = 202;
constexpr int conflict = 409;
constexpr int outdated = 412;
constexpr int unavailable = 503;

/// Returns four replicas with engines, and models with groups of two and three replicas.
replica_simulation fourReplicas()
{
    replica_simulation simulation;
    simulation.sizes = {{"pair", 2}, {"triple", 3}};
    for (const auto *id : {"a", "b", "c", "d"}) {
        stand_in_replica replica;
        replica.id = id;
        replica.slots = 2;
        replica.hasEngine = true;
        simulation.replicas.push_back(replica);
    }
    return simulation;
}

Json::Value order(const char *operation, const std::string &group, std::uint64_t epoch)
{
    Json::Value json;
    json[names::operation] = operation;
    json[names::group] = group;
    json[names::epoch] = Json::UInt64(epoch);
    return json;
}

Json::Value joinOrder(const std::string &group, std::uint64_t epoch, const std::vector<std::string> &members)
{
    auto json = order(names::joinOperation, group, epoch);
    json[names::model] = members.size() == 2 ? "pair" : "triple";
    for (const auto &member : members) {
        json[names::members].append(member);
    }
    return json;
}

int giveOrder(replica_simulation &simulation, const std::string &replica, const Json::Value &json, instant now)
{
    return executeOrder(simulation, *findReplica(simulation, replica), json, now);
}

member_state stateOf(replica_simulation &simulation, const std::string &replica)
{
    return findReplica(simulation, replica)->membership->state;
}

/// Returns the four replicas with a and b as a serving group, a second after the start.
replica_simulation openPairGroup()
{
    auto simulation = fourReplicas();
    giveOrder(simulation, "a", joinOrder("g", 1, {"a", "b"}), start);
    giveOrder(simulation, "b", joinOrder("g", 1, {"a", "b"}), start);
    giveOrder(simulation, "a", order(names::openOperation, "g", 1), start + duration(500));
    advance(simulation, start + duration(1000));
    return simulation;
}

const instant present = start + duration(1000);

const Json::Value *findEvent(const replica_simulation &simulation, const std::string &what)
{
    const auto found
        = std::find_if(simulation.events.rbegin(), simulation.events.rend(), [&](const auto &event) { return event.what == what; });
    return found == simulation.events.rend() ? nullptr : &found->fields;
}

} // namespace

TEST_CASE("A member is ready after its load, which is shorter if the host holds the model")
{
    auto simulation = fourReplicas();
    CHECK(giveOrder(simulation, "a", joinOrder("g", 1, {"a", "b"}), start) == begun);
    CHECK(giveOrder(simulation, "a", order(names::openOperation, "g", 1), start + duration(299)) == conflict);
    advance(simulation, start + duration(300));
    CHECK(stateOf(simulation, "a") == member_state::ready);
    CHECK(findReplica(simulation, "a")->staged == "pair");
    findReplica(simulation, "c")->staged = "pair";
    giveOrder(simulation, "c", joinOrder("h", 2, {"c", "d"}), start);
    advance(simulation, start + duration(100));
    CHECK(stateOf(simulation, "c") == member_state::ready);
}

TEST_CASE("A join with an old epoch, different members or an unexpected count of orders is refused")
{
    auto simulation = fourReplicas();
    auto counted = joinOrder("g", 5, {"a", "b"});
    counted[names::expected] = 1;
    CHECK(giveOrder(simulation, "a", counted, start) == conflict);
    counted[names::expected] = 0;
    CHECK(giveOrder(simulation, "a", counted, start) == begun);
    CHECK(giveOrder(simulation, "a", counted, start) == conflict);
    CHECK(giveOrder(simulation, "a", joinOrder("g", 5, {"a", "b"}), start) == done);
    CHECK(giveOrder(simulation, "a", joinOrder("g", 5, {"a", "c"}), start) == outdated);
    CHECK(giveOrder(simulation, "a", joinOrder("h", 4, {"a", "b"}), start) == outdated);
    CHECK(findReplica(simulation, "a")->orders == 1);
}

TEST_CASE("Only a head that is ready opens, and it serves after the forming time")
{
    auto simulation = openPairGroup();
    CHECK(stateOf(simulation, "a") == member_state::open);
    CHECK((*findEvent(simulation, "opened"))["partial"] == false);
    CHECK(giveOrder(simulation, "b", order(names::openOperation, "g", 1), present) == conflict);
    CHECK(giveOrder(simulation, "a", order(names::openOperation, "other", 1), present) == conflict);
    CHECK(admissionStatus(*findReplica(simulation, "a"), "pair") == done);
    CHECK(admissionStatus(*findReplica(simulation, "a"), "triple") == names::misdirected);
    CHECK(admissionStatus(*findReplica(simulation, "b"), "pair") == names::misdirected);
    CHECK(admissionStatus(*findReplica(simulation, "c"), "pair") == names::misdirected);
}

TEST_CASE("A group that opens while a member has never been ready is partial")
{
    auto simulation = fourReplicas();
    giveOrder(simulation, "a", joinOrder("g", 1, {"a", "b"}), start);
    giveOrder(simulation, "a", order(names::openOperation, "g", 1), start + duration(400));
    advance(simulation, present);
    CHECK((*findEvent(simulation, "opened"))["partial"] == true);
}

TEST_CASE("Closing lets the head finish its requests, or cuts them off")
{
    auto simulation = openPairGroup();
    auto &head = *findReplica(simulation, "a");
    const auto serving = head.serving;
    head.active = 1;
    auto close = order(names::closeOperation, "g", 1);
    close[names::method] = names::finishMethod;
    CHECK(giveOrder(simulation, "a", close, present) == begun);
    CHECK(stateOf(simulation, "a") == member_state::closing);
    CHECK(admissionStatus(head, "pair") == unavailable);
    CHECK(requestState(head, serving) == request_state::progressing);
    close[names::method] = names::cutMethod;
    CHECK(giveOrder(simulation, "a", close, present) == begun);
    CHECK(stateOf(simulation, "a") == member_state::ready);
    CHECK(requestState(head, serving) == request_state::cut);
}

TEST_CASE("A group that loses a member stalls, then breaks")
{
    auto simulation = openPairGroup();
    auto &head = *findReplica(simulation, "a");
    const auto serving = head.serving;
    SECTION("when the member terminates")
    {
        endIncarnation(simulation, *findReplica(simulation, "b"));
    }
    SECTION("when the member is cut off")
    {
        findReplica(simulation, "b")->isCutOff = true;
    }
    SECTION("when the member leaves")
    {
        giveOrder(simulation, "b", order(names::leaveOperation, "g", 1), present);
    }
    advance(simulation, present);
    CHECK(requestState(head, serving) == request_state::stalled);
    CHECK(admissionStatus(head, "pair") == done);
    advance(simulation, present + duration(1499));
    CHECK(stateOf(simulation, "a") == member_state::open);
    advance(simulation, present + duration(1500));
    CHECK(stateOf(simulation, "a") == member_state::broken);
    CHECK(requestState(head, serving) == request_state::broken);
    CHECK(admissionStatus(head, "pair") == unavailable);
    CHECK(findEvent(simulation, "broken") != nullptr);
}

TEST_CASE("A group goes on once its lost member is reachable again")
{
    auto simulation = openPairGroup();
    findReplica(simulation, "b")->isCutOff = true;
    advance(simulation, present);
    findReplica(simulation, "b")->isCutOff = false;
    advance(simulation, present + duration(1000));
    CHECK(requestState(*findReplica(simulation, "a"), findReplica(simulation, "a")->serving) == request_state::progressing);
}

TEST_CASE("The event of a join records whether the old group is in use")
{
    auto simulation = openPairGroup();
    bool isInUse = true;
    SECTION("while its head is open")
    {
    }
    SECTION("while its head is closing")
    {
        findReplica(simulation, "a")->active = 1;
        giveOrder(simulation, "a", order(names::closeOperation, "g", 1), present);
    }
    SECTION("while it is stalled")
    {
        findReplica(simulation, "a")->isCutOff = true;
        advance(simulation, present);
    }
    SECTION("not once it is closed")
    {
        giveOrder(simulation, "a", order(names::closeOperation, "g", 1), present);
        isInUse = false;
    }
    SECTION("not once it is broken")
    {
        findReplica(simulation, "a")->isCutOff = true;
        advance(simulation, present);
        advance(simulation, present + duration(1500));
        isInUse = false;
    }
    SECTION("not once its head has terminated")
    {
        endIncarnation(simulation, *findReplica(simulation, "a"));
        isInUse = false;
    }
    CHECK(giveOrder(simulation, "b", joinOrder("h", 2, {"b", "c"}), present) == begun);
    CHECK((*findEvent(simulation, "joined"))["while_open"] == isInUse);
}

TEST_CASE("A replica's entry contains its membership")
{
    auto simulation = openPairGroup();
    const auto group = entryOf(*findReplica(simulation, "b"))[names::group];
    CHECK(group[names::name] == "g");
    CHECK(jsonNumber(group, names::epoch) == 1);
    CHECK(group[names::rank] == 1);
    CHECK(group[names::state] == names::ready);
    giveOrder(simulation, "b", order(names::leaveOperation, "g", 1), present);
    CHECK_FALSE(entryOf(*findReplica(simulation, "b")).isMember(names::group));
    CHECK(jsonNumber(reportOf(*findReplica(simulation, "b")), names::sequence) == 2);
}

TEST_CASE("Weights that are staged on a host are available after the load")
{
    auto simulation = fourReplicas();
    Json::Value json;
    json[names::operation] = names::stageOperation;
    json[names::model] = "pair";
    CHECK(giveOrder(simulation, "a", json, start) == begun);
    CHECK(giveOrder(simulation, "a", json, start) == done);
    CHECK(findReplica(simulation, "a")->staged.empty());
    advance(simulation, start + duration(300));
    CHECK(findReplica(simulation, "a")->staged == "pair");
    CHECK(giveOrder(simulation, "a", json, start + duration(300)) == done);
}

// Guards against a stand-in that bears any number of requests while it is cold, or remains cold.
TEST_CASE("A cold replica fails at the request above its bound within a second")
{
    replica_simulation simulation;
    simulation.coldBound = 2;
    simulation.replicas.resize(1);
    auto &replica = simulation.replicas.front();
    replica.isAlive = true;
    const instant start(duration(100000));
    makeCold(simulation, replica, duration(3000), start);
    advance(simulation, start + duration(1));
    CHECK(entryOf(replica)["ColdLeftMs"].asInt() == 3000);
    CHECK(bearsArrival(simulation, replica, start));
    CHECK(bearsArrival(simulation, replica, start + duration(999)));
    CHECK(bearsArrival(simulation, replica, start + duration(1000)));
    CHECK_FALSE(bearsArrival(simulation, replica, start + duration(1001)));
    CHECK(bearsArrival(simulation, replica, start + duration(3000)));
    advance(simulation, start + duration(3000));
    CHECK(entryOf(replica)["ColdLeftMs"].asInt() == 0);
}
