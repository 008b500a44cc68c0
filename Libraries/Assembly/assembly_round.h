// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// Terms are far apart in the numbers of formations, so that a successor's are always higher.
constexpr std::uint64_t formationsPerTerm = 100000;
/// With fewer loads than this under way, loads that only prepare for a loss get their turn.
constexpr std::size_t idleStoreLoads = 2;

/// How soon a replica could serve a model: it ran it last, it has it staged, or it must load it.
enum class readiness { same_model, staged, must_load };

/// One round of planAssembly(). Its parts stand in plan_assembly, group_steps, group_forming, group_preemption, weight_staging and
/// round_queries.
class assembly_round
{
public:
    assembly_round(assembly_state &state, const assembly_view &view);
    std::vector<replica_order> run();

private:
    void noteLives();
    void forget(const instance_id &instance);
    void noteDraining();
    void noteSilence();

    // What a predecessor left.

    void adopt();
    void adoptGroup(const seen_group &seen);
    static void addMissing(planned_group &group, const seen_group &seen);
    void closeStrays();

    // One step of each group.

    void advance(planned_group &group);
    void join(planned_group &group);
    void open(planned_group &group);
    void watch(planned_group &group);
    /// Counts the members that a group has lost, for what its loss asks of the others.
    void noteLosses(const planned_group &group);
    void beginClose(planned_group &group, close_method method, const std::string &why);
    void close(planned_group &group);
    void leave(planned_group &group);
    void dissolve(planned_group &group, const std::string &why);
    void erase(planned_group &group, const std::string &why);

    // New groups out of free replicas.

    void collectFree();
    int smallestGroup() const;
    bool isSettled();
    void formGroups();
    bool isFormingHeldUp() const;
    std::vector<const group_model *> modelsBySize() const;
    double presentPart(const group_model &model, int more = 0) const;
    bool isEnoughFree() const;
    const group_model *neediestModel() const;
    int presentGroups(const model_id &model) const;
    struct group_count
    {
        /// Those that end soon count for a while: they are mostly formed again.
        int present = 0;
        /// Without any that end.
        int staying = 0;
    };
    const group_count &countOf(const model_id &model) const;
    void preemptForLarger();
    void formExtra();
    bool isBusy(const fabric_domain_id &domain) const;
    std::vector<planned_group *> victimsFor(const group_model &model);
    std::map<fabric_domain_id, std::vector<planned_group *>> smallerGroups(const group_model &model);
    std::vector<planned_group *> victimsAmong(std::vector<planned_group *> groups, const group_model &model, int ready) const;
    /// Smaller groups of one domain that may give way to one of a larger model.
    struct exchange
    {
        std::vector<planned_group *> groups;
        /// Their members, after the free replicas of the domain.
        std::vector<const served_replica *> replicas;
        /// How many of these must still load the larger model's weights.
        int lacking = 0;
    };

    void stageForLarger();
    exchange cheapestExchange(const group_model &model);
    exchange exchangeIn(const fabric_domain_id &domain, std::vector<planned_group *> groups, const group_model &model) const;
    void stageExchange(const group_model &model, const exchange &chosen);
    bool mayGiveWay(const std::vector<planned_group *> &victims, const group_model &model) const;
    bool isAnyoneGivingWay() const;
    bool hasRoomWithout(const group_model &model, int groups) const;
    int readyMembers(const planned_group &group, const model_id &model) const;
    void sortByReadyMembers(std::vector<planned_group *> &groups, const group_model &model) const;
    int readyWith(const planned_group &group, const model_id &model) const;
    static int quickCount(const std::vector<const served_replica *> &replicas, const model_id &model);
    double partWithoutEnding(const group_model &model) const;
    std::vector<const served_replica *> availableFor(const group_model &model, const fabric_domain_id &domain) const;
    const fabric_domain_id *bestDomain(const group_model &model) const;
    std::vector<const served_replica *> soonest(std::vector<const served_replica *> replicas, const group_model &model) const;
    bool formOne(const group_model &model);
    void formIn(const group_model &model, const fabric_domain_id &domain);

