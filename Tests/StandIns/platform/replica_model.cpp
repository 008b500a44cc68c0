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
/// Maximum number of requests that wait at a replica while all of its slots are used.
constexpr int queueLength = 8;

std::string membershipKey(const stand_in_membership &membership, const std::string &replica)
{
    return fmt::format("{}|{}|{}", membership.group, membership.epoch, replica);
}

Json::Value &recordEvent(replica_simulation &simulation, const char *what, const stand_in_replica &replica)
{
    Json::Value fields;
    fields["replica"] = replica.id;
    if (replica.membership) {
        fields["group"] = replica.membership->group;
        fields["epoch"] = Json::UInt64(replica.membership->epoch);
    }
    simulation.events.push_back({what, fields});
    return simulation.events.back().fields;
}

/// Returns whether the replica is still in the formation and reachable by the head.
bool isReachableMember(const stand_in_replica *member, const stand_in_membership &membership)
{
    return member != nullptr && member->isAlive && !member->isCutOff && !member->isPaused && member->membership
        && member->membership->isSameFormation(membership);
}

bool isMemberMissing(replica_simulation &simulation, const stand_in_membership &membership)
{
    return std::any_of(membership.members.begin(), membership.members.end(), [&](const auto &id) {
        return !isReachableMember(findReplica(simulation, id), membership);
    });
}

bool isHead(const stand_in_replica &replica)
{
    return replica.membership && replica.membership->members.front() == replica.id;
}

/// Updates the remaining cold time, rounded up so that the entry is written a few times only.
void advanceCold(stand_in_replica &replica, instant now)
{
    constexpr duration step(500);
    const auto left = std::max(duration(), replica.coldUntil - now);
    replica.coldLeft = (left + step - duration(1)) / step * step;
}

void advanceStaging(replica_simulation &simulation, stand_in_replica &replica, instant now)
{
    if (replica.staging && replica.staging->second <= now) {
        replica.staged = replica.staging->first;
        replica.staging.reset();
        recordEvent(simulation, "staged", replica)["model"] = replica.staged;
    }
}

void advanceJoining(replica_simulation &simulation, stand_in_replica &replica, instant now)
{
    auto &membership = *replica.membership;
    if (membership.state == member_state::joining && membership.readyAt <= now) {
        membership.state = member_state::ready;
        replica.staged = membership.model;
        replica.lastModel = membership.model;
        simulation.everReadyMemberships.insert(membershipKey(membership, replica.id));
    }
}

void advanceHead(replica_simulation &simulation, stand_in_replica &head, instant now)
{
    auto &membership = *head.membership;
    if (membership.opensAt && *membership.opensAt <= now) {
        membership.opensAt.reset();
        membership.state = member_state::open;
        ++head.serving;
        recordEvent(simulation, "opened", head)["partial"] = isPartial(simulation, head);
    }
    if (!membership.isServing()) {
        return;
    }
    if (!isMemberMissing(simulation, membership)) {
        membership.stalledSince.reset();
    } else if (!membership.stalledSince) {
        membership.stalledSince = now;
    } else if (now - *membership.stalledSince >= simulation.timing.stall) {
        membership.state = member_state::broken;
        ++head.serving;
        recordEvent(simulation, "broken", head);
        return;
    }
    if (membership.state == member_state::closing && head.active + head.waiting() == 0) {
        membership.state = member_state::ready;
        recordEvent(simulation, "closed", head);
    }
}

/// Returns how long a join takes. Weights are loaded only if neither the replica nor its host has them or is loading them.
duration joinTime(replica_simulation &simulation, const stand_in_replica &replica, const std::string &model, instant now)
{
    if (replica.lastModel == model) {
        return simulation.timing.rejoin;
    }
    const bool isBeingStaged = replica.staging && replica.staging->first == model;
    if (replica.staged == model || isBeingStaged) {
        return simulation.timing.warm + (isBeingStaged ? replica.staging->second - now : duration(0));
    }
    recordEvent(simulation, "load_began", replica)["model"] = model;
    return simulation.timing.load;
}

