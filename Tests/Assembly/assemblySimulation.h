// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Assembly/self_check.h"
#include "Libraries/Assembly/silent_replicas.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// A simulated replica: executes orders and reports its state as the engines do, without sockets.
struct fake_replica
{
    served_replica reportedState;
    bool isAlive = true;
    /// The highest formation that this incarnation has joined.
    formation highest;
    /// The highest formation that any incarnation under this id has joined.
    formation highestEver;
    std::vector<instance_id> members;
    /// The model that it runs or ran last; kept when it leaves a group.
    std::optional<model_id> runModel;
    std::optional<instant> readyAt;
    std::optional<instant> opensAt;
    std::optional<instant> closedAt;
    std::optional<instant> stagedAt;
    model_id staging;
    /// Since when a head has been stalled because of a lost member.
    std::optional<instant> stalledSince;
    std::uint64_t acceptedOrders = 0;
    /// Values of acceptedOrders and when they were reached; probes return them late.
    std::deque<std::pair<instant, std::uint64_t>> reportedCounts;
};

/// One action of the fuzzer.
struct assembly_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

/// Simulates replicas, orders in transit and successive coordinators in virtual time. violation() tells whether an invariant was broken.
class assembly_simulation
{
public:
    assembly_simulation(int domains, int perDomain, std::uint64_t seed);
    assembly_simulation(engine_description engine, int domains, int perDomain, std::uint64_t seed);

    void apply(const assembly_step &step);
    void advance(duration time);
    /// Ends all faults, advances until no late order can arrive, and then by at most \a time until all wanted groups serve.
    void heal(duration time);
    /// Replaces the coordinator by one with empty state.
    void takeOver();
    void lose(const instance_id &replica);
    /// Restarts a replica under its id; it keeps only its host's weights.
    void restart(const instance_id &replica);
    void drain(const instance_id &replica);
    /// Ends all replicas of a domain. After \a time new ones start with the same hosts' weights.
    void loseDomain(int domain, duration time);
    void addEmpty(int domain);
    /// For \a time neither the coordinator nor the key-value service reaches the replica, while its group's other members do.
    void cutOff(const instance_id &replica, duration time);
    /// Evacuates the data centres of these domains; each domain has one of its own.
    void evacuate(const std::set<int> &domains);
    /// How many open groups of a model a domain has.
    int openGroupsIn(int domain, const model_id &model) const;
    /// How many orders the replicas of a domain have accepted.
    std::uint64_t ordersAcceptedIn(int domain) const;
    /// The number of a replica's domain.
    int domainOf(const instance_id &replica) const;
    void beginTraffic();
    /// The first request comes to another daemon; the coordinator learns of it after \a reportDelay.
    void beginTrafficOnOtherDaemon(duration reportDelay);
    /// Limits the coordinator to this many orders per tick of 50 ms; the others are queued.
    void limitSendRate(int ordersPerTick);
    /// Sets the number of loads that may begin per second.
    void setLoadRate(double loadsPerSecond);
    /// From now on a dead replica stays listed until its heartbeats are missed, and daemons find it silent before that.
    void detectDeaths();
    /// The coordinator probes all replicas repeatedly for \a time, as if requests had stalled everywhere.
    void probeAllFor(duration time);
    /// For \a time no replica answers the coordinator in time, since its own link or processor is overloaded.
    void slowOwnLinkFor(duration time);
    /// Leaves each host only the weights of the model that its replica runs.
    void evictOtherWeights();
    /// How many replicas the coordinator suspects because of its own probes.
    std::size_t suspectedReplicas() const;
    /// The key-value service is away for \a time, in which all leases end: the coordinator's and those of most replicas' entries. The
    /// replicas write theirs again within two seconds, and the next coordinator knows nothing of before, or what one of its outages left.
    void loseStoreFor(duration time);
    /// The coordinator loses its lease. After \a time another one begins with empty state.
    void loseLeaseFor(duration time);

