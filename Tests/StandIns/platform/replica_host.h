// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/StandIns/platform/event_journal.h"
#include "Tests/StandIns/platform/replica_model.h"

#include <thread>

namespace vetchpost::test {

/// Time after which a replica that a request has crashed starts again.
constexpr duration crashDowntime(1500);

struct replica_faults
{
    /// The request runs and its answer is lost; a stream breaks off inside an event.
    fault_probability loseAnswers;
    /// Requests that are rejected as by a full replica.
    fault_probability rejections;
    /// The answer is replaced by bytes that are not valid HTTP.
    fault_probability garble;
    /// A complete answer is followed by surplus bytes.
    fault_probability extraBytes;
    /// Orders are not answered and take effect after a delay.
    fault_probability delayOrders;
    std::atomic<std::int64_t> orderDelayMs = 3000;
    /// An event arrives late, as if its packet were lost and retransmitted.
    fault_probability retransmissions;
    /// Replicas whose entries lapsed write them again within this time.
    std::atomic<std::int64_t> entryReturnMs = 0;
    /// Prefix of the bodies of requests that crash each replica that runs them; empty for none.
    std::string deadlyBody;
    /// Prefix of the parts of prompts that crash each replica which begins to answer them; empty for none.
    std::string deadlyPart;
    /// The time for which the port of a replica that a request has crashed outlives that request's connection.
    std::atomic<std::int64_t> exitMs = 0;
};

struct host_options
{
    duration heartbeat{400};
    /// The time that a replica takes for one token of a stream; an answer of a plain service takes a few of them.
    duration step{10};
    std::uint16_t basePort = 0;
};

/// Runs all replicas of the platform in one process. Each has a port of its own, and starts and stops independently.
class replica_host
{
public:
    replica_host(replica_simulation simulation, const host_options &options);
    ~replica_host();
    replica_host(const replica_host &) = delete;
    replica_host &operator=(const replica_host &) = delete;

    void setFaults(const Json::Value &json);
    Json::Value facts();
    const event_journal &journal() const;

    /// The entry that the store should hold for a replica.
    struct desired_entry
    {
        std::size_t number;
        std::string id;
        std::string text;
        bool isDraining;
    };
    /// Returns the time within which replicas whose entries lapsed write them again.
    duration entryReturnTime() const
    {
        return duration(m_faults.entryReturnMs);
    }
    /// Returns the entries of all replicas that are alive and not cut off.
    std::vector<desired_entry> desiredEntries();
    /// Schedules the end of a replica whose draining entry the store has accepted. Later calls have no effect.
    void scheduleTermination(const std::string &id);

private:
    struct delayed_order
    {
        instant at;
        std::string id;
        Json::Value order;
    };
    /// A request at a replica, waiting or running.
    struct running_request
    {
        std::size_t number;
        std::string id;
        std::uint64_t serving;
        std::string attempt;
        instant deadline;
        /// Number of the first event to send; greater than 1 if a stream is resumed.
        int firstEvent;
        int lastEvent;
        /// Its number in the replica's queue.
        std::uint64_t queued = 0;
        /// Whether it crashes the replica.
        bool isDeadly = false;
        /// Whether it crashes the replica once it is being answered.
        bool hasDeadlyPart = false;
    };
    /// A replica that a request has crashed, or will crash at the next tick, and when it starts again.
    struct crashed_replica
    {
        std::size_t number;
        std::string id;
        instant endsAt;
        instant restartsAt;
    };

    void startIncarnation(std::size_t number);
    void stopIncarnation(std::size_t number, bool isAnnounced);
    void handle(std::size_t number, http_exchange &exchange);
    void handleOrder(std::size_t number, http_exchange &exchange);
    void handleRequest(std::size_t number, http_exchange &exchange);
    bool waitForSlot(const running_request &request, http_exchange &exchange);
    void run(const running_request &request, http_exchange &exchange);
    void recordStart(const running_request &request);
    std::string sendPlainAnswer(const running_request &request, http_exchange &exchange);
    std::string sendStream(const running_request &request, http_exchange &exchange);
    std::string workFor(const running_request &request, const http_exchange &exchange, duration time);
    void refuse(const running_request &request, http_exchange &exchange, int status);
    std::vector<http_header> answerHeaders(const running_request &request);
    std::vector<http_header> noticeHeaders(const std::string &id, int status);
    void setNoticeFaults(stand_in_replica &replica, const Json::Value &json);
    void addNotices(const running_request &request, http_exchange &exchange, int status);
    void recordNotices(const running_request &request, int status);
    void runTicks();
    void tick();
    void stopDrained(instant now);
    std::string crashReplica(const running_request &request, const http_exchange &exchange);
    void crashAndRestart(instant now);
    /// Moves the model's events to the journal. The caller holds m_mutex.
    void flushEvents();
    void recordEvent(const char *what, const running_request &request, const char *name, const Json::Value &value);
    void waitWhilePaused(std::size_t number);
    bool isSilent(std::size_t number, const std::string &id);

    host_options m_options;
    replica_faults m_faults;
    event_journal m_journal;
    /// Locked before m_mutex.
    std::mutex m_incarnationsMutex;
    std::mutex m_mutex;
    replica_simulation m_simulation;
    /// Number of incarnations of each replica so far.
    std::vector<int> m_incarnations;
    /// Whether the last incarnation of each replica ended without notice.
    std::vector<bool> m_hasCrashed;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::vector<delayed_order> m_delayedOrders;
    std::vector<crashed_replica> m_crashedReplicas;
    /// When each draining replica stops, unless its group still has work, which delays the end for a limited time.
    std::map<std::string, instant> m_terminations;
    std::map<std::string, std::uint64_t> m_counts;
    std::atomic<bool> m_isStopping = false;
    std::thread m_ticker;
};

} // namespace vetchpost::test