/// Returns whether the group is in use: its members must not join another group then.
bool isGroupInUse(replica_simulation &simulation, const stand_in_membership &membership)
{
    const auto *head = findReplica(simulation, membership.members.front());
    return head != nullptr && head->isAlive && head->membership && head->membership->isSameFormation(membership)
        && head->membership->isServing();
}

int join(replica_simulation &simulation, stand_in_replica &replica, const Json::Value &order, instant now)
{
    stand_in_membership membership;
    membership.group = jsonString(order, names::group);
    membership.epoch = jsonNumber(order, names::epoch);
    membership.model = jsonString(order, names::model);
    for (const auto &member : jsonArray(order, names::members)) {
        membership.members.push_back(member.asString());
    }
    const bool isListed = std::find(membership.members.begin(), membership.members.end(), replica.id) != membership.members.end();
    if (membership.group.empty() || !isListed || !simulation.sizes.contains(membership.model)) {
        return badRequest;
    }
    const auto earlier = replica.membership;
    const bool isSame = earlier && earlier->isSameFormation(membership);
    if (membership.epoch < replica.highestEpoch || (isSame && earlier->members != membership.members)) {
        return outdated;
    }
    if (isSame) {
        return done;
    }
    const bool isOtherGroup = earlier && earlier->group != membership.group;
    const bool isOldGroupInUse = isOtherGroup && isGroupInUse(simulation, *earlier);
    membership.readyAt = now + joinTime(simulation, replica, membership.model, now);
    replica.highestEpoch = membership.epoch;
    replica.membership = membership;
    ++replica.serving;
    auto &fields = recordEvent(simulation, "joined", replica);
    fields["model"] = membership.model;
    fields["while_open"] = isOldGroupInUse;
    if (earlier) {
        fields["earlier_group"] = earlier->group;
    }
    return begun;
}

int open(const replica_simulation &simulation, stand_in_replica &replica, instant now)
{
    auto &membership = *replica.membership;
    if (membership.state == member_state::open || membership.opensAt) {
        return done;
    }
    if (!isHead(replica) || membership.state != member_state::ready) {
        return conflict;
    }
    membership.opensAt = now + simulation.timing.form;
    return begun;
}

int close(replica_simulation &simulation, stand_in_replica &replica, const std::string &method)
{
    auto &membership = *replica.membership;
    if (!isHead(replica) || membership.state == member_state::joining) {
        return conflict;
    }
    const bool hasBegun = membership.isServing() || membership.state == member_state::broken || membership.opensAt;
    if (!hasBegun) {
        return done;
    }
    membership.opensAt.reset();
    const bool mayFinish = membership.isServing() && method != names::cutMethod && replica.active + replica.waiting() > 0;
    if (mayFinish && membership.state == member_state::closing) {
        return done;
    }
    membership.state = mayFinish ? member_state::closing : member_state::ready;
    if (!mayFinish) {
        ++replica.serving;
        recordEvent(simulation, "closed", replica);
    }
    return begun;
}

int leave(replica_simulation &simulation, stand_in_replica &replica)
{
    recordEvent(simulation, "left", replica);
    replica.membership.reset();
    ++replica.serving;
    return begun;
}

int stage(replica_simulation &simulation, stand_in_replica &replica, const std::string &model, instant now)
{
    if (!simulation.sizes.contains(model)) {
        return badRequest;
    }
    if (replica.staging) {
        return replica.staging->first == model ? done : conflict;
    }
    if (replica.staged == model) {
        return done;
    }
    replica.staging.emplace(model, now + simulation.timing.load);
    recordEvent(simulation, "load_began", replica)["model"] = model;
    return begun;
}

int dispatchOrder(replica_simulation &simulation, stand_in_replica &replica, const Json::Value &order, instant now)
{
    const auto operation = jsonString(order, names::operation);
    if (operation == names::joinOperation) {
        return join(simulation, replica, order, now);
    }
    if (operation == names::stageOperation) {
        return stage(simulation, replica, jsonString(order, names::model), now);
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
    const bool isForCurrentFormation
        = replica.membership->group == jsonString(order, names::group) && replica.membership->epoch == jsonNumber(order, names::epoch);
    if (!isForCurrentFormation) {
        return conflict;
    }
    if (isOpen) {
        return open(simulation, replica, now);
    }
    return isClose ? close(simulation, replica, jsonString(order, names::method)) : leave(simulation, replica);
}

} // namespace

