// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/demand_shares.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Assembling groups out of replicas that report their own membership. The replicas' word is the truth; what stands here is only what the
/// present coordinator is about to do. docs/design/PLATFORM.md numbers the steps.
namespace vetchpost {

enum class order_kind {
    /// Tell how many orders the replica has taken; changes nothing.
    look,
    /// Take a place in a group; replaces the place that the replica had.
    join,
    /// Serve; to the head.
    open,
    /// Stop serving; to the head.
    close,
    /// Give up the place in the group; to the head.
    leave,
    /// Load a model's weights onto the host beside all else.
    stage
};

/// What a closing head does with the requests that it holds.
enum class close_method {
    /// Finish them.
    finish,
    /// Break them off.
    cut
};

struct replica_order
{
    order_kind kind = order_kind::join;
    instance_id to;
    endpoint address;
    group_id group;
    formation formed;
    model_id model;
    /// Of a join: all members, the head first.
    std::vector<instance_id> members;
    close_method method = close_method::finish;
    /// Of a join: it holds only while the replica has taken exactly so many orders. A copy of it that comes late then finds another number.
    std::uint64_t expectedOrders = 0;
    /// The start of the replica that is meant.
    replica_life life = {};
    /// It begins a load that is free only before the first request.
    bool isFreeLoad = false;
};

/// What came of an order.
enum class order_result {
    /// It was taken.
    taken,
    /// It held already; nothing began.
    held,
    /// The replica's state, or the number of orders it has taken, is another than expected; nothing happened.
    conflict,
    /// The replica will never take it; nothing happened.
    refused,
    /// Another process answers at the address, or nobody: the replica has ended.
    gone,
    /// No answer: it may have been taken, or may be later.
    unknown,
    /// It never left: what it was to begin is no longer due.
    withheld
};

struct planned_member
{
    instance_id instance;
    /// The start that was given the place; a later one holds nothing of it.
    replica_life life;
    /// Kept so that a head that vanished from the directory can still be asked to close.
    endpoint address;
    /// It has taken this group's join.
    bool hasJoined = false;
    bool isOrderUnderWay = false;
    instant nextOrder;
    /// Joins that met an unexpected state.
    int conflicts = 0;
};

enum class assembly_stage {
    /// Members take their places, the head first.
    joining,
    /// All have; the head is told to open.
    opening,
    serving,
    /// The head is told to close.
    closing,
    /// The head is told to give up its place: an order to open it may still come late, and must find nothing to open.
    leaving
};

struct order_answer
{
    order_result result = order_result::unknown;
    /// Of a look: how many orders the replica has taken.
    std::uint64_t ordersTaken = 0;
    /// Of a look: the start that answered; "never" where it does not say.
    replica_life life = {};
};

std::string_view assemblyStageName(assembly_stage stage);

struct planned_group
{
    group_id id;
    formation formed;
    model_id model;
    /// The head first.
    std::vector<planned_member> members;
    assembly_stage stage = assembly_stage::joining;
    instant stageSince;
    close_method closing = close_method::finish;
    /// The head has taken the order to close.
    bool hasTakenClose = false;
    /// An order to open without an answer may still be on its way.
    bool isOpenInDoubt = false;
    /// The head has given up its place.
    bool hasLeft = false;
    /// When its head was first found to be gone.
    std::optional<instant> headLostSince;
    std::string why;
    /// It is closed for a group of a larger model.
    bool givesWay = false;
};

struct assembly_policy
{
    /// Part of the usable replicas that is held back as spares. Hosts of the smaller models' groups hold the larger model's weights, so
    /// that these groups serve and are spares at once.
    double spareShare = 0;
    /// At the first start nothing is formed before the number of replicas has stood still for so long: they enter within a second or two.
    duration settleTime{500};
    /// A closing group counts as there for so long: it is mostly formed again of its survivors.
    duration closingGrace{1500};
    /// An order without an answer is sent again after this time.
    duration orderRetry{700};
    /// After a conflict the number of taken orders is looked up; a replica reports it a little late.
    duration conflictPause{120};
    /// So many conflicts of one join mean that somebody else orders the replica.
    int mostConflicts = 8;
    /// No order comes later than this after it was sent (the platform's orders come up to twelve seconds late).
    duration latestOrder{13000};
    /// A replica that refused an order is left alone for so long.
    duration refusalPause{2000};
    /// A head that is silent and no longer listed may still hold its group for so long; set from the engines' stall time.
    duration silentHeadWait{5000};
    /// A smaller group gives way only where its model then still has so much more of its groups than the larger one.
    double preemptionGain = 0.1;
    /// Several give way only where the groups that stay have so much of their places taken at most: beyond it their requests wait.
    double preemptionLoad = 0.75;
    /// Below this part of its groups a model lacks much: all that the weight store feeds at a time may then prepare hosts for it.
    double muchLacking = 0.8;
    /// A replica that is ready for a group which cannot be formed yet is given to another model after this time.
    duration idleGrace{3000};
    /// A group with a leaving member serves on for so long at most; the member itself stays for ten seconds while there is work.
    duration leavingStay{6000};
    /// ... and with a member whose entry went without a word, while that member answers, for so long: one that leaves stays for ten seconds
    /// while there is work, one that is cut off from the key-value service goes on for as long as it is.
    duration unlistedMemberStay{8000};
    /// A leaving head that no longer listens may still finish requests for so long: their longest deadline and two seconds.
    duration leavingHeadWait{10000};
    /// A group that does not come together in its loading time and this much more is given up.
    duration joinSlack{20000};
    /// Of the weight store's rate the part that is used, so that a predecessor's last loads find room in the same window.
    double loadRateShare = 0.5;
    /// Before the first request so many hosts may be prepared within that time: each changes its replica's entry, and all daemons must take
    /// in what changes sooner than a leaving replica has to be known.
    std::size_t preparationsPerNotice = 48;
    /// A lost member may use up what so many hosts were prepared with: so many loads then prepare others.
    std::size_t preparationsPerLoss = 4;
    /// ... and so many without any loss: the first one may come.
    std::size_t leastPreparations = 2;
    /// A loss says for so long that there will be others.
    duration lossMemory{60000};
    /// Window over which loads are counted.
    duration loadWindow{5000};
    /// The coordinator hears of the first request within this time, wherever it comes.
    duration trafficNotice{300};
};

struct assembly_state
{
    assembly_policy policy;
    /// Set at takeover: number of the coordinator's term, which rises with each.
    std::uint64_t term = 0;
    std::uint64_t lastNumber = 0;
    bool hasAdopted = false;
    /// When this term's first round was planned.
    instant since;
    /// The start of each listed replica that the rest of this is about.
    std::map<instance_id, replica_life> lives;
    /// How many orders each replica has taken, where it is known.
    std::map<instance_id, std::uint64_t> ordersTaken;
    std::map<group_id, planned_group> groups;
    /// Formations of earlier terms that were met in this one: each is taken over once.
    std::set<std::pair<group_id, formation>> metFormations;
    std::map<instance_id, instant> avoidedUntil;
    /// Since when each leaving replica is known to leave.
    std::map<instance_id, instant> drainingSince;
    /// Heads that were confirmed dead while the directory still lists them as open.
    std::set<instance_id> deadHeads;
    /// Replicas that fell silent without leaving: they have crashed, or are cut off. One that is found silent after it began to leave may
    /// still finish requests. The directory does not tell the two apart: it may lag.
    std::set<instance_id> silentWhileListed;
    /// Since when each free replica is free.
    std::map<instance_id, instant> idleSince;
    /// Loads from the weight store that were ordered within the window.
    std::deque<instant> loads;
    /// When members of groups were lost, and when loads began that only prepare for that; of the last while.
    std::deque<instant> losses;
    std::deque<instant> preparations;
    struct staging
    {
        model_id model;
        instant since;
    };
    std::map<instance_id, staging> stagings;
    smoothed_demand demand;
    /// The number of usable replicas, and since when it is so.
    int usable = 0;
    instant usableSince;
    /// What was decided since the last look, for the log.
    std::vector<std::string> decisions;
};

struct assembly_view
{
    const replica_directory &directory;
    const service_id &service;
    const engine_description &engine;
    /// Replicas that are believed dead although they are still listed.
    const std::set<instance_id> &suspects;
    /// Loads are quick and are not counted until the first request.
    bool isBeforeTraffic = false;
    instant now;
    /// Of the suspects the ones whose entry in the key-value service still said, after they were found silent, that they do not leave.
    std::set<instance_id> notLeaving = {};
    /// Since when this daemon has followed the entries: a head that went since then is still in the directory, or had the time to end.
    instant followedSince = {};
};

/// One round: what to order next. Orders that it returns count as under way until noteOrderResult().
std::vector<replica_order> planAssembly(assembly_state &state, const assembly_view &view);

/// Whether a planned order may still leave. Orders wait for their turn: a load that was free when it was planned may not be any more.
bool isStillDue(const replica_order &order, bool isBeforeTraffic);

void noteOrderResult(assembly_state &state, const replica_order &order, const order_answer &answer, instant now);

/// What stands of one model's groups, for the log.
struct model_standing
{
    model_id model;
    int wanted = 0;
    /// Held by all daemons, smoothed.
    int requests = 0;
    int serving = 0;
    /// Being formed or opened.
    int forming = 0;
    /// Being closed.
    int ending = 0;
};

std::vector<model_standing> standingOf(const assembly_state &state, const engine_description &engine);

/// How many groups of each model a number of usable replicas should make, by the models' shares, with spares held back.
std::map<model_id, int>
groupTargets(const engine_description &engine, const std::map<model_id, double> &shares, int replicas, double spareShare);

} // namespace vetchpost
