// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/store_follower.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/replica_entries.h"
#include "Libraries/Entry/service_presence.h"
#include "Libraries/Feed/feed_relays.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log storeLog("store");
/// Before the first configuration; these reads may be stale and cost a tenth.
constexpr duration firstConfigurationPeriod(250);
/// After a failed call.
constexpr duration retryPause(250);
/// How long a watch waits: a silent service is noticed after this time at most.
constexpr duration watchWait(3000);
/// Between the answers of two watches of a daemon that is not told, so that changes which come together cost one call. The source goes
/// nearly without: each order waits for what the order before it changed.
constexpr duration watchPause(500);
constexpr duration sourceWatchPause(40);
/// Before the first request nothing is routed yet, but whole groups come: a listing that may be a little old tells in a few cheap reads
/// what many watches would.
constexpr duration idleListingPeriod(3000);
/// From so many changes on an answer is followed by the next watch at once: a service tells only some of them at a time (500 on the
/// platform). With a pause after each, daemons before many replicas would know no place when the first request comes.
constexpr std::size_t manyChanges = 200;
/// How often a daemon that is told looks whether it still is, and gives up lapsed entries.
constexpr duration toldPeriod(400);

} // namespace

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
    feed_source feed;
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
    /// A watch had no answer: only a listing, or the source, tells what was missed.
    bool mustList = false;
    /// The last watch brought so much that there is more. Of the thread that watches alone.
    bool isBehind = false;
    /// When all changes of the replicas up to then were known.
    std::optional<instant> replicasSeenAt;
    service_presence presence{monotonicNow()};
    std::vector<std::thread> threads;

    private_data(key_value_service &service,
                 const entry_dialect &words,
                 const feed_timing &feedTiming,
                 metrics &counters,
                 std::function<void()> changed,
                 std::function<void(const std::vector<replica_key> &)> seeLeaving)
        : keyValue(service)
        , dialect(words)
        , timing(feedTiming)
        , didChange(std::move(changed))
        , didSeeLeaving(std::move(seeLeaving))
        , undecodable(counters.addCounter("vetchpost_undecodable_entries_total", "Values of the key-value service that could not be read."))
    {
    }

    /// False once the follower stops. Ends early with the first request.
    bool pause(duration time)
    {
        std::unique_lock lock(mutex);
        const bool wasIdle = !hasTraffic;
        wake.wait_for(lock, time, [&] { return isStopping || (wasIdle && hasTraffic); });
        return !isStopping;
    }

    /// Notes that the service answered or not, for the log.
    void noteAnswer(bool hasAnswered, const reason &why)
    {
        const std::lock_guard lock(mutex);
        const auto now = monotonicNow();
        const auto silence = now - presence.lastAnswer;
        if (noteCall(presence, hasAnswered, now)) {
            storeLog.write(hasAnswered ? "store_regained" : "store_lost", {{"silent_ms", silence.count()}, {"why", why.text}});
        }
    }

    /// How long the service was away before its present answers: only then may entries be missing whose replicas live.
    duration replicasOutage() const
    {
        const std::lock_guard lock(mutex);
        return absenceBefore(presence, lapsedGrace, monotonicNow());
    }

    /// Whether the source tells what the service holds, so that this daemon need not ask.
    bool isTold() const
    {
        const std::lock_guard lock(mutex);
        const auto limit = hasFollowersNow() ? timing.relayWatching : timing.ownWatching;
        return !isSource && toldAt && monotonicNow() - *toldAt < limit;
    }

    /// The mutex is held.
    bool hasFollowersNow() const
    {
        return countDaemons(feed, monotonicNow()) > 1;
    }

    /// The mutex is held.
    duration readingLimit() const
    {
        return hasFollowersNow() ? timing.relayReading : timing.ownReading;
    }

    // The configuration.

    void followConfiguration()
    {
        bool isKnown = false;
        do {
            if (mustAskForConfiguration()) {
                isKnown = readConfiguration(isKnown) || isKnown;
            }
        } while (pauseOfConfiguration(isKnown));
    }

    bool mustAskForConfiguration()
    {
        const std::lock_guard lock(mutex);
        const bool isAsked = std::exchange(mustReadConfiguration, false);
        const bool isCurrent = currentAt && monotonicNow() - *currentAt < readingLimit();
        const bool isToldOfNone = !table && toldAt && monotonicNow() - *toldAt < timing.ownWatching;
        return isSource || isAsked || !(isCurrent || isToldOfNone);
    }

    /// False once the follower stops.
    bool pauseOfConfiguration(bool isKnown)
    {
        std::unique_lock lock(mutex);
        const auto now = monotonicNow();
        auto until = now + firstConfigurationPeriod;
        if (isKnown && isSource) {
            until = now + timing.sourceReading;
        } else if (isKnown && currentAt) {
            until = std::max(now + retryPause, *currentAt + readingLimit());
        }
        wake.wait_for(lock, until - now, [this] { return isStopping || mustReadConfiguration; });
        return !isStopping;
    }

    /// Notes for the followers which configuration a read found.
    void noteConfigurationRead(key_revision found, instant asked)
    {
        const std::lock_guard lock(mutex);
        feed.configuration = std::max(feed.configuration, found);
        feed.configurationCurrentAt = asked;
    }

    /// Whether there is a configuration.
    bool readConfiguration(bool isKnown)
    {
        const auto asked = monotonicNow();
        reason why;
        // In a system that runs there is a configuration: to ask first whether there is brings a large one through the link twice.
        const auto freshness = isKnown || hasTraffic ? read_freshness::current : read_freshness::may_be_stale;
        const auto entry = keyValue.get(dialect.configurationKey(), freshness, why);
        noteAnswer(entry.has_value(), why);
        if (entry && (freshness == read_freshness::current || entry->changed == key_revision())) {
            noteConfigurationRead(entry->changed, asked);
        }
        if (!entry || entry->changed == key_revision()) {
            return false;
        }
        if (freshness == read_freshness::may_be_stale) {
            // A stale read says that there is one; only a current read says which.
            return readConfiguration(true);
        }
        return takeConfiguration(*entry, asked);
    }

    bool takeConfiguration(const key_value_entry &entry, instant asked)
    {
        {
            const std::lock_guard lock(mutex);
            if (entry.changed == configurationRevision) {
                currentAt = asked;
                return true;
            }
        }
        reason why;
        auto configuration = dialect.readConfiguration(entry.value, why);
        if (!configuration) {
            undecodable.increment();
            storeLog.write("configuration_unreadable", {{"revision", entry.changed.value()}, {"why", why.text}});
            return false;
        }
        auto next = std::make_shared<const route_table>(std::move(*configuration));
        {
            const std::lock_guard lock(mutex);
            if (table && next->configuration().version < table->configuration().version) {
                return true;
            }
            table = std::move(next);
            configurationRevision = entry.changed;
            currentAt = asked;
            storeLog.write("configuration_in_force",
                           {{"version", table->configuration().version},
                            {"revision", entry.changed.value()},
                            {"routes", table->configuration().routes.size()}});
        }
        didChange();
        return true;
    }

    // The replicas.

    void followReplicas()
    {
        bool isFirst = true;
        auto next = duration();
        while (pause(next)) {
            const bool isFed = isTold() && hasTraffic;
            const bool isIdle = !hasTraffic && !isSource;
            if (isIdle || needsListing(isFed)) {
                // The first listing may be old: the changes since then are asked for. Later ones follow on lost history.
                const bool isListed = list(isFirst || isIdle ? read_freshness::may_be_stale : read_freshness::current);
                isFirst = isFirst && !isListed;
                next = !isListed ? retryPause : isIdle ? idleListingPeriod : duration();
            } else if (isFed) {
                giveUpLapsed();
                next = toldPeriod;
            } else {
                next = watch() ? changePause() : retryPause;
            }
        }
    }

    /// After a watch without an answer the source, where it is heard, tells what was missed.
    bool needsListing(bool isFed) const
    {
        const std::lock_guard lock(mutex);
        return replicasUpTo == 0 || (mustList && !isFed);
    }

    std::uint64_t upTo() const
    {
        const std::lock_guard lock(mutex);
        return replicasUpTo;
    }

    duration changePause() const
    {
        if (isBehind) {
            return {};
        }
        if (isSource) {
            return sourceWatchPause;
        }
        return watchPause;
    }

    bool list(read_freshness freshness)
    {
        const auto asked = monotonicNow();
        reason why;
        const auto listing = keyValue.list(dialect.replicaPrefix(), freshness, why);
        noteAnswer(listing.has_value(), why);
        if (!listing) {
            // A coordinator that has just begun plans nothing before it has the listing that it asked for.
            const std::lock_guard lock(mutex);
            mustList = true;
            return false;
        }
        const auto outage = replicasOutage();
        const auto replicas = decodeAll(listing->entries);
        tellLeaving(replicas);
        {
            const std::lock_guard lock(mutex);
            takeListing(entries, replicas, listing->upTo, outage, monotonicNow());
            noteListing(feed, replicas, listing->upTo, outage < lapsingOutage);
            replicasUpTo = std::max(replicasUpTo, listing->upTo);
            replicasSeenAt = monotonicNow();
            mustList = false;
            lastListing = asked;
            firstListing = firstListing.value_or(asked);
            storeLog.write("replicas_listed", {{"count", replicas.size()}, {"lapsed", entries.lapsed.size()}, {"revision", listing->upTo}});
        }
        publish();
        return true;
    }

    /// False where the service did not answer, or no longer holds what has changed.
    bool watch()
    {
        bool hasLapsed = false;
        std::uint64_t after = 0;
        {
            const std::lock_guard lock(mutex);
            hasLapsed = !entries.lapsed.empty() || !entries.unlisted.empty();
            after = replicasUpTo;
        }
        reason why;
        const auto wait = hasLapsed ? lapsedGrace / 2 : watchWait;
        const auto result = keyValue.watch(dialect.replicaPrefix(), after, wait, why);
        noteAnswer(result.has_value(), why);
        if (!result || result->isHistoryLost) {
            const std::lock_guard lock(mutex);
            mustList = true;
            return false;
        }
        isBehind = result->changes.size() >= manyChanges;
        const auto changes = decodeAll(result->changes);
        tellLeaving(changes);
        bool hasChanged = takeChanges(changes);
        {
            const std::lock_guard lock(mutex);
            replicasSeenAt = monotonicNow();
            noteChanges(feed, changes, result->upTo);
            replicasUpTo = std::max(replicasUpTo, result->upTo);
            hasChanged = dropLapsed(entries, monotonicNow()) || hasChanged;
        }
        if (hasChanged) {
            publish();
        }
        return true;
    }

    /// What can be read of the entries; of the others the last good one stays.
    std::vector<replica_change> decodeAll(const std::vector<key_value_entry> &values)
    {
        std::vector<replica_change> changes;
        for (const auto &entry : values) {
            auto replica = entry.value.empty() ? std::nullopt : decode(entry);
            if (replica || entry.value.empty()) {
                changes.push_back({idOf(entry), entry.changed.value(), std::move(replica)});
            }
        }
        return changes;
    }

    /// In the feed a departure stands behind all changes before it, which are thousands when the first request comes.
    void tellLeaving(const std::vector<replica_change> &changes) const
    {
        std::vector<replica_key> leaving;
        for (const auto &change : changes) {
            if (change.replica && change.replica->isDraining) {
                leaving.push_back({change.id, change.replica->life});
            }
        }
        if (!leaving.empty()) {
            didSeeLeaving(leaving);
        }
    }

    /// Whether there were any.
    bool takeChanges(const std::vector<replica_change> &changes)
    {
        const std::lock_guard lock(mutex);
        for (const auto &change : changes) {
            takeChange(entries, change, monotonicNow());
            if (!change.replica) {
                storeLog.write("replica_removed", {{"replica", change.id.value()}, {"revision", change.revision}});
            }
        }
        return !changes.empty();
    }

    void giveUpLapsed()
    {
        bool hasChanged = false;
        {
            const std::lock_guard lock(mutex);
            hasChanged = dropLapsed(entries, monotonicNow());
        }
        if (hasChanged) {
            publish();
        }
    }

    // What the source tells.

    void takeUpdate(const feed_update &update, std::optional<instant> asked)
    {
        if (asked && update.configurationAge) {
            noteTold(update.configuration, *asked - *update.configurationAge);
        }
        const bool hasChanged = takeChanges(update.changes);
        {
            const std::lock_guard lock(mutex);
            if (update.isHistoryLost) {
                replicasUpTo = 0;
            } else if (replicasUpTo != 0 && update.after <= replicasUpTo) {
                noteChanges(feed, update.changes, update.upTo);
                replicasUpTo = std::max(replicasUpTo, update.upTo);
                mustList = false;
                if (asked && update.replicasAge) {
                    replicasSeenAt = std::max(replicasSeenAt.value_or(*asked), *asked - *update.replicasAge);
                }
            }
        }
        if (hasChanged) {
            publish();
        }
    }

    void noteTold(key_revision configuration, instant at)
    {
        {
            const std::lock_guard lock(mutex);
            toldAt = std::max(toldAt.value_or(at), at);
            if (configuration >= feed.configuration) {
                feed.configuration = configuration;
                feed.configurationCurrentAt = std::max(feed.configurationCurrentAt.value_or(at), at);
            }
            if (configuration == configurationRevision && table) {
                currentAt = std::max(currentAt.value_or(at), at);
            }
            if (configuration <= configurationRevision) {
                return;
            }
            mustReadConfiguration = true;
        }
        wake.notify_all();
    }

    instance_id idOf(const key_value_entry &entry) const
    {
        return instance_id(entry.key.substr(std::min(entry.key.size(), dialect.replicaPrefix().size())));
    }

    std::optional<served_replica> decode(const key_value_entry &entry)
    {
        reason why;
        auto replica = dialect.readReplica(idOf(entry), entry.value, why);
        if (!replica) {
            // The last good one stays.
            undecodable.increment();
            storeLog.write("replica_unreadable", {{"key", entry.key}, {"why", why.text}});
        }
        return replica;
    }

    void publish()
    {
        {
            const std::lock_guard lock(mutex);
            auto directory = entries.directory;
            showLeaving(directory, leaving);
            published = std::make_shared<const replica_directory>(std::move(directory));
        }
        didChange();
    }
};

