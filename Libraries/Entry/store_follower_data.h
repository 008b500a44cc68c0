// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/configuration_confirmation.h"
#include "Libraries/Entry/replica_entries.h"
#include "Libraries/Entry/service_availability.h"
#include "Libraries/Entry/store_follower.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

constexpr event_log storeLog("store");
/// Pause after a failed call of the service.
constexpr duration retryPause(250);
/// Limit on the unreadable evacuations that are remembered so that each is logged once.
constexpr std::size_t maxUnreadableEvacuations = 100;
/// Limit on the leaving replicas that are remembered so that each is logged once.
constexpr std::size_t maxLoggedLeaving = 2000;

/// The state that the threads of a store_follower share, and the functions of each, which are defined in configuration_reading.cpp,
/// replica_reading.cpp and evacuation_reading.cpp.
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
    std::atomic<bool> isColdPaced = false;
    /// Whether the replicas' entries say when their process started.
    std::atomic<bool> areIncarnationsTold = false;
    /// The source has announced a newer configuration.
    bool mustReadConfiguration = false;
    /// When the source last knew which configuration the service holds, and when it last knew that this is the newest.
    std::optional<instant> sourceCurrentAt;
    std::optional<instant> sourceConfirmedAt;
    /// What the followers of this daemon are sent.
    feed_publisher feed;
    /// The routes of the configuration; nullptr before the first one.
    std::shared_ptr<const route_table> table;
    key_revision configurationRevision;
    /// The latest revision of the configuration that was read, also if it was not put into force.
    key_revision readConfigurationRevision;
    /// When the configuration was last known to be the one in the service, and when it was last known to be the newest.
    std::optional<instant> comparedAt;
    std::optional<instant> currentAt;
    configuration_confirmation confirmation;
    replica_entries entries;
    leaving_replicas leaving;
    /// The directory that readers get.
    std::shared_ptr<const replica_directory> published = std::make_shared<replica_directory>();
    /// When the last complete listing began.
    std::optional<instant> lastListing;
    /// Since when all changes of the entries are known: the first listing, or the first one after an outage.
    std::optional<instant> followedSince;
    /// The service's revision up to which the entries are known; none if they must be listed.
    store_revision replicasUpTo;
    /// The service's era in which the entries were last listed.
    store_era listedEra;
    /// When a watch or a listing failed. Only a listing that begins later, or an update from the source, shows the changes that were
    /// missed.
    std::optional<instant> mustListSince;
    /// The last watch returned so many changes that there are more. Used only by the thread that watches.
    bool isBehind = false;
    /// The latest time up to which all changes of the replicas are known.
    std::optional<instant> replicasCurrentAt;
    /// Whether evacuated data centres are read. Set before the threads start.
    bool areEvacuationsOn = false;
    evacuation_timing evacuationTimes;
    /// A watch cannot tell the present set: the history was lost, or an entry was removed.
    bool isEvacuationListingDue = false;
    /// Until when evacuations that the service has lost by coming back from an older copy are kept; nothing if it has not recently.
    std::optional<instant> keepEvacuationsUntil;
    /// The replicas whose departure was logged.
    std::set<replica_key> loggedLeaving;
    /// The evacuated data centres that were logged.
    std::set<data_centre_id> loggedEvacuations;
    /// The keys of unreadable evacuations that were logged, each with its problem.
    std::set<std::pair<std::string, std::string>> unreadableEvacuations;
    service_availability availability{monotonicNow()};
    std::vector<std::thread> threads;

    private_data(key_value_service &service,
                 const entry_dialect &entryDialect,
                 const feed_timing &feedTiming,
                 metrics &counters,
                 std::function<void()> changeListener,
                 std::function<void(const std::vector<replica_key> &)> leavingListener);

    /// Waits for \a time, or until the first request arrives. Returns false once the follower stops.
    bool pause(duration time);
    /// Records whether the service answered a call, and logs when an outage begins or ends.
    void recordServiceAnswer(bool hasAnswered, const reason &why);
    /// Records the era that the service or the source names, and logs a new one. Requires the mutex to be held.
    void recordEra(store_era era);
    /// Returns the duration of a current or recent outage of the service, after which entries of live replicas may be missing; zero if
    /// there was none. Requires the mutex to be held.
    duration recentOutage(instant now) const;
    /// Updates followedSince with a listing asked for at \a asked; \a hasOutage: entries of live replicas may be missing in it. Requires
    /// the mutex to be held.
    void updateFollowedSince(instant asked, bool hasOutage);
    /// Whether the source's updates are recent enough that this daemon need not call the service.
    bool isSourceCurrent() const;
    /// Whether this daemon relays the feed to others. Requires the mutex to be held.
    bool hasFollowers() const;
    /// Returns the age from which on the configuration is read again. Requires the mutex to be held.
    duration maximumConfigurationAge() const;

    // Configuration
    /// The loop of the thread that reads the configuration.
    void followConfiguration();
    /// Whether to read the configuration now. Resets mustReadConfiguration.
    bool isConfigurationReadDue();
    /// When the configuration has to be read again; nothing if it has not been read. Requires the mutex to be held.
    std::optional<instant> nextConfigurationRead() const;
    /// Waits until the next read may be due. Returns false once the follower stops.
    bool waitBeforeConfigurationRead(bool isKnown);
    /// Reads whether the present era is settled, if this daemon has just started or awaits what may be written again.
    void readSettledEra();
    /// Declares the present era as settled for daemons that start, if this daemon is the source and that is so.
    void declareSettledEra();
    /// Records the revision that a read found, for the followers.
    void recordConfigurationRead(key_revision found, instant asked);
    /// Reads the configuration. Returns whether the service has a readable one. \a isKnown: one has been read before.
    bool readConfiguration(bool isKnown);
    /// Records that \a table was the configuration in the service at \a asked. Requires the mutex to be held.
    void recordComparison(key_revision revision, instant asked);
    /// Puts a configuration into force unless it is older than the present one. Returns false if it cannot be decoded.
    bool applyConfiguration(const key_value_entry &entry, instant asked);

    // Replicas
    /// The loop of the thread that follows the replicas.
    void followReplicas();
    /// Whether the entries must be listed. After a failed watch an active source (\a isFed) sends the missed changes instead.
    bool needsListing(bool isFed) const;
    /// Returns replicasUpTo under the mutex.
    store_revision upTo() const;
    duration pauseBetweenWatches() const;
    /// Lists the entries and publishes a new directory. Returns false if the service did not answer.
    bool list(read_freshness freshness);
    /// Waits for changes of the entries and applies them. Returns false if the service did not answer or has lost the history of the
    /// changes.
    bool watch();
    /// Decodes entries, and leaves out those that are unreadable, so that the last readable ones stay.
    std::vector<replica_change> decodeAll(const std::vector<key_value_entry> &values);
    /// Reports the replicas whose entries say that they leave to didSeeLeaving. The feed alone would be too slow: it sends a departure
    /// after all earlier changes, which are thousands when the first request arrives.
    void reportLeaving(const std::vector<replica_change> &changes) const;
    /// Logs each replica whose entry says that it leaves, once for each incarnation. \a from names where the entry was received.
    void logLeaving(const std::vector<replica_change> &changes, const char *from);
    /// Applies changes of entries. Returns whether there were any.
    bool applyReplicaChanges(const std::vector<replica_change> &changes);
    /// Removes lapsed and unlisted replicas whose time is over, and publishes a new directory if there were any.
    void removeLapsedEntries();
    instance_id replicaIdOf(const key_value_entry &entry) const;
    /// Removes the changes of entries that say nothing of the start of their replica, if entries of others do: another writer has written
    /// them.
    void dropWithoutIncarnation(std::vector<replica_change> &changes);
    void recordUnreadable(const std::string &key, const std::string &why);
    /// Decodes an entry; nothing if it is unreadable, which is logged.
    std::optional<served_replica> decode(const key_value_entry &entry);
    /// Rebuilds the published directory, and calls didChange.
    void publish();
    /// Rebuilds the published directory from the entries and the announced departures. Requires the mutex to be held.
    void rebuildDirectory();

    // Evacuated data centres
    /// The loop of the thread that follows the evacuated data centres.
    void followEvacuations();
    /// Whether the evacuations must be listed. \a isNewSource: this daemon has not listed them since it became the source.
    bool mustListEvacuations(bool isNewSource) const;
    /// Lists the evacuations. Returns false if the service did not answer.
    bool listEvacuations();
    /// Adds to a listing the evacuations known before, while the operator may still have to write them again. Requires the mutex to be
    /// held.
    void keepLostEvacuations(evacuation_report &report, instant asked);
    /// Waits for changes of the evacuations. Returns false if the service did not answer.
    bool watchEvacuations();
    /// Returns the data centre that an entry evacuates; nothing if its name is invalid, which is logged.
    std::optional<data_centre_id> readEvacuation(const key_value_entry &entry);
    void logUnreadableEvacuation(const std::string &key, const std::string &why);
    /// Applies the set in an update of the source. Returns whether the data centres have changed.
    bool applyEvacuations(const feed_update &update, std::optional<instant> asked);
    /// Logs and publishes the new set if it has changed.
    void finishEvacuationChange(bool hasChanged);
    void logEvacuations();

    // Updates from the source
    void applyUpdate(const feed_update &update, std::optional<instant> asked);
    /// Records that \a configuration was the newest revision at \a at, and triggers a read if this daemon has an older one.
    void recordSourceConfiguration(key_revision configuration, instant at);
};

} // namespace vetchpost
