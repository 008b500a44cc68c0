// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/StandIns/platform/event_journal.h"
#include "Tests/StandIns/platform/replica_model.h"

#include <thread>

namespace vetchpost::test {

/// A replica that ended under a request is back after this time.
constexpr duration endLength(1500);

struct replica_faults
{
    /// Answers of requests that ran and are then lost; a stream breaks off inside an event.
    fault_share loseAnswers;
    /// Bytes that are no answer.
    fault_share garble;
    /// Bytes after a whole answer.
    fault_share extraBytes;
    /// Orders without an answer that are carried out later.
    fault_share lateOrders;
    std::atomic<std::int64_t> lateOrdersMs = 3000;
    /// A request whose body begins so ends each replica that runs it; empty for none.
    std::string deadlyBody;
};

struct host_options
{
    duration heartbeat{400};
    duration step{10};
    std::uint16_t basePort = 0;
};

/// The replicas of the platform: each with a port and lives of its own, all in one process.
class replica_host
{
public:
    replica_host(replica_world world, const host_options &options);
    ~replica_host();
    replica_host(const replica_host &) = delete;
    replica_host &operator=(const replica_host &) = delete;

    void setFaults(const Json::Value &json);
    Json::Value facts();
    const event_journal &journal() const;

    /// What the store is to hold of one replica.
    struct wanted_entry
    {
        std::size_t number;
        std::string id;
        std::string text;
        bool isDraining;
    };
    /// The entries of all replicas that live and are not cut off.
    std::vector<wanted_entry> wantedEntries();
    /// The store has accepted that the replica is leaving: it ends after the time that the platform leaves it.
    void noteDrainingAccepted(const std::string &id);

private:
    struct late_order
    {
        instant at;
        std::string id;
        Json::Value order;
    };
    /// One request at one replica.
    struct running_request
    {
        std::size_t number;
        std::string id;
        std::uint64_t serving;
        std::string attempt;
        instant deadline;
        /// The first event that is wanted.
        int firstEvent;
        int lastEvent;
        /// It ends the replica.
        bool isDeadly = false;
    };
    /// A replica that ended under a request, or will in the next moment, and when it starts again.
    struct ended_replica
    {
        std::size_t number;
        std::string id;
        instant startsAt;
    };

    void startIncarnation(std::size_t number);
    void stopIncarnation(std::size_t number, bool isAnnounced);
    void handle(std::size_t number, http_exchange &exchange);
    void handleOrder(std::size_t number, http_exchange &exchange);
    void handleRequest(std::size_t number, http_exchange &exchange);
    bool waitForSlot(const running_request &request, http_exchange &exchange);
    void run(const running_request &request, http_exchange &exchange);
    void begin(const running_request &request);
    std::string answer(const running_request &request, http_exchange &exchange);
    std::string stream(const running_request &request, http_exchange &exchange);
    std::string pause(const running_request &request, const http_exchange &exchange, duration time);
    void refuse(const running_request &request, http_exchange &exchange, int status);
    std::vector<http_header> answerHeaders(const running_request &request);
    std::vector<http_header> noticesOf(const std::string &id, int status);
    void setNotices(stand_in_replica &replica, const Json::Value &json);
    void addNotices(const running_request &request, http_exchange &exchange, int status);
    void noteTold(const running_request &request, int status);
    void runTicks();
    void tick();
    void endDrained(instant now);
    std::string endReplica(const running_request &request, const http_exchange &exchange);
    void endAndStartAgain(instant now);
    /// Moves the model's events to the journal; with the mutex held.
    void passEvents();
    void note(const char *what, const running_request &request, const char *name, const Json::Value &value);
    bool isSilent(std::size_t number, const std::string &id);

    host_options m_options;
    replica_faults m_faults;
    event_journal m_journal;
    /// Taken before the other one.
    std::mutex m_incarnationsMutex;
    std::mutex m_mutex;
    replica_world m_world;
    std::vector<int> m_lives;
    /// Replicas whose last life ended without notice.
    std::vector<bool> m_hasCrashed;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::vector<late_order> m_lateOrders;
    std::vector<ended_replica> m_endedReplicas;
    /// When a leaving replica may end, and when it ends in any case.
    std::map<std::string, instant> m_ends;
    std::map<std::string, std::uint64_t> m_counts;
    std::atomic<bool> m_isStopping = false;
    std::thread m_ticker;
};

} // namespace vetchpost::test
