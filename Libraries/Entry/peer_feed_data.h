// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/dispatcher_naming.h"
#include "Libraries/Entry/feed_socket.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Feed/feed_role.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace vetchpost {

constexpr event_log feedLog("feed");

/// The state of a peer_feed and its functions, of which those that handle messages are defined in peer_feed_messages.cpp.
struct peer_feed::private_data
{
    const entry_settings &settings;
    const feed_timing timing;
    store_follower &store;
    shared_tables tables;
    std::function<std::vector<model_demand>()> localDemand;
    std::function<void(const stall_report &)> didReceiveStallReport;
    std::function<void(const group_stall_warning &)> didReceiveStallWarning;
    dispatcher_naming dispatcherNaming;
    feed_socket socket;

    mutable std::mutex mutex;
    feed_follower follower;
    feed_role role;
    /// The daemon that reads the key-value service for all, by the updates of this daemon's source. Permits are requested from it.
    std::optional<endpoint> origin;
    std::map<instance_id, instant> lastForwards;
    /// Set with the first request, or from the start if the system is running already.
    std::atomic<bool> wantsReplicas = false;
    std::atomic<bool> isStopping = false;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 store_follower &storeFollower,
                 const shared_tables &sharedTables,
                 dispatcher_directory &dispatchers,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> demandSource,
                 std::function<void(const stall_report &)> handleStallReport,
                 std::function<void(const group_stall_warning &)> stallWarningListener);

    /// The loop of the feed's thread.
    void run();
    /// Returns the source once it has answered; before that it may not know this daemon as a follower.
    std::optional<endpoint> answeringSource() const;
    std::optional<endpoint> knownOrigin() const;
    bool servesFollowers() const;
    bool isSource() const;
    /// Counts the daemons if this one is the source, and sets what its followers are told.
    void countDaemons();
    /// Sends the source and the followers what they lack of the tables.
    void syncTables();
    /// Requests a permit from the source. Returns false if none is known.
    bool requestPermit(const permit_request &request);
    /// Records the first request.
    void recordTraffic();
    duration untilSubscription() const;
    void subscribeIfDue();
    /// Drops the source, and follows the coordinator instead if it was a relay. Requires the mutex to be held.
    void abandonSource(const std::string &why);
    /// Returns false if no source is known.
    bool sendToSource(const stall_report &report);

    // Messages
    /// Waits up to \a time for a datagram, and handles it and those that have arrived since.
    void receiveDatagrams(duration time);
    void handle(const suspect_batch &batch, const endpoint &from);
    void handle(const suspect_ack &ack, const endpoint &from);
    void handle(const constraint_batch &batch, const endpoint &from);
    void handle(const constraint_ack &ack, const endpoint &from);
    void handle(const proxy_batch &batch, const endpoint &from);
    void handle(const proxy_ack &ack, const endpoint &from);
    void handle(const part_batch &batch, const endpoint &from);
    void handle(const part_ack &ack, const endpoint &from);
    void handle(const permit_request &request, const endpoint &from);
    void handle(const permit_response &response, const endpoint &from);
    void handle(const feed_subscription &subscription, const endpoint &from);
    void handle(const feed_referral &referral, const endpoint &from);
    void handle(const feed_update &update, const endpoint &from);
    void handle(const feed_end &message, const endpoint &from);
    void handle(const stall_report &report, const endpoint &from);
    void handle(const group_stall_warning &warning, const endpoint &from);
    bool mayForwardReport(const instance_id &head);
    bool isFromSource(const endpoint &from) const;
};

} // namespace vetchpost
