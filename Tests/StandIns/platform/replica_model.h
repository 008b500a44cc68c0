// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// A replica's membership of a group, as its last join order set it.
struct stand_in_membership
{
    std::string group;
    std::uint64_t epoch = 0;
    std::string model;
    /// Ids of the members, with the head first.
    std::vector<std::string> members;
    member_state state = member_state::joining;
    /// When the member becomes ready; used while it is joining.
    instant readyAt;
    /// When the head starts to serve; set while it is opening.
    std::optional<instant> opensAt;
    /// When the head lost contact with a member; empty while all are present.
    std::optional<instant> stalledSince;

    bool isSameFormation(const stand_in_membership &other) const
    {
        return group == other.group && epoch == other.epoch;
    }
    bool isServing() const
    {
        return state == member_state::open || state == member_state::closing;
    }
};

struct stand_in_replica
{
    /// Identifies this incarnation; some replicas use the same id in several incarnations.
    std::string id;
    /// When this incarnation started, in Unix milliseconds.
    std::uint64_t born = 0;
    std::string service;
    std::string domain;
    /// The data centre.
    std::string zone = "ikeja";
    std::string address;
    int slots = 0;
    bool hasEngine = false;
    bool isAlive = true;
    /// Whether the replica is cut off from the network.
    bool isCutOff = false;
    /// Whether the daemons and the store cannot reach the replica, while the other members of its group can.
    bool isIsolated = false;
    /// Whether the replica's process stands still: its connections are accepted, but nothing is read, sent or done until it goes on.
    bool isPaused = false;
    bool isDraining = false;
    /// Factor by which the time between events of its streams is multiplied.
    double slowness = 1;
    /// Rate limit that its answers announce, in requests per second from all daemons together.
    std::optional<double> rateLimit;
    /// Backoff that its refusals request, as written in the header; empty while the replica accepts requests.
    std::string backoff;
    /// Whether its answers announce that it is leaving, even if its entry does not.
    bool announcesLeaving = false;
    /// Until when it is cold, and what its entry and its answers say about that, as of the last tick.
    instant coldUntil;
    duration coldLeft{};
    /// When requests arrived in the last second of the cold time.
    std::deque<instant> coldArrivals;
    std::optional<stand_in_membership> membership;
    /// The model whose weights its host holds.
    std::string staged;
    /// The model of the last group that this incarnation was ready in.
    std::string lastModel;
    /// The model that is being loaded onto the host, and when the load ends.
    std::optional<std::pair<std::string, instant>> staging;
    std::uint64_t highestEpoch = 0;
    /// Number of orders that this incarnation has accepted and that were not in effect already.
    std::uint64_t orders = 0;
    /// Increases whenever the requests at the replica are cut off: a request with an earlier number ends.
    std::uint64_t serving = 0;
    int active = 0;
    /// The requests that wait for a slot, by their numbers in the order of arrival.
    std::set<std::uint64_t> queue;
    std::uint64_t lastQueued = 0;

    /// Whether the daemons and the store get nothing from the replica.
    bool isOutOfReach() const
    {
        return isCutOff || isIsolated;
    }

    int waiting() const
    {
        return static_cast<int>(queue.size());
    }
};

/// How long the state changes of replicas take.
struct replica_timing
{
    /// A join with the model of the replica's last group.
    duration rejoin{200};
    /// A join with a model whose weights the replica's host holds.
    duration warm{100};
    /// A load of a model's weights, for any other join or onto the host.
    duration load{300};
    /// From the order to open a group until its head serves.
    duration form{50};
    /// From the loss of a member until the head gives up and its group is broken.
    duration stall{1500};
    /// How long a replica is cold after each start but the first; 0 if it never is.
    duration cold{0};
};

/// An event to be written to the journal.
struct replica_event
{
    std::string what;
    Json::Value fields;
};

/// All replicas of the platform, to which the functions below apply the rules of groups. Has no clock, thread or socket.
struct replica_simulation
{
    replica_timing timing;
    /// Number of replicas in a group, by model.
    std::map<std::string, unsigned> sizes;
    /// Requests that a cold replica bears within any second; it fails at the next one.
    double coldBound = 0;
    std::vector<stand_in_replica> replicas;
    /// Memberships that have been ready at some time, by group, epoch and replica. A group in which one has never been ready is partial.
    std::set<std::string> everReadyMemberships;
    std::vector<replica_event> events;
};

/// State of an admitted request: it progresses, it is stalled, its group has broken, or it has been cut off.
enum class request_state { progressing, stalled, broken, cut };

/// Returns the replica with the given id; null if there is none.
stand_in_replica *findReplica(replica_simulation &simulation, const std::string &id);
/// Applies all state changes due by \a now: loads that end, members that become ready, and heads that open, stall, break or close.
void advance(replica_simulation &simulation, instant now);
/// Executes an order; returns the HTTP status of its answer.
int executeOrder(replica_simulation &simulation, stand_in_replica &replica, const Json::Value &order, instant now);
/// Ends the replica's current incarnation, with or without notice.
void endIncarnation(replica_simulation &simulation, stand_in_replica &replica);

/// Makes a replica cold for \a time, and records that.
void makeCold(replica_simulation &simulation, stand_in_replica &replica, duration time, instant now);
/// Records that a request arrived. Returns false if the replica is cold and fails because too many have arrived within a second.
bool bearsArrival(replica_simulation &simulation, stand_in_replica &replica, instant now);
/// Returns 200 if a request for the model may queue at the replica, otherwise the HTTP status of the refusal.
int admissionStatus(const stand_in_replica &replica, const std::string &model);
request_state requestState(const stand_in_replica &replica, std::uint64_t serving);
/// Returns whether the head's group has the wrong size or a member that has never been ready.
bool isPartial(const replica_simulation &simulation, const stand_in_replica &head);

/// Returns the entry that the replica writes into the store.
Json::Value entryOf(const stand_in_replica &replica);
/// Returns the replica's answer to a probe: its entry with its load.
Json::Value reportOf(const stand_in_replica &replica);

} // namespace vetchpost::test
