// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Assembly/own_trouble.h"
#include "Libraries/Assembly/silent_replicas.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// A replica without its sockets: takes orders and reports itself as the engines do.
struct fake_replica
{
    served_replica said;
    bool isAlive = true;
    /// The highest formation that this life has seen.
    formation highest;
    /// The highest that any life under this id has seen.
    formation highestEver;
    std::vector<instance_id> members;
    /// The model that it runs; kept when it leaves a group.
    std::optional<model_id> ran;
    std::optional<instant> readyAt;
    std::optional<instant> opensAt;
    std::optional<instant> closedAt;
    std::optional<instant> stagedAt;
    model_id staging;
    /// A head that lost a member moves nothing from then on.
    std::optional<instant> standsStillSince;
    std::uint64_t ordersTaken = 0;
    /// What it reports of the number, with when.
    std::deque<std::pair<instant, std::uint64_t>> reported;
};

/// One thing that the fuzzer does to the world.
struct assembly_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

/// Replicas, the orders on their way and one coordinator after another, in virtual time. The oracle is violation().
class assembly_world
{
public:
    assembly_world(int domains, int perDomain, std::uint64_t seed);

    void apply(const assembly_step &step);
    void advance(duration time);
    /// Ends all faults and lets time pass until all wanted groups serve.
    void heal(duration time);
    /// The coordinator is replaced by one that knows nothing.
    void takeOver();
    void lose(const instance_id &replica);
    /// The replica starts again under its id: it holds nothing but its host's weights.
    void restart(const instance_id &replica);
    void drain(const instance_id &replica);
    /// All replicas of a domain are dark for so long, and come back as new lives with their hosts' weights.
    void loseDomain(int domain, duration time);
    void addEmpty(int domain);
    void beginTraffic();
    /// The first request comes to another daemon: the coordinator hears of it so much later.
    void beginTrafficElsewhere(duration heardAfter);
    /// The coordinator sends so many orders each 50 ms; the others wait for their turn.
    void sendSlowly(int ordersPerTick);
    /// So many loads may begin a second.
    void setLoadRate(double loadsPerSecond);
    /// From now on a dead replica stays listed until its heartbeats are missed, and daemons find it silent before.
    void detectDeaths();
    /// The coordinator looks at all replicas directly again and again for so long, as if requests stood still everywhere.
    void lookAtAllFor(duration time);
    /// Nobody answers the coordinator in time, since its own link or processor is overloaded.
    void slowOwnLinkFor(duration time);
    /// How many replicas the coordinator believes dead by its own looks.
    std::size_t suspectedReplicas() const;

    const std::string &violation() const;
    int servingGroups(const model_id &model) const;
    int wantedGroups(const model_id &model) const;
    std::vector<instance_id> membersOfSomeGroup(const model_id &model) const;
    /// Of the model's open groups the one that \a draw picks.
    std::vector<instance_id> membersOfSomeGroup(const model_id &model, std::uint64_t draw) const;
    /// The members of each open group of a model.
    std::vector<std::vector<instance_id>> openGroups(const model_id &model) const;
    /// The size of the group that a replica stands in; 0 where it stands in none.
    std::size_t groupSizeOf(const instance_id &replica) const;
    /// Of a group of the larger model in whose domain a group of the smaller one serves.
    std::vector<instance_id> membersBesideSmallGroup() const;
    const engine_description &engine() const;
    int loadsBegun() const;
    std::string describe() const;
    /// One line: for each domain its open groups' sizes, then its other replicas by what they are ready for.
    std::string summary() const;
    /// How long fewer groups of the model served than wanted, since beginTraffic().
    duration downtime(const model_id &model) const;

private:
    struct travelling_order
    {
        replica_order order;
        instant arrives;
        /// Nothing where the answer is lost.
        std::optional<instant> answered;
        std::uint64_t term = 0;
    };
    struct travelling_answer
    {
        replica_order order;
        order_answer answer;
        instant arrives;
        std::uint64_t term = 0;
    };

    void tick();
    void plan();
    void look();
    bool isTrafficKnown() const;
    void sendDue();
    void send(const replica_order &order);
    bool isAnswering(const served_replica &replica) const;
    void deliver();
    order_answer take(fake_replica &replica, const replica_order &order);
    order_result obey(fake_replica &replica, const replica_order &order);
    order_result join(fake_replica &replica, const replica_order &order);
    void settle(fake_replica &replica);
    void checkHead(fake_replica &head);
    void noteLoad();
    void breakRule(const std::string &what);
    fake_replica *find(const instance_id &id);
    fake_replica *headOf(const fake_replica &replica);
    const group_model &model(const model_id &id) const;
    std::uint64_t random();
    duration randomDelay(duration most);
    void addReplica(int domain, const std::vector<model_id> &staged);

    std::map<instance_id, fake_replica> m_replicas;
    replica_directory m_directory;
    std::deque<std::pair<instant, replica_directory>> m_history;
    std::vector<travelling_order> m_orders;
    std::vector<travelling_answer> m_answers;
    assembly_state m_state;
    engine_description m_engine;
    service_id m_service{"large"};
    instant m_now{duration(1000000)};
    instant m_start{duration(1000000)};
    instant m_answersLostUntil;
    instant m_ordersLateUntil;
    instant m_plansFrom;
    struct dark_host
    {
        int domain = 0;
        std::vector<model_id> staged;
        instant back;
    };
    std::vector<dark_host> m_darkHosts;
    bool m_detectsDeaths = false;
    silent_replicas m_silent;
    own_trouble m_trouble;
    instant m_looksUntil;
    instant m_linkSlowUntil;
    /// When each replica that stays listed has died.
    std::map<instance_id, instant> m_died;
    std::deque<instant> m_loads;
    std::map<model_id, duration> m_downtime;
    bool m_hasTraffic = false;
    instant m_hearsTrafficAt;
    std::optional<int> m_ordersPerTick;
    /// Planned, and not sent yet.
    std::deque<replica_order> m_waiting;
    int m_loadsBegun = 0;
    int m_replicasMade = 0;
    std::uint64_t m_term = 1;
    std::uint64_t m_randomState;
    std::string m_violation;
};

/// Six domains of eight, assembled before the first request.
assembly_world assembledWorld();

} // namespace vetchpost::test
