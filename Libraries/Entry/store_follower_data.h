// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/replica_entries.h"
#include "Libraries/Entry/service_presence.h"
#include "Libraries/Entry/store_follower.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

constexpr event_log storeLog("store");
/// After a failed call.
constexpr duration retryPause(250);

/// What the two threads of a store_follower share, and how each goes on: configuration_reading and replica_reading.
struct store_follower::private_data
{
    key_value_service &keyValue;
    const entry_dialect &dialect;
    const feed_timing timing;
    std::function<void()> didChange;
    std::function<void(const std::vector<replica_key> &)> didSeeLeaving;
    counter undecodable;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::atomic<bool> isSource = false;
    std::atomic<bool> hasTraffic = false;
    /// The source told of another configuration.
    bool mustReadConfiguration = false;
    /// The source was in contact with the service at this moment.
    std::optional<instant> toldAt;
    feed_publisher feed;
    std::shared_ptr<const route_table> table;
    key_revision configurationRevision;
    std::optional<instant> currentAt;
    replica_entries entries;
    leaving_replicas leaving;
    std::shared_ptr<const replica_directory> published = std::make_shared<replica_directory>();
    std::optional<instant> lastListing;
    std::optional<instant> firstListing;
    /// The service's revision up to which the entries are known; 0 where they must be listed.
    std::uint64_t replicasUpTo = 0;
    /// A watch or a listing had no answer: only a listing that is asked for from then on, or the source, tells what was missed.
    std::optional<instant> mustListSince;
    /// The last watch brought so much that there is more. Of the thread that watches alone.
    bool isBehind = false;
    /// When all changes of the replicas up to then were known.
    std::optional<instant> replicasCurrentAt;
    service_presence presence{monotonicNow()};
    std::vector<std::thread> threads;

    private_data(key_value_service &service,
                 const entry_dialect &words,
                 const feed_timing &feedTiming,
                 metrics &counters,
                 std::function<void()> changed,
                 std::function<void(const std::vector<replica_key> &)> seeLeaving);

    /// False once the follower stops. Ends early with the first request.
    bool pause(duration time);
    /// Notes that the service answered or not, for the log.
    void noteAnswer(bool hasAnswered, const reason &why);
    /// How long the service was away before its present answers: only then may entries be missing whose replicas live.
    duration replicasOutage() const;
    /// Whether the source tells what the service holds, so that this daemon need not ask.
    bool isTold() const;
    /// The mutex is held.
    bool hasFollowersNow() const;
    /// The mutex is held.
    duration readingLimit() const;

    // The configuration.
    void followConfiguration();
    bool mustAskForConfiguration();
    /// False once the follower stops.
    bool pauseOfConfiguration(bool isKnown);
    /// Notes for the followers which configuration a read found.
    void noteConfigurationRead(key_revision found, instant asked);
    /// Whether there is a configuration.
    bool readConfiguration(bool isKnown);
    bool takeConfiguration(const key_value_entry &entry, instant asked);

    // The replicas.
    void followReplicas();
    /// After a watch without an answer the source, where it is heard, tells what was missed.
    bool needsListing(bool isFed) const;
    std::uint64_t upTo() const;
    duration changePause() const;
    bool list(read_freshness freshness);
    /// False where the service did not answer, or no longer holds what has changed.
    bool watch();
    /// What can be read of the entries; of the others the last good one stays.
    std::vector<replica_change> decodeAll(const std::vector<key_value_entry> &values);
    /// In the feed a departure stands behind all changes before it, which are thousands when the first request comes.
    void tellLeaving(const std::vector<replica_change> &changes) const;
    /// Whether there were any.
    bool takeChanges(const std::vector<replica_change> &changes);
    void giveUpLapsed();
    instance_id idOf(const key_value_entry &entry) const;
    std::optional<served_replica> decode(const key_value_entry &entry);
    /// Shows what is known in a new directory, and tells that it did.
    void publish();
    /// Shows it. The mutex is held.
    void showEntries();

    // What the source tells.
    void takeUpdate(const feed_update &update, std::optional<instant> asked);
    void noteTold(key_revision configuration, instant at);
};

} // namespace vetchpost