store_follower::store_follower(key_value_service &keyValue,
                               const entry_dialect &dialect,
                               const feed_timing &timing,
                               metrics &counters,
                               std::function<void()> didChange,
                               std::function<void(const std::vector<replica_key> &)> didSeeLeaving)
    : d(std::make_unique<private_data>(keyValue, dialect, timing, counters, std::move(didChange), std::move(didSeeLeaving)))
{
}

store_follower::~store_follower()
{
    stop();
}

void store_follower::start()
{
    d->threads.emplace_back([this] { d->followConfiguration(); });
    d->threads.emplace_back([this] { d->followReplicas(); });
}

void store_follower::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    for (auto &thread : d->threads) {
        thread.join();
    }
    d->threads.clear();
}

void store_follower::setSource(bool isSource)
{
    d->isSource = isSource;
}

void store_follower::noteTraffic()
{
    if (!d->hasTraffic.exchange(true)) {
        // Between the look at the flag and the wait of the thread that is to wake, none may come.
        const std::lock_guard lock(d->mutex);
        d->wake.notify_all();
    }
}

void store_follower::listAgain()
{
    d->list(read_freshness::current);
}

void store_follower::takeUpdate(const feed_update &update, std::optional<instant> asked)
{
    d->takeUpdate(update, asked);
}