    const std::string &violation() const;
    int servingGroups(const model_id &model) const;
    int wantedGroups(const model_id &model) const;
    std::vector<instance_id> membersOfAnyGroup(const model_id &model) const;
    /// The members of the open group of the model that \a randomValue selects.
    std::vector<instance_id> membersOfAnyGroup(const model_id &model, std::uint64_t randomValue) const;
    /// The members of each open group of a model.
    std::vector<std::vector<instance_id>> openGroups(const model_id &model) const;
    /// The size of a replica's group; 0 if it has none.
    std::size_t groupSizeOf(const instance_id &replica) const;
    /// How many other replicas are members of a group of this head.
    int membersHeldBy(const instance_id &head) const;
    /// The members of a group of the larger model in whose domain a group of the smaller one serves.
    std::vector<instance_id> membersBesideSmallGroup() const;
    const engine_description &engine() const;
    int loadsBegun() const;
    std::string describe() const;
    /// One line with, for each domain, the sizes of its open groups and the models that its other replicas are ready for.
    std::string summary() const;
    /// The most replicas of one domain that are in no planned group and are ready for the model.
    int freeAndReady(const model_id &model) const;
    /// The number of replicas that are alive and in no open group.
    int idleReplicas() const;
    /// From now on the coordinator's decisions are printed.
    void printDecisions();
    /// The time since beginTraffic() during which wanted groups of the model did not serve, summed over the missing groups.
    duration downtime(const model_id &model) const;

private:
    struct order_in_transit
    {
        replica_order order;
        instant arrives;
        /// When the answer arrives; nothing if it is lost.
        std::optional<instant> answered;
        std::uint64_t term = 0;
    };
    struct answer_in_transit
    {
        replica_order order;
        order_answer answer;
        instant arrives;
        std::uint64_t term = 0;
    };

    void tick();
    void plan();
    void probeAll();
    bool isTrafficKnown() const;
    void sendDue();
    void send(const replica_order &order);
    bool isAnswering(const served_replica &replica) const;
    /// What the coordinator knows of a replica that is cut off; nothing if it has forgotten it.
    std::optional<served_replica> lastKnown(const instance_id &replica) const;
    void deliver();
    order_answer receive(fake_replica &replica, const replica_order &order);
    order_result execute(fake_replica &replica, const replica_order &order);
    order_result join(fake_replica &replica, const replica_order &order);
    void completeTransitions(fake_replica &replica);
    void updateStall(fake_replica &head);
    void recordLoad();
    void recordViolation(const std::string &what);
    fake_replica *find(const instance_id &id);
    fake_replica *headOf(const fake_replica &replica);
    const group_model &model(const model_id &id) const;
    std::uint64_t random();
    duration randomDelay(duration limit);
    void addReplica(int domain, const std::vector<model_id> &staged);
    bool isListed(const instance_id &replica) const;
    /// The directory of the coordinator: the listed replicas, and lapsed ones that it remembers.
    replica_directory knownReplicas() const;

    std::map<instance_id, fake_replica> m_replicas;
    replica_directory m_directory;
    std::deque<std::pair<instant, replica_directory>> m_history;
    std::vector<order_in_transit> m_orders;
    std::vector<answer_in_transit> m_answers;
    assembly_state m_state;
    engine_description m_engine;
    std::size_t m_loadsAllowed;
    service_id m_service{"large"};
    instant m_now{duration(1000000)};
    instant m_start{duration(1000000)};
    instant m_answersLostUntil;
    instant m_ordersLateUntil;
    instant m_planningStartsAt;
    /// When the key-value service returned from its last outage, or will.
    instant m_storeBackAt;
    /// When each replica whose entry lapsed writes it again.
    std::map<instance_id, instant> m_listedAgainAt;
    /// What the coordinator remembers from before an outage.
    replica_directory m_remembered;
    struct dark_host
    {
        int domain = 0;
        std::vector<model_id> staged;
        instant back;
    };
    std::vector<dark_host> m_darkHosts;
    struct cut_off
    {
        instant since;
        instant until;
        served_replica lastEntry;
        /// Whether the coordinator read the entry again before it lapsed, which shows that the replica is not leaving.
        bool isKnownToStay = false;
    };
    std::map<instance_id, cut_off> m_cutOff;
    std::set<data_centre_id> m_evacuated;
    bool m_detectsDeaths = false;
    bool m_printsDecisions = false;
    silent_replicas m_silent;
    self_check_state m_selfCheck;
    instant m_probesUntil;
    instant m_linkSlowUntil;
    /// When each dead replica that is still listed died.
    std::map<instance_id, instant> m_deadSince;
    std::deque<instant> m_loads;
    std::map<model_id, duration> m_downtime;
    bool m_hasTraffic = false;
    instant m_learnsOfTrafficAt;
    std::optional<int> m_ordersPerTick;
    /// Planned orders that have not been sent yet.
    std::deque<replica_order> m_waiting;
    int m_loadsBegun = 0;
    int m_replicaCount = 0;
    std::uint64_t m_term = 1;
    std::uint64_t m_randomState;
    std::string m_violation;
};

/// Six domains of eight replicas whose groups were formed before the first request.
assembly_simulation assembledSimulation();

} // namespace vetchpost::test