stand_in_replica *findReplica(replica_simulation &simulation, const std::string &id)
{
    const auto found
        = std::find_if(simulation.replicas.begin(), simulation.replicas.end(), [&](const auto &replica) { return replica.id == id; });
    return found == simulation.replicas.end() ? nullptr : &*found;
}

void advance(replica_simulation &simulation, instant now)
{
    for (auto &replica : simulation.replicas) {
        advanceCold(replica, now);
        const bool isRunning = replica.isAlive && !replica.isPaused;
        if (isRunning) {
            advanceStaging(simulation, replica, now);
        }
        if (isRunning && replica.membership) {
            advanceJoining(simulation, replica, now);
        }
    }
    for (auto &replica : simulation.replicas) {
        if (replica.isAlive && !replica.isPaused && isHead(replica)) {
            advanceHead(simulation, replica, now);
        }
    }
}

int executeOrder(replica_simulation &simulation, stand_in_replica &replica, const Json::Value &order, instant now)
{
    advance(simulation, now);
    if (!replica.hasEngine) {
        return badRequest;
    }
    if (order.isMember(names::expected) && jsonNumber(order, names::expected) != replica.orders) {
        return conflict;
    }
    const auto status = dispatchOrder(simulation, replica, order, now);
    if (status == begun) {
        ++replica.orders;
    }
    return status;
}

void endIncarnation(replica_simulation &simulation, stand_in_replica &replica)
{
    recordEvent(simulation, "gone", replica);
    replica.isAlive = false;
    replica.membership.reset();
    replica.staging.reset();
    replica.lastModel.clear();
    ++replica.serving;
    replica.rateLimit.reset();
    replica.backoff.clear();
    replica.announcesLeaving = false;
    replica.coldUntil = {};
    replica.coldLeft = {};
}

void makeCold(replica_simulation &simulation, stand_in_replica &replica, duration time, instant now)
{
    replica.coldUntil = now + time;
    replica.coldLeft = time;
    replica.coldArrivals.clear();
    recordEvent(simulation, "cold", replica)["value"] = Json::Int64(time.count());
}

bool bearsArrival(replica_simulation &simulation, stand_in_replica &replica, instant now)
{
    constexpr duration second(1000);
    if (now >= replica.coldUntil) {
        return true;
    }
    auto &arrivals = replica.coldArrivals;
    arrivals.push_back(now);
    while (now - arrivals.front() >= second) {
        arrivals.pop_front();
    }
    const bool isBorne = static_cast<double>(arrivals.size()) <= simulation.coldBound;
    if (!isBorne) {
        recordEvent(simulation, "cold_overrun", replica)["value"] = Json::UInt64(arrivals.size());
    }
    return isBorne;
}

int admissionStatus(const stand_in_replica &replica, const std::string &model)
{
    if (!replica.backoff.empty()) {
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
    return replica.active + replica.waiting() >= replica.slots + queueLength ? unavailable : done;
}

request_state requestState(const stand_in_replica &replica, std::uint64_t serving)
{
    if (!replica.isAlive) {
        return request_state::cut;
    }
    if (replica.hasEngine && replica.serving != serving) {
        const bool isBroken = replica.membership && replica.membership->state == member_state::broken;
        return isBroken ? request_state::broken : request_state::cut;
    }
    const bool isStalled = replica.hasEngine && replica.membership->stalledSince.has_value();
    return isStalled || replica.isCutOff || replica.isPaused ? request_state::stalled : request_state::progressing;
}

bool isPartial(const replica_simulation &simulation, const stand_in_replica &head)
{
    const auto &membership = *head.membership;
    return membership.members.size() != simulation.sizes.at(membership.model)
        || std::any_of(membership.members.begin(), membership.members.end(), [&](const auto &id) {
               return !simulation.everReadyMemberships.contains(membershipKey(membership, id));
           });
}

} // namespace vetchpost::test
