// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/replica_model.h"

#include "Libraries/Base/json.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr int done = 200;
constexpr int begun = 202;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int outdated = 412;
constexpr int unavailable = 503;
/// Requests that wait beside those that run.
constexpr int queueLength = 8;

std::string placeName(const stand_in_membership &place, const std::string &replica)
{
    return fmt::format("{}|{}|{}", place.group, place.epoch, replica);
}

Json::Value &note(replica_world &world, const char *what, const stand_in_replica &replica)
{
    Json::Value fields;
    fields["replica"] = replica.id;
    if (replica.membership) {
        fields["group"] = replica.membership->group;
        fields["epoch"] = Json::UInt64(replica.membership->epoch);
    }
    world.events.push_back({what, fields});
    return world.events.back().fields;
}

/// Whether the replica still stands in the formation and the head can reach it.
bool isPresent(const stand_in_replica *member, const stand_in_membership &place)
{
    return member != nullptr && member->isAlive && !member->isDark && member->membership && member->membership->isSameFormation(place);
}

bool lacksMember(replica_world &world, const stand_in_membership &place)
{
    return std::any_of(
        place.members.begin(), place.members.end(), [&](const auto &id) { return !isPresent(findReplica(world, id), place); });
}

bool isHead(const stand_in_replica &replica)
{
    return replica.membership && replica.membership->members.front() == replica.id;
}

void settleStaging(replica_world &world, stand_in_replica &replica, instant now)
{
    if (replica.staging && replica.staging->second <= now) {
        replica.staged = replica.staging->first;
        replica.staging.reset();
        note(world, "staged", replica)["model"] = replica.staged;
    }
}

void settleJoining(replica_world &world, stand_in_replica &replica, instant now)
{
    auto &place = *replica.membership;
    if (place.state == member_state::joining && place.readyAt <= now) {
        place.state = member_state::ready;
        replica.staged = place.model;
        replica.lastModel = place.model;
        world.everReady.insert(placeName(place, replica.id));
    }
}

void settleHead(replica_world &world, stand_in_replica &head, instant now)
{
    auto &place = *head.membership;
    if (place.opensAt && *place.opensAt <= now) {
        place.opensAt.reset();
        place.state = member_state::open;
        ++head.serving;
        note(world, "opened", head)["partial"] = isPartial(world, head);
    }
    if (!place.isServing()) {
        return;
    }
    if (!lacksMember(world, place)) {
        place.stalledSince.reset();
    } else if (!place.stalledSince) {
        place.stalledSince = now;
    } else if (now - *place.stalledSince >= world.timing.stall) {
        place.state = member_state::broken;
        ++head.serving;
        note(world, "broken", head);
        return;
    }
    if (place.state == member_state::closing && head.active + head.waiting == 0) {
        place.state = member_state::ready;
        note(world, "closed", head);
    }
}

/// What a join costs: nothing is loaded where the replica or its host has the model.
duration joinTime(replica_world &world, const stand_in_replica &replica, const std::string &model, instant now)
{
    if (replica.lastModel == model) {
        return world.timing.rejoin;
    }
    const bool isBeingStaged = replica.staging && replica.staging->first == model;
    if (replica.staged == model || isBeingStaged) {
        return world.timing.warm + (isBeingStaged ? replica.staging->second - now : duration(0));
    }
    note(world, "load_began", replica)["model"] = model;
    return world.timing.load;
}

/// Whether the group that the replica stands in is in use: its members may then not be joined elsewhere.
bool isGroupInUse(replica_world &world, const stand_in_membership &place)
{
    const auto *head = findReplica(world, place.members.front());
    return head != nullptr && head->isAlive && head->membership && head->membership->isSameFormation(place)
        && head->membership->isServing();
}

int join(replica_world &world, stand_in_replica &replica, const Json::Value &order, instant now)
{
    stand_in_membership place;
    place.group = jsonString(order, names::group);
    place.epoch = jsonNumber(order, names::epoch);
    place.model = jsonString(order, names::model);
    for (const auto &member : jsonArray(order, names::members)) {
        place.members.push_back(member.asString());
    }
    const bool isNamed = std::find(place.members.begin(), place.members.end(), replica.id) != place.members.end();
    if (place.group.empty() || !isNamed || !world.sizes.contains(place.model)) {
        return badRequest;
    }
    const auto earlier = replica.membership;
    const bool isSame = earlier && earlier->isSameFormation(place);
    if (place.epoch < replica.highestEpoch || (isSame && earlier->members != place.members)) {
        return outdated;
    }
    if (isSame) {
        return done;
    }
    const bool isOtherGroup = earlier && earlier->group != place.group;
    const bool isWhileOpen = isOtherGroup && isGroupInUse(world, *earlier);
    place.readyAt = now + joinTime(world, replica, place.model, now);
    replica.highestEpoch = place.epoch;
    replica.membership = place;
    ++replica.serving;
    auto &fields = note(world, "joined", replica);
    fields["model"] = place.model;
    fields["while_open"] = isWhileOpen;
    if (earlier) {
        fields["earlier_group"] = earlier->group;
    }
    return begun;
}

int open(const replica_world &world, stand_in_replica &replica, instant now)
{
    auto &place = *replica.membership;
    if (place.state == member_state::open || place.opensAt) {
        return done;
    }
    if (!isHead(replica) || place.state != member_state::ready) {
        return conflict;
    }
    place.opensAt = now + world.timing.form;
    return begun;
}