void store_follower::noteLeaving(const std::set<replica_key> &replicas)
{
    {
        const std::lock_guard lock(d->mutex);
        vetchpost::noteLeaving(d->leaving, replicas, monotonicNow());
        if (areShown(*d->published, d->leaving)) {
            return;
        }
    }
    d->publish();
}

std::uint64_t store_follower::replicasUpTo() const
{
    return d->upTo();
}

std::vector<feed_datagram> store_follower::answerSubscription(const feed_subscription &subscription, const endpoint &from, bool mayRefer)
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    d->feed.replicasSeenAt = d->replicasSeenAt;
    return mayRefer ? answerOrRefer(d->feed, subscription, from, now) : vetchpost::answerSubscription(d->feed, subscription, from, now);
}

std::vector<feed_datagram> store_follower::pendingPushes()
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::pendingPushes(d->feed, monotonicNow());
}

void store_follower::setOrigin(const feed_origin &origin, int daemonsTold)
{
    const std::lock_guard lock(d->mutex);
    d->feed.origin = origin;
    d->feed.daemonsTold = daemonsTold;
}

std::vector<feed_datagram> store_follower::endOfFeed()
{
    const std::lock_guard lock(d->mutex);
    std::vector<feed_datagram> datagrams;
    for (const auto &[id, subscriber] : std::exchange(d->feed.subscribers, {})) {
        datagrams.push_back({{subscriber.address}, feed_end()});
    }
    return datagrams;
}

