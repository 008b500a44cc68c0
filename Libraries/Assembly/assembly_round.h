// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// Formation numbers that each term reserves, so that the numbers of a successor are always higher.
constexpr std::uint64_t formationsPerTerm = 100000;
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
    void updateIncarnations();
    void resetInstance(const instance_id &instance);
    void updateDraining();
    void updateSilence();

    // Groups that an earlier coordinator formed.

    void adoptGroups();
    void adoptGroup(const reported_group &reported);
    static void addReturnedMembers(planned_group &group, const reported_group &reported);
    void closeUnplannedHeads();

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
    void erase(planned_group &group, const std::string &why);

    // Evacuated data centres.

    void updateEvacuatedGroups();
    bool isEvacuated(const served_replica &replica) const;
    bool isEvacuated(const planned_group &group) const;

    // Formation of groups from free replicas.

    void collectFreeReplicas();
    int smallestGroupSize() const;
    bool isSettled();
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
    void preemptForLargerModels();
    void formExtraGroups();
    bool isBusy(const fabric_domain_id &domain) const;
    std::vector<planned_group *> victimsFor(const group_model &model);
    std::map<fabric_domain_id, std::vector<planned_group *>> smallerGroups(const group_model &model);
    std::vector<planned_group *> victimsAmong(std::vector<planned_group *> groups, const group_model &model, int ready) const;
    /// Smaller groups of one domain that could be preempted for a group of a larger model.
    struct preemption_option
    {
        std::vector<planned_group *> groups;
        /// The free replicas of the domain, then the members of `groups`.
        std::vector<const served_replica *> replicas;
        /// How many of `replicas` must still load the larger model's weights.
        int requiredLoads = 0;
    };

    void stageForLargerModels();
    preemption_option cheapestPreemption(const group_model &model);
    preemption_option preemptionIn(const fabric_domain_id &domain, std::vector<planned_group *> groups, const group_model &model) const;
    void stageForPreemption(const group_model &model, const preemption_option &chosen);
    bool mayPreempt(const std::vector<planned_group *> &victims, const group_model &model) const;
    bool isPreemptionUnderWay() const;
    bool hasCapacityWithout(const group_model &model, int groups) const;
    int countReadyMembers(const planned_group &group, const model_id &model) const;
    void sortByReadyMembers(std::vector<planned_group *> &groups, const group_model &model) const;
    int countReadyWithFree(const planned_group &group, const model_id &model) const;
    static int countReady(const std::vector<const served_replica *> &replicas, const model_id &model);
    double stayingFraction(const group_model &model) const;
    std::vector<const served_replica *> availableFor(const group_model &model, const fabric_domain_id &domain) const;
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
    bool isAvoided(const instance_id &instance) const;
    bool isSilentAndUnlisted(const instance_id &instance) const;
    const group_model *findModel(const model_id &id) const;
    bool isHoldingRequests(const served_replica &head) const;
    static bool wasHead(const served_replica &replica);
    /// The member's state, or nothing if the member does not report itself in this formation of the group.
    std::optional<member_state> stateOf(const planned_group &group, const planned_member &member) const;
    bool isReady(const planned_group &group, const planned_member &member) const;
    /// Why a group cannot go on with its members; empty if it can.
    std::string memberProblem(const planned_group &group) const;
    /// Whether a group must close now because of its leaving member \a leaving.
    bool mustReplaceNow(const planned_group &group, const served_replica &leaving) const;
    /// Whether the replica is alive, not in backoff and in no planned group.
    bool isUnused(const served_replica &replica) const;
    bool isAnyMemberLost(const planned_group &group) const;
    bool isLost(const planned_member &member) const;
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
