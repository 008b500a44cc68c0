// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Assembly/domain_packing.h"

#include <string_view>
#include <unordered_set>

namespace vetchpost {

/// Loads that only prepare for a loss begin only while fewer loads than this are in progress.
constexpr std::size_t maxPreparatoryStoreLoads = 2;

/// How soon a replica can serve a model, soonest first: it ran the model last, its host has the weights staged, or it must load them from
/// the weight store.
enum class readiness { same_model, staged, must_load };

/// One round of planAssembly(). The implementation is split over plan_assembly, group_steps, group_forming, group_preemption,
/// weight_staging, evacuated_groups and round_queries.
class assembly_round
{
public:
    assembly_round(assembly_state &state, const assembly_view &view);
    std::vector<replica_order> run();

private:
    /// Forgets formations that ended long ago and that no entry names any more.
    void eraseEndedFormations();
    void updateIncarnations();
    void resetInstance(const instance_id &instance);
    void updateDraining();
    void updateSilence();

    // Groups that an earlier coordinator formed.

    void adoptGroups();
    bool isAdoptable(const reported_group &reported) const;
    void adoptGroup(const reported_group &reported);
    void dropMovedMembers(planned_group &group) const;
    static void addReturnedMembers(planned_group &group, const reported_group &reported);
    void closeUnplannedHeads();
    /// Orders the replicas that are not among the \a planned members to leave groups that may not have ended.
    void releaseMembers(const std::unordered_set<std::string_view> &planned);

    // State transitions of one group.

    void advance(planned_group &group);
    void join(planned_group &group);
    void open(planned_group &group);
    void monitor(planned_group &group);
    /// Records when a group's members were lost; losses allow preparatory loads.
    void recordLosses(const planned_group &group);
    void beginClose(planned_group &group, close_method method, const std::string &why);
    void close(planned_group &group);
    void leave(planned_group &group);
    void dissolve(planned_group &group, const std::string &why);
    /// Erases a group whose head is known not to hold it any more, so that its members are free.
    void end(planned_group &group, const std::string &why);
    /// Removes a group from the plan. Unless its formation has ended, its members have to leave it before they join another group.
    void erase(planned_group &group, const std::string &why);

    // Evacuated data centres.

    void updateEvacuatedGroups();
    bool isEvacuated(const served_replica &replica) const;
    bool isEvacuated(const planned_group &group) const;

    // Formation of groups from free replicas.

    void collectFreeReplicas(const std::unordered_set<std::string_view> &planned);
    int smallestGroupSize() const;
    bool isSettled();
    void updateShares();
    void formGroups();
    bool isFormingThrottled() const;
    std::vector<const group_model *> modelsBySize() const;
    double presentFraction(const group_model &model, int more = 0) const;
    bool isEnoughFree() const;
    const group_model *neediestModel() const;
    int presentGroups(const model_id &model) const;
    struct group_count
    {
        /// Groups that serve, are being formed, or began to close within policy.closingGrace; the latter are mostly formed again.
        int present = 0;
        /// Groups that are not being closed.
        int staying = 0;
    };
    const group_count &groupCountOf(const model_id &model) const;
    void formExtraGroups();
    bool isBusy(const fabric_domain_id &domain) const;

    // Preemption.

    void updateReservations();
    int reservationsFor(const model_id &model) const;
    bool isScarce(const group_model &model) const;
    void preemptForShortModels();
    void preempt(const group_model &model, const packing_choice &choice);
    void stageForShortModels();
    void stageForPreemption(const group_model &model, const packing_choice &choice);
    /// The short models that no free replicas can serve, the scarcest first.
    std::vector<const group_model *> unservedModels() const;
    std::vector<packing_model> packingModels() const;
    packing_model packingModel(const group_model &model) const;
    std::vector<packing_domain> packingDomains() const;
    packing_limits packingLimits() const;
    void addTo(packing_group &counts, const served_replica &replica) const;
    bool isReleasedSoon(const planned_group &group) const;
    bool isPreemptionUnderWay() const;
    int unneededGroups(const group_model &model) const;
    int countReadyWithFree(const planned_group &group, const model_id &model) const;
    int countReadyMembers(const planned_group &group, const model_id &model) const;
    static int countReady(const std::vector<const served_replica *> &replicas, const model_id &model);
    double stayingFraction(const group_model &model) const;
    std::vector<const served_replica *> availableFor(const group_model &model, const fabric_domain_id &domain) const;
    bool isReadyForLarger(const served_replica &replica, const group_model &model) const;
    int roomForLarger(const std::vector<const served_replica *> &replicas, const group_model &model) const;
    const fabric_domain_id *bestDomain(const group_model &model) const;
    std::vector<const served_replica *> soonestReady(std::vector<const served_replica *> replicas, const group_model &model) const;
    bool formBestGroup(const group_model &model);
    void formGroupIn(const group_model &model, const fabric_domain_id &domain);

    // Staging of weights ahead of need.

    /// Loads that a domain needs before one more group of a model can be formed there.
    struct load_need
    {
        fabric_domain_id domain;
        const group_model *model = nullptr;
        /// Number of replicas that must still load the weights.
        int requiredLoads = 0;
        double priority = 0;
    };