int close(replica_world &world, stand_in_replica &replica, const std::string &method)
{
    auto &place = *replica.membership;
    if (!isHead(replica) || place.state == member_state::joining) {
        return conflict;
    }
    const bool hasBegun = place.isServing() || place.state == member_state::broken || place.opensAt;
    if (!hasBegun) {
        return done;
    }
    place.opensAt.reset();
    const bool mayFinish = place.isServing() && method != names::cutMethod && replica.active + replica.waiting > 0;
    if (mayFinish && place.state == member_state::closing) {
        return done;
    }
    place.state = mayFinish ? member_state::closing : member_state::ready;
    if (!mayFinish) {
        ++replica.serving;
        note(world, "closed", replica);
    }
    return begun;
}

int leave(replica_world &world, stand_in_replica &replica)
{
    note(world, "left", replica);
    replica.membership.reset();
    ++replica.serving;
    return begun;
}

int stage(replica_world &world, stand_in_replica &replica, const std::string &model, instant now)
{
    if (!world.sizes.contains(model)) {
        return badRequest;
    }
    if (replica.staging) {
        return replica.staging->first == model ? done : conflict;
    }
    if (replica.staged == model) {
        return done;
    }
    replica.staging.emplace(model, now + world.timing.load);
    note(world, "load_began", replica)["model"] = model;
    return begun;
}

int carryOut(replica_world &world, stand_in_replica &replica, const Json::Value &order, instant now)
{
    const auto operation = jsonString(order, names::operation);
    if (operation == names::joinOperation) {
        return join(world, replica, order, now);
    }
    if (operation == names::stageOperation) {
        return stage(world, replica, jsonString(order, names::model), now);
    }
    const bool isOpen = operation == names::openOperation;
    const bool isClose = operation == names::closeOperation;
    const bool isLeave = operation == names::leaveOperation;
    if (!isOpen && !isClose && !isLeave) {
        return badRequest;
    }
    if (!replica.membership) {
        return isLeave ? done : conflict;
    }
    const bool isForThis
        = replica.membership->group == jsonString(order, names::group) && replica.membership->epoch == jsonNumber(order, names::epoch);
    if (!isForThis) {
        return conflict;
    }
    if (isOpen) {
        return open(world, replica, now);
    }
    return isClose ? close(world, replica, jsonString(order, names::method)) : leave(world, replica);
}

} // namespace

stand_in_replica *findReplica(replica_world &world, const std::string &id)
{
    const auto found = std::find_if(world.replicas.begin(), world.replicas.end(), [&](const auto &replica) { return replica.id == id; });
    return found == world.replicas.end() ? nullptr : &*found;
}

void settle(replica_world &world, instant now)
{
    for (auto &replica : world.replicas) {
        if (replica.isAlive) {
            settleStaging(world, replica, now);
        }
        if (replica.isAlive && replica.membership) {
            settleJoining(world, replica, now);
        }
    }
    for (auto &replica : world.replicas) {
        if (replica.isAlive && isHead(replica)) {
            settleHead(world, replica, now);
        }
    }
}

int takeOrder(replica_world &world, stand_in_replica &replica, const Json::Value &order, instant now)
{
    settle(world, now);
    if (!replica.hasEngine) {
        return badRequest;
    }
    if (order.isMember(names::expected) && jsonNumber(order, names::expected) != replica.orders) {
        return conflict;
    }
    const auto status = carryOut(world, replica, order, now);
    if (status == begun) {
        ++replica.orders;
    }
    return status;
}

void endIncarnation(replica_world &world, stand_in_replica &replica)
{
    note(world, "gone", replica);
    replica.isAlive = false;
    replica.membership.reset();
    replica.staging.reset();
    replica.lastModel.clear();
    ++replica.serving;
    replica.rateLimit.reset();
    replica.rest.clear();
    replica.saysLeaving = false;
}

int admissionStatus(const stand_in_replica &replica, const std::string &model)
{
    if (!replica.rest.empty()) {
        return unavailable;
    }
    if (replica.hasEngine) {
        if (!isHead(replica) || replica.membership->model != model) {
            return names::misdirected;
        }
        if (replica.membership->state != member_state::open) {
            return unavailable;
        }
    }
    return replica.active + replica.waiting >= replica.slots + queueLength ? unavailable : done;
}

request_standing standingOf(const stand_in_replica &replica, std::uint64_t serving)
{
    if (!replica.isAlive) {
        return request_standing::cut;
    }
    if (replica.hasEngine && replica.serving != serving) {
        const bool isBroken = replica.membership && replica.membership->state == member_state::broken;
        return isBroken ? request_standing::broken : request_standing::cut;
    }
    const bool isStalled = replica.hasEngine && replica.membership->stalledSince.has_value();
    return isStalled || replica.isDark ? request_standing::stalls : request_standing::moves;
}

bool isPartial(const replica_world &world, const stand_in_replica &head)
{
    const auto &place = *head.membership;
    return place.members.size() != world.sizes.at(place.model)
        || std::any_of(
               place.members.begin(), place.members.end(), [&](const auto &id) { return !world.everReady.contains(placeName(place, id)); });
}

} // namespace vetchpost::test
