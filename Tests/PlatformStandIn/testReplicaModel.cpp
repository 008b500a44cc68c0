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

/// Four replicas with engines, and models of two and three replicas.
replica_world fourReplicas()
{
    replica_world world;
    world.sizes = {{"pair", 2}, {"triple", 3}};
    for (const auto *id : {"a", "b", "c", "d"}) {
        stand_in_replica replica;
        replica.id = id;
        replica.slots = 2;
        replica.hasEngine = true;
        world.replicas.push_back(replica);
    }
    return world;
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

int give(replica_world &world, const std::string &replica, const Json::Value &json, instant now)
{
    return takeOrder(world, *findReplica(world, replica), json, now);
}

member_state stateOf(replica_world &world, const std::string &replica)
{
    return findReplica(world, replica)->membership->state;
}

/// The pair of a and b as a group that serves; the present is a second after the start.
replica_world openPair()
{
    auto world = fourReplicas();
    give(world, "a", joinOrder("g", 1, {"a", "b"}), start);
    give(world, "b", joinOrder("g", 1, {"a", "b"}), start);
    give(world, "a", order(names::openOperation, "g", 1), start + duration(500));
    settle(world, start + duration(1000));
    return world;
}

const instant present = start + duration(1000);

const Json::Value *eventOf(const replica_world &world, const std::string &what)
{
    const auto found = std::find_if(world.events.rbegin(), world.events.rend(), [&](const auto &event) { return event.what == what; });
    return found == world.events.rend() ? nullptr : &found->fields;
}

} // namespace

TEST_CASE("A place is ready after its load, and a model that the host holds is loaded sooner")
{
    auto world = fourReplicas();
    CHECK(give(world, "a", joinOrder("g", 1, {"a", "b"}), start) == begun);
    CHECK(give(world, "a", order(names::openOperation, "g", 1), start + duration(299)) == conflict);
    settle(world, start + duration(300));
    CHECK(stateOf(world, "a") == member_state::ready);
    CHECK(findReplica(world, "a")->staged == "pair");
    findReplica(world, "c")->staged = "pair";
    give(world, "c", joinOrder("h", 2, {"c", "d"}), start);
    settle(world, start + duration(100));
    CHECK(stateOf(world, "c") == member_state::ready);
}

TEST_CASE("A join with an old epoch, other members or another count of orders is refused")
{
    auto world = fourReplicas();
    auto counted = joinOrder("g", 5, {"a", "b"});
    counted[names::expected] = 1;
    CHECK(give(world, "a", counted, start) == conflict);
    counted[names::expected] = 0;
    CHECK(give(world, "a", counted, start) == begun);
    CHECK(give(world, "a", counted, start) == conflict);
    CHECK(give(world, "a", joinOrder("g", 5, {"a", "b"}), start) == done);
    CHECK(give(world, "a", joinOrder("g", 5, {"a", "c"}), start) == outdated);
    CHECK(give(world, "a", joinOrder("h", 4, {"a", "b"}), start) == outdated);
    CHECK(findReplica(world, "a")->orders == 1);
}

TEST_CASE("Only a head that is ready opens, and serves after the time of forming")
{
    auto world = openPair();
    CHECK(stateOf(world, "a") == member_state::open);
    CHECK((*eventOf(world, "opened"))["partial"] == false);
    CHECK(give(world, "b", order(names::openOperation, "g", 1), present) == conflict);
    CHECK(give(world, "a", order(names::openOperation, "other", 1), present) == conflict);
    CHECK(admissionStatus(*findReplica(world, "a"), "pair") == done);
    CHECK(admissionStatus(*findReplica(world, "a"), "triple") == names::misdirected);
    CHECK(admissionStatus(*findReplica(world, "b"), "pair") == names::misdirected);
    CHECK(admissionStatus(*findReplica(world, "c"), "pair") == names::misdirected);
}

TEST_CASE("A group that opens without a member that was ready is partial")
{
    auto world = fourReplicas();
    give(world, "a", joinOrder("g", 1, {"a", "b"}), start);
    give(world, "a", order(names::openOperation, "g", 1), start + duration(400));
    settle(world, present);
    CHECK((*eventOf(world, "opened"))["partial"] == true);
}

