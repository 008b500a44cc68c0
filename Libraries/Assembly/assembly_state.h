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

/// Forms groups out of replicas that report their own membership. The replicas' reports are authoritative; the state here holds only what
/// the current coordinator plans to do. docs/design/PLATFORM.md numbers the steps.
namespace vetchpost {

/// Formation numbers that each term reserves, so that the numbers of a successor are always higher.
constexpr std::uint64_t formationsPerTerm = 100000;

enum class order_kind {
    /// Asks how many orders the replica has accepted; changes nothing.
    probe,
    /// The replica becomes a member of a group, in place of any earlier membership.
    join,
    /// The head starts serving.
    open,
    /// The head stops serving.
    close,
    /// The head gives up its membership.
    leave,
    /// The replica's host loads a model's weights in the background.
    stage
};

/// What a closing head does with the requests that it holds.
enum class close_method {
    /// Completes them.
    finish,
    /// Aborts them.
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
    /// For a join: all members, the head first.
    std::vector<instance_id> members;
    close_method method = close_method::finish;
    /// For a join: the number of orders that the replica must have accepted so far. A replica that has accepted another number rejects the
    /// join, so that a delayed copy of it has no effect.
    std::uint64_t expectedOrders = 0;
    /// The incarnation of the replica that the order addresses.
    replica_incarnation incarnation = {};
    /// Whether the order begins a load that does not count against the weight store's rate before the first request.
    bool isFreeLoad = false;
    /// For a probe before a join: the formation that the replica's entry names; none if it names no group.
    formation listedFormation = {};
};

/// The outcome of an order.
enum class order_result {
    /// The replica accepted the order.
    accepted,
    /// The replica was already in the state that the order asks for; nothing changed.
    already_in_effect,
    /// The replica's state or its number of accepted orders differs from the expected one; nothing changed.
    conflict,
    /// The replica will never accept the order; nothing changed.
    refused,
    /// The replica has ended: another process answers at its address, or none.
    gone,
    /// No answer: the replica may have accepted the order, or may still do so.
    unknown,
    /// The order was not sent, since the load that it would begin is no longer due.
    withheld
};

struct planned_member
{
    instance_id instance;
    /// The incarnation that was ordered to join; a later one is not a member.
    replica_incarnation incarnation;
    /// Kept so that a head that vanished from the directory can still be ordered to close.
    endpoint address;
    /// Whether the replica has accepted this group's join.
    bool hasJoined = false;
    bool isOrderPending = false;
    instant nextOrder;
    /// Number of joins that ended with order_result::conflict.
    int conflicts = 0;
};

enum class assembly_stage {
    /// Members join, the head first.
    joining,
    /// All members have joined; the head is ordered to open.
    opening,
    serving,
    /// The head is ordered to close.
    closing,
    /// The head is ordered to leave the group, so that an order to open that arrives late has no effect.
    leaving
};

struct order_answer
{
    order_result result = order_result::unknown;
    /// For a probe: the number of orders that the replica has accepted.
    std::uint64_t acceptedOrders = 0;
    /// For a probe: the incarnation that answered; "never" if the answer does not contain it.
    replica_incarnation incarnation = {};
    /// For a probe: the replica's membership, if it has one.
    std::optional<group_membership> membership = {};
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
    /// Whether the head has accepted the order to close.
    bool hasAcceptedClose = false;
    /// Whether an order to open has not been answered and may still arrive.
    bool isOpenUnconfirmed = false;
    /// Whether the head has left the group.
    bool hasLeft = false;
    /// When the head was first found to be gone.
    std::optional<instant> headLostSince;
    /// Why the group cannot be formed; empty if no join of a member has failed.
    std::string why;
    /// Whether the group is closed to make room for a group of another model.
    bool isPreempted = false;
};

struct assembly_policy
{
    /// Fraction of the usable replicas that is held back as spares. It can be 0, since hosts of the smaller models' groups hold the larger
    /// model's weights: these groups serve and are spares at once.
    double spareShare = 0;
    /// At the first start no group is formed until the number of replicas has been constant for this time. Replicas register within a
    /// second or two of each other.
    duration settleTime{500};
    /// A closing group counts as present for this time, since it is mostly formed again from its surviving members.
    duration closingGrace{1500};
    /// An order without an answer is sent again after this time.
    duration orderRetryDelay{700};
    /// Delay between a conflict and the probe for the number of accepted orders, which a replica reports a little late.
    duration conflictRetryDelay{120};
    /// A join with this many conflicts fails: something else must be sending orders to the replica.
    int maxConflicts = 8;
    /// The longest time from sending an order to its arrival; the platform delivers orders up to twelve seconds late.
    duration maxOrderDelay{13000};
    /// A replica that refused an order gets no further ones for this time.
    duration refusalBackoff{2000};
    /// A group is preempted only if the present fraction of its model's groups afterwards exceeds the short model's by this much.
    double preemptionMargin = 0.1;
    /// Several groups are preempted only if the remaining ones have at most this fraction of their slots in use; above it requests queue.
    double maxPreemptionLoad = 0.75;
    /// A model with less than this fraction of its groups is scarce: it comes first, and groups of any size may be preempted for it.
    double scarcityThreshold = 0.5;
    /// A domain stays reserved for the group that is to be formed there for this time after the last preempted group was seen closing. A
    /// group whose head falls silent meanwhile releases its members much later.
    duration reservationTime{2000};
    /// A model with less than this fraction of its groups is short: all loads that the weight store can feed at a time may prepare hosts
    /// for it.
    double shortageThreshold = 0.8;
    /// A replica that is ready for a group which cannot be formed yet becomes available to other models after this time.
    duration idleGrace{3000};
    /// A group with a leaving member serves for at most this time; the member itself stays for ten seconds while its head has work.
    duration leavingMemberGrace{6000};
    /// A group with a member that still answers but whose entry vanished unannounced serves for this time. A leaving member stays for ten
    /// seconds while its head has work; one that is cut off from the key-value service runs for as long as the cut lasts.
    duration unlistedMemberGrace{8000};
    /// A leaving head that no longer listens may still finish requests for this time: their longest deadline and two seconds.
    duration leavingHeadTimeout{10000};
    /// A group is given up if its members take longer than their loading time and this much more to join.
    duration joinSlack{20000};
    /// Fraction of the weight store's rate that is used, so that a predecessor's last loads fit into the same window.
    double loadRateShare = 0.5;
    /// Before the first request, the number of preparatory loads that may begin within trafficReportDelay. Each changes its replica's
    /// entry, and all daemons must process these changes before a leaving replica has to be known.
    std::size_t preparationsPerReportDelay = 48;
    /// Number of preparatory loads that each lost member allows, since its replacement may use up prepared hosts.
    std::size_t preparationsPerLoss = 4;
    /// Number of preparatory loads that are allowed without any loss, for the first one that may come.
    std::size_t minPreparations = 2;
    /// Entries of live replicas may be missing for this time after the first listing, since the key-value service may just have returned
    /// from an outage.
    duration entryReturnTime{2200};
    /// Formations that have ended are remembered for this time, since their members' entries may be behind.
    duration endedFormationRetention{60000};
    /// For this time a loss counts as a sign that more will follow.
    duration lossRetention{60000};
    /// Window over which loads are counted.
    duration loadWindow{5000};
    /// The coordinator learns of the first request within this time, whichever daemon receives it.
    duration trafficReportDelay{300};
};

struct assembly_state
{
    assembly_policy policy;
    /// Number of the coordinator's term, set at takeover; each term has a higher number than the one before.
    std::uint64_t term = 0;
    /// Number of formations that this term has begun.
    std::uint64_t lastNumber = 0;
    bool hasAdopted = false;
    /// When this term's first round was planned.
    instant since;
    /// The incarnation of each listed replica that the other per-replica fields describe.
    std::map<instance_id, replica_incarnation> incarnations;
    /// The number of orders that each replica has accepted, where it is known.
    std::map<instance_id, std::uint64_t> acceptedOrders;
    std::map<group_id, planned_group> groups;
    /// Formations of earlier terms that this term has found: each is adopted once.
    std::set<std::pair<group_id, formation>> knownFormations;
    /// Until when each replica is in backoff: it did not accept an order to join or to stage, or was just ordered to close as an unplanned
    /// head.
    std::map<instance_id, instant> avoidedUntil;
    /// Since when each leaving replica is known to be leaving.
    std::map<instance_id, instant> drainingSince;
    struct release
    {
        formation formed;
        instant nextOrder;
        bool isOrderPending = false;
        /// Whether the replica has accepted the order to leave, which its entry may not show yet.
        bool hasLeft = false;
    };
    /// Replicas that were ordered to leave the group that their entry names, since its head cannot be reached.
    std::map<instance_id, release> releases;
    /// Formations whose head has closed, has left or was never ordered to open, with the time at which this was found.
    std::map<formation, instant> endedFormations;
    /// Replicas that fell silent without leaving: they have crashed or are cut off. A replica that fell silent after it began to leave may
    /// still finish requests. The directory alone cannot tell the two apart, since it may lag.
    std::set<instance_id> silentWhileListed;
    /// Since when each free replica has been free.
    std::map<instance_id, instant> idleSince;
    /// When loads from the weight store were ordered, within policy.loadWindow.
    std::deque<instant> loads;
    /// When members of groups were lost, within policy.lossRetention.
    std::deque<instant> losses;
    /// When loads began that only prepare for a loss, within policy.lossRetention.
    std::deque<instant> preparatoryLoads;
    struct staging
    {
        model_id model;
        instant since;
    };
    /// The background load that each replica was ordered to begin and that is not over yet.
    std::map<instance_id, staging> stagings;
    struct reservation
    {
        model_id model;
        instant until;
    };
    /// Domains where a group of a short model is formed once the groups that are closed for it have released their members.
    std::map<fabric_domain_id, reservation> reservations;
    smoothed_demand demand;
    /// Groups in evacuated data centres, as of the last round.
    std::set<group_id> evacuatedGroups;
    /// The fraction of the replicas that each model should have now.
    followed_shares shares;
    /// The shares that were last added to `decisions`.
    std::map<model_id, double> loggedShares;
    /// The number of usable replicas.
    int usable = 0;
    /// Since when `usable` has had its value.
    instant usableSince;
    /// Descriptions of decisions, for the log; the caller clears them.
    std::vector<std::string> decisions;
};

struct assembly_view
{
    const replica_directory &directory;
    const service_id &service;
    const engine_description &engine;
    /// Replicas that are suspected dead although they are still listed.
    const std::set<instance_id> &suspects;
    /// No request has come yet; until then loads are quick and do not count against the weight store's rate.
    bool isBeforeTraffic = false;
    instant now;
    /// Suspects whose entry in the key-value service was read after they were found silent and did not mark them as leaving.
    std::set<instance_id> notLeaving = {};
    /// Since when all changes of the entries are known. A head whose entry vanished since then is still in the directory, or has had the
    /// time to end.
    instant followedSince = {};
    /// Data centres in which no replica may be used: no group is formed or repaired and no weights are staged there, and the groups that
    /// serve there do not count.
    std::set<data_centre_id> evacuated = {};
};

/// Plans one round and returns the orders to send next. An order counts as pending until its result is passed to recordOrderResult().
std::vector<replica_order> planAssembly(assembly_state &state, const assembly_view &view);

/// Whether a planned order may still be sent. Orders are queued for sending, and a load that was free when it was planned may no longer be.
bool isStillDue(const replica_order &order, bool isBeforeTraffic);

/// Updates the state with the result of an order. Results for earlier incarnations of a replica are ignored.
void recordOrderResult(assembly_state &state, const replica_order &order, const order_answer &answer, instant now);

/// The numbers of one model's groups, wanted and by what they do, for the log and for metrics.
struct model_group_counts
{
    model_id model;
    int wanted = 0;
    /// Requests that all daemons hold, smoothed.
    int requests = 0;
    int serving = 0;
    /// Groups that are being formed or opened.
    int forming = 0;
    /// Groups that are being closed.
    int ending = 0;
};

/// The group counts of each model of the engine.
std::vector<model_group_counts> groupCounts(const assembly_state &state, const engine_description &engine);

/// How many groups of each model a number of usable replicas should form, according to the models' shares and with spares held back.
std::map<model_id, int>
groupTargets(const engine_description &engine, const std::map<model_id, double> &shares, int replicas, double spareShare);

} // namespace vetchpost