std::map<model_id, int> store_follower::followersDemand(const service_id &service) const
{
    const std::lock_guard lock(d->mutex);
    return demandOf(d->feed, service, monotonicNow());
}

std::vector<model_demand> store_follower::followersDemand() const
{
    const std::lock_guard lock(d->mutex);
    return totalDemand(d->feed, monotonicNow());
}

std::vector<endpoint> store_follower::heardFollowers() const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::heardFollowers(d->feed, monotonicNow());
}

int store_follower::daemonsHeard() const
{
    const std::lock_guard lock(d->mutex);
    return countDaemons(d->feed, monotonicNow());
}

std::shared_ptr<const route_table> store_follower::routes() const
{
    const std::lock_guard lock(d->mutex);
    return d->table;
}

std::shared_ptr<const replica_directory> store_follower::directory() const
{
    const std::lock_guard lock(d->mutex);
    return d->published;
}

std::optional<instant> store_follower::configurationCurrentAt() const
{
    const std::lock_guard lock(d->mutex);
    return d->currentAt;
}

configuration_knowledge store_follower::configurationKnowledge() const
{
    const std::lock_guard lock(d->mutex);
    return {d->currentAt, d->toldAt};
}

bool store_follower::isServiceAnswering() const
{
    const std::lock_guard lock(d->mutex);
    return d->presence.isReachable;
}

std::optional<instant> store_follower::listedAt() const
{
    const std::lock_guard lock(d->mutex);
    return d->lastListing;
}

std::optional<instant> store_follower::followedSince() const
{
    const std::lock_guard lock(d->mutex);
    return d->firstListing;
}

} // namespace vetchpost