TEST_CASE("Closing lets the head finish, or cuts what it runs")
{
    auto world = openPair();
    auto &head = *findReplica(world, "a");
    const auto serving = head.serving;
    head.active = 1;
    auto close = order(names::closeOperation, "g", 1);
    close[names::method] = names::finishMethod;
    CHECK(give(world, "a", close, present) == begun);
    CHECK(stateOf(world, "a") == member_state::closing);
    CHECK(admissionStatus(head, "pair") == unavailable);
    CHECK(standingOf(head, serving) == request_standing::moves);
    close[names::method] = names::cutMethod;
    CHECK(give(world, "a", close, present) == begun);
    CHECK(stateOf(world, "a") == member_state::ready);
    CHECK(standingOf(head, serving) == request_standing::cut);
}

TEST_CASE("A group that loses a member stands still, then breaks")
{
    auto world = openPair();
    auto &head = *findReplica(world, "a");
    const auto serving = head.serving;
    SECTION("by its end")
    {
        endIncarnation(world, *findReplica(world, "b"));
    }
    SECTION("by a cut")
    {
        findReplica(world, "b")->isDark = true;
    }
    SECTION("by its leaving")
    {
        give(world, "b", order(names::leaveOperation, "g", 1), present);
    }
    settle(world, present);
    CHECK(standingOf(head, serving) == request_standing::stalls);
    CHECK(admissionStatus(head, "pair") == done);
    settle(world, present + duration(1499));
    CHECK(stateOf(world, "a") == member_state::open);
    settle(world, present + duration(1500));
    CHECK(stateOf(world, "a") == member_state::broken);
    CHECK(standingOf(head, serving) == request_standing::broken);
    CHECK(admissionStatus(head, "pair") == unavailable);
    CHECK(eventOf(world, "broken") != nullptr);
}

TEST_CASE("A member that is heard again lets the group go on")
{
    auto world = openPair();
    findReplica(world, "b")->isDark = true;
    settle(world, present);
    findReplica(world, "b")->isDark = false;
    settle(world, present + duration(1000));
    CHECK(standingOf(*findReplica(world, "a"), findReplica(world, "a")->serving) == request_standing::moves);
}

TEST_CASE("A join of another group is told as one while the old group is in use")
{
    auto world = openPair();
    bool isInUse = true;
    SECTION("while its head is open")
    {
    }
    SECTION("while its head is closing")
    {
        findReplica(world, "a")->active = 1;
        give(world, "a", order(names::closeOperation, "g", 1), present);
    }
    SECTION("while it stands still")
    {
        findReplica(world, "a")->isDark = true;
        settle(world, present);
    }
    SECTION("but not once it is closed")
    {
        give(world, "a", order(names::closeOperation, "g", 1), present);
        isInUse = false;
    }
    SECTION("nor once it is broken")
    {
        findReplica(world, "a")->isDark = true;
        settle(world, present);
        settle(world, present + duration(1500));
        isInUse = false;
    }
    SECTION("nor once its head has gone")
    {
        endIncarnation(world, *findReplica(world, "a"));
        isInUse = false;
    }
    CHECK(give(world, "b", joinOrder("h", 2, {"b", "c"}), present) == begun);
    CHECK((*eventOf(world, "joined"))["while_open"] == isInUse);
}

TEST_CASE("A replica's place is told in its entry")
{
    auto world = openPair();
    const auto group = entryOf(*findReplica(world, "b"))[names::group];
    CHECK(group[names::name] == "g");
    CHECK(jsonNumber(group, names::epoch) == 1);
    CHECK(group[names::rank] == 1);
    CHECK(group[names::state] == names::ready);
    give(world, "b", order(names::leaveOperation, "g", 1), present);
    CHECK_FALSE(entryOf(*findReplica(world, "b")).isMember(names::group));
    CHECK(jsonNumber(reportOf(*findReplica(world, "b")), names::sequence) == 2);
}

TEST_CASE("Weights that are put onto a host are there after the load")
{
    auto world = fourReplicas();
    Json::Value json;
    json[names::operation] = names::stageOperation;
    json[names::model] = "pair";
    CHECK(give(world, "a", json, start) == begun);
    CHECK(give(world, "a", json, start) == done);
    CHECK(findReplica(world, "a")->staged.empty());
    settle(world, start + duration(300));
    CHECK(findReplica(world, "a")->staged == "pair");
    CHECK(give(world, "a", json, start + duration(300)) == done);
}
