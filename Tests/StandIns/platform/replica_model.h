// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <json/value.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// A replica's place in a group, as its last join gave it.
struct stand_in_membership
{
    std::string group;
    std::uint64_t epoch = 0;
    std::string model;
    /// The head first.
    std::vector<std::string> members;
    member_state state = member_state::joining;
    /// When the place is taken; while joining.
    instant readyAt;
    /// When the head serves; while it is being opened.
    std::optional<instant> opensAt;
    /// Since when the head misses a member.
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
    /// Of this life, or kept over several.
    std::string id;
    /// When this life began, in Unix milliseconds.
    std::uint64_t born = 0;
    std::string service;
    std::string domain;
    std::string address;
    int slots = 0;
    bool hasEngine = false;
    bool isAlive = true;
    /// Cut off from everything.
    bool isDark = false;
    bool isDraining = false;
    /// A factor on its times.
    double slowness = 1;
    /// Requests a second from all daemons together, which its answers name.
    std::optional<double> rateLimit;
    /// It rejects what comes with this time of rest, as its answers write it; empty while it takes requests.
    std::string rest;
    /// Its answers say that it leaves, whatever its entry says.
    bool saysLeaving = false;
    std::optional<stand_in_membership> membership;
    /// The model that its host holds.
    std::string staged;
    /// The model of the last group in this life.
    std::string lastModel;
    /// A load onto the host that is under way.
    std::optional<std::pair<std::string, instant>> staging;
    std::uint64_t highestEpoch = 0;
    /// Orders taken in this life.
    std::uint64_t orders = 0;
    /// Rises whenever what the replica serves is cut: requests of an earlier number end.
    std::uint64_t serving = 0;
    int active = 0;
    int waiting = 0;
};

struct replica_timing
{
    duration rejoin{200};
    duration warm{100};
    duration load{300};
    duration form{50};
    duration stall{1500};
};

/// One thing for the journal.
struct replica_event
{
    std::string what;
    Json::Value fields;
};

/// All replicas of the platform with the rules of their groups. Has no clock, thread or socket.
struct replica_world
{
    replica_timing timing;
    /// How many replicas make a group of a model.
    std::map<std::string, unsigned> sizes;
    std::vector<stand_in_replica> replicas;
    /// Places that were ready at some time, by group, epoch and replica: a group serves truly only if all of its were.
    std::set<std::string> everReady;
    std::vector<replica_event> events;
};

/// How a request that was admitted stands.
enum class request_standing { moves, stalls, broken, cut };

stand_in_replica *findReplica(replica_world &world, const std::string &id);
/// Lets time take effect: places that are ready, heads that open, stand still, break or have finished.
void settle(replica_world &world, instant now);
/// Carries out an order; returns the status of its answer.
int takeOrder(replica_world &world, stand_in_replica &replica, const Json::Value &order, instant now);
/// The end of a life, with or without notice.
void endIncarnation(replica_world &world, stand_in_replica &replica);

/// 200 where a request may wait at the replica, else the status of the refusal.
int admissionStatus(const stand_in_replica &replica, const std::string &model);
request_standing standingOf(const stand_in_replica &replica, std::uint64_t serving);
/// Whether a request that runs at this head now runs in a group that lacks a member which was never ready.
bool isPartial(const replica_world &world, const stand_in_replica &head);

/// What the replica writes into the store.
Json::Value entryOf(const stand_in_replica &replica);
Json::Value reportOf(const stand_in_replica &replica);

} // namespace vetchpost::test