    // Weights that are loaded beforehand.

    /// What a domain lacks for one more group of a model.
    struct load_need
    {
        fabric_domain_id domain;
        const group_model *model = nullptr;
        /// Replicas that must still load the weights.
        int lacking = 0;
        double worth = 0;
    };

    void stageSpares();
    std::vector<const served_replica *> blankFirst(std::vector<const served_replica *> replicas) const;
    bool isBlank(const served_replica &replica) const;
    bool mayStage(const served_replica &replica, const group_model &model) const;
    double worthOfLoad(const group_model &model, int lacking, bool hasRoom) const;
    int idleBlanks(const std::vector<const served_replica *> &replicas) const;
    std::vector<load_need> loadNeeds();
    void claimReady();
    int readyOrStaging(const std::vector<const served_replica *> &replicas, const model_id &model) const;
    void stageServing();
    bool hasRoomToPrepare(const group_model &model) const;
    std::vector<const planned_group *> groupsToPrepare() const;
    void stageAnother(const planned_group &group, const instance_id &instance);
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
    /// The member's state where it says that it stands in this formation; nothing otherwise.
    std::optional<member_state> stateOf(const planned_group &group, const planned_member &member) const;
    bool isReady(const planned_group &group, const planned_member &member) const;
    /// Why a group cannot go on with these members; empty where it can.
    std::string memberProblem(const planned_group &group) const;
    /// A leaving member stays while its head has work, for some seconds: its group serves on until a replacement is ready, or until shortly
    /// before the end. A leaving head takes nothing new.
    bool mustReplaceNow(const planned_group &group, const served_replica &leaving) const;
    /// Whether a live replica stands in no planned group.
    bool isUnused(const served_replica &replica) const;
    bool isAnyoneLost(const planned_group &group) const;
    bool isLost(const planned_member &member) const;
    /// Whether the member has started again since it was given its place.
    bool hasStartedAgain(const planned_member &member) const;
    static readiness readinessOf(const served_replica &replica, const model_id &model);
    duration joinPatience(const planned_group &group) const;
    bool isStagingOver(const instance_id &instance, const assembly_state::staging &staging) const;
    /// Whether so many more loads keep within the weight store's rate.
    bool mayLoad(std::size_t count) const;
    /// How many loads may begin within a window by this coordinator.
    double loadsPerWindow() const;
    bool mayLoadBeforeTraffic(std::size_t count) const;
    std::size_t recentLoads() const;
    /// Whether a member's join begins a load.
    bool mustLoad(const planned_group &group, const planned_member &member) const;
    /// How many orders a replica has taken: none where it has nothing to show for one.
    std::optional<std::uint64_t> ordersTaken(const instance_id &instance);
    bool mayOrder(const planned_member &member) const;

    // Commands.

    void enter(planned_group &group, assembly_stage stage, const std::string &why);
    void decide(const planned_group &group, const std::string &what);
    void sendJoin(planned_group &group, planned_member &member);
    void send(planned_group &group, planned_member &member, order_kind kind);

    assembly_state &m_state;
    const assembly_view &m_view;
    std::vector<seen_group> m_seen;
    std::vector<replica_order> m_orders;
    std::map<fabric_domain_id, std::vector<const served_replica *>> m_free;
    int m_usable = 0;
    /// Of the loads in the state those that began before whoever had a first request would have told by now. Counted once a round: it is
    /// asked for each domain and group.
    std::size_t m_olderLoads = 0;
    std::map<model_id, int> m_targets;
    mutable std::optional<std::map<model_id, group_count>> m_counts;
    /// Free replicas that the next group of their domain needs as they are.
    std::set<instance_id> m_claimed;
};

} // namespace vetchpost