    void stageSpares();
    std::vector<const served_replica *> withoutWeightsFirst(std::vector<const served_replica *> replicas) const;
    bool hasNoWeights(const served_replica &replica) const;
    bool mayStage(const served_replica &replica, const group_model &model) const;
    double loadPriority(const group_model &model, int requiredLoads, bool isGroupPossible) const;
    int countIdleWithoutWeights(const std::vector<const served_replica *> &replicas) const;
    std::vector<load_need> loadNeeds();
    void claimReadyReplicas();
    int readyOrStaging(const std::vector<const served_replica *> &replicas, const model_id &model) const;
    void stageServing();
    bool mayPrepare(const group_model &model) const;
    std::vector<const planned_group *> groupsToPrepare() const;
    void stageOtherModel(const planned_group &group, const instance_id &instance);
    const group_model *otherModel(const model_id &model) const;
    void stage(const served_replica &replica, const model_id &model);

    // Queries.

    const served_replica *find(const instance_id &instance) const;
    bool isAlive(const instance_id &instance) const;
    /// Whether the replica is alive and its entry states its present membership.
    bool isPresent(const instance_id &instance) const;
    /// Whether entries of live replicas may be missing or out of date since the key-value service was away.
    bool mayMissEntries() const;
    bool isAvoided(const instance_id &instance) const;
    /// Whether the replica is unknown or does not answer, so that its entry does not tell what it does now.
    bool isOutOfReach(const instance_id &instance) const;
    /// The ids of the members of all planned groups; valid until a group changes.
    std::unordered_set<std::string_view> plannedMembers() const;
    const group_model *findModel(const model_id &id) const;
    static bool isHoldingRequests(const served_replica &head);
    /// Whether the head's entry says that it holds requests, or is out of date.
    static bool mayHoldRequests(const served_replica &head);
    /// The listed head of the formation that a replica belongs to, or nullptr.
    const served_replica *headOf(const served_replica &replica) const;
    /// Whether the group that a replica belongs to may hold requests, as far as the entries show.
    bool mayGroupHoldRequests(const served_replica &replica) const;
    /// Whether the replica's head is open, closing or lapsed, and is not out of reach.
    bool isHeldByReachableHead(const served_replica &replica) const;
    /// Whether a replica has to leave its group before it may join another one, since the group is not known to have ended.
    bool mustLeave(const served_replica &replica) const;
    /// Whether the replica has accepted an order to leave the group that its entry still names.
    bool hasLeft(const served_replica &replica) const;
    /// The member that belongs to another group whose head is known to hold requests, or nullptr.
    const planned_member *findMemberHeldElsewhere(const planned_group &group) const;
    /// Whether a member may be ordered to join now: its entry is present and shows that it is free for the group.
    bool mayJoin(const planned_group &group, const planned_member &member) const;
    static bool wasHead(const served_replica &replica);
    /// The member's state, or nothing if the member does not report itself in this formation of the group.
    std::optional<member_state> stateOf(const planned_group &group, const planned_member &member) const;
    bool isReady(const planned_group &group, const planned_member &member) const;
    /// The member of a group that serves whose present entry does not name the group any more, or nullptr.
    const planned_member *findMemberThatLeft(const planned_group &group) const;
    /// Why a group cannot go on with its members; empty if it can.
    std::string memberProblem(const planned_group &group) const;
    /// Whether a group must close now because of its leaving member \a leaving.
    bool mustReplaceNow(const planned_group &group, const served_replica &leaving) const;
    /// Whether the replica is alive, not in backoff and in no planned group.
    bool isUnused(const served_replica &replica) const;
    bool isAnyMemberLost(const planned_group &group) const;
    bool isLost(const planned_member &member) const;
    /// Whether the member has never been listed here, and its entry may return.
    bool isAwaited(const planned_member &member) const;
    /// Whether the member has restarted since it was ordered to join.
    bool hasStartedAgain(const planned_member &member) const;
    static readiness readinessOf(const served_replica &replica, const model_id &model);
    duration joinTimeout(const planned_group &group) const;
    bool isStagingOver(const instance_id &instance, const assembly_state::staging &staging) const;
    /// Whether \a count more loads keep within the weight store's rate.
    bool mayLoad(std::size_t count) const;
    /// How many loads this coordinator may begin within policy.loadWindow.
    double loadsPerWindow() const;
    bool mayLoadBeforeTraffic(std::size_t count) const;
    std::size_t recentLoads() const;
    /// Whether a member's join begins a load.
    bool mustLoad(const planned_group &group, const planned_member &member) const;
    /// The number of orders that a replica has accepted, or nothing if it is unknown.
    std::optional<std::uint64_t> acceptedOrders(const instance_id &instance);
    bool mayOrder(const planned_member &member) const;

    // Stage changes and orders.

    void enterStage(planned_group &group, assembly_stage stage, const std::string &why);
    void logDecision(const planned_group &group, const std::string &what);
    void sendJoin(planned_group &group, planned_member &member);
    void send(planned_group &group, planned_member &member, order_kind kind);

    assembly_state &m_state;
    const assembly_view &m_view;
    std::vector<reported_group> m_reportedGroups;
    /// The listed heads of m_reportedGroups.
    std::map<group_id, const served_replica *> m_reportedHeads;
    bool m_mayMissEntries = false;
    std::vector<replica_order> m_orders;
    std::map<fabric_domain_id, std::vector<const served_replica *>> m_free;
    int m_usable = 0;
    /// Number of recorded loads that are older than policy.trafficReportDelay. Counted once per round, since it is needed for each domain
    /// and group.
    std::size_t m_olderLoads = 0;
    std::map<model_id, int> m_targets;
    mutable std::optional<std::map<model_id, group_count>> m_counts;
    /// Free replicas that must keep their weights, since the next group of their domain needs them.
    std::set<instance_id> m_claimed;
};

} // namespace vetchpost
