// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/store_follower.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/replica_entries.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log storeLog("store");
/// A configuration has to be in force within two seconds of its acceptance.
constexpr duration configurationPeriod(1300);
/// Before the first configuration; these reads may be stale and cost a tenth.
constexpr duration firstConfigurationPeriod(250);
/// After a failed call.
constexpr duration retryPause(250);
/// How long a watch waits: a silent service is noticed after this time at most.
constexpr duration watchWait(3000);
/// Between the answers of two watches, so that changes which come together cost one call. The coordinator goes without: each order
/// waits for what the order before it changed.
constexpr duration watchPause(500);
/// Before the first request nothing is routed yet.
constexpr duration idleWatchPause(1500);

} // namespace

struct store_follower::private_data
{
    key_value_service &keyValue;
    const entry_dialect &dialect;
    std::function<void()> didChange;
    counter undecodable;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::atomic<bool> isUrgent = false;
    std::atomic<bool> hasTraffic = false;
    std::shared_ptr<const route_table> table;
    key_revision configurationRevision;
    std::optional<instant> currentAt;
    replica_entries entries;
    std::shared_ptr<const replica_directory> published = std::make_shared<replica_directory>();
    std::optional<instant> lastListing;
    /// When the service last answered anything.
    instant lastAnswer = monotonicNow();
    bool isReachable = true;
    std::vector<std::thread> threads;

    private_data(key_value_service &service, const entry_dialect &words, metrics &counters, std::function<void()> changed)
        : keyValue(service)
        , dialect(words)
        , didChange(std::move(changed))
        , undecodable(counters.addCounter("vetchpost_undecodable_entries_total", "Values of the key-value service that could not be read."))
    {
    }

    /// False once the follower stops.
    bool pause(duration time)
    {
        std::unique_lock lock(mutex);
        return !wake.wait_for(lock, time, [this] { return isStopping; });
    }

    /// Notes that the service answered or not; returns how long it had been silent before.
    duration noteAnswer(bool hasAnswered, const reason &why)
    {
        const std::lock_guard lock(mutex);
        const auto now = monotonicNow();
        const auto silence = now - lastAnswer;
        if (hasAnswered) {
            lastAnswer = now;
        }
        if (hasAnswered != isReachable) {
            isReachable = hasAnswered;
            storeLog.write(hasAnswered ? "store_regained" : "store_lost", {{"silent_ms", silence.count()}, {"why", why.text}});
        }
        return silence;
    }

    // The configuration.

    void followConfiguration()
    {
        bool isKnown = false;
        do {
            isKnown = readConfiguration(isKnown) || isKnown;
        } while (pause(isKnown ? configurationPeriod : firstConfigurationPeriod));
    }

    /// Whether there is a configuration.
    bool readConfiguration(bool isKnown)
    {
        const auto asked = monotonicNow();
        reason why;
        const auto freshness = isKnown ? read_freshness::current : read_freshness::may_be_stale;
        const auto entry = keyValue.get(dialect.configurationKey(), freshness, why);
        noteAnswer(entry.has_value(), why);
        if (!entry || entry->changed == key_revision()) {
            return false;
        }
        if (!isKnown) {
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
        std::optional<std::uint64_t> upTo;
        do {
            if (!upTo) {
                upTo = list();
            }
            if (upTo) {
                upTo = watch(*upTo);
            }
        } while (pause(upTo ? changePause() : retryPause));
    }

    duration changePause() const
    {
        if (isUrgent) {
            return {};
        }
        return hasTraffic ? watchPause : idleWatchPause;
    }

    std::optional<std::uint64_t> list()
    {
        const auto asked = monotonicNow();
        reason why;
        const auto listing = keyValue.list(dialect.replicaPrefix(), why);
        const auto outage = noteAnswer(listing.has_value(), why);
        if (!listing) {
            return std::nullopt;
        }
        std::vector<replica_entry> replicas;
        for (const auto &entry : listing->entries) {
            if (auto replica = decode(entry)) {
                replicas.push_back({std::move(*replica), entry.changed.value()});
            }
        }
        {
            const std::lock_guard lock(mutex);
            takeListing(entries, replicas, outage, monotonicNow());
            lastListing = asked;
            storeLog.write("replicas_listed", {{"count", replicas.size()}, {"lapsed", entries.lapsed.size()}, {"revision", listing->upTo}});
        }
        publish();
        return listing->upTo;
    }

    std::optional<std::uint64_t> watch(std::uint64_t after)
    {
        bool hasLapsed = false;
        {
            const std::lock_guard lock(mutex);
            hasLapsed = !entries.lapsed.empty() || !entries.unlisted.empty();
        }
        reason why;
        const auto wait = hasLapsed ? lapsedGrace / 2 : watchWait;
        const auto result = keyValue.watch(dialect.replicaPrefix(), after, wait, why);
        noteAnswer(result.has_value(), why);
        if (!result || result->isHistoryLost) {
            return std::nullopt;
        }
        bool hasChanged = false;
        for (const auto &entry : result->changes) {
            hasChanged = true;
            if (entry.value.empty()) {
                const std::lock_guard lock(mutex);
                const auto id = idOf(entry);
                takeRemoval(entries, id, entry.changed.value(), monotonicNow());
                storeLog.write("replica_removed", {{"replica", id.value()}, {"revision", entry.changed.value()}});
            } else if (const auto replica = decode(entry)) {
                const std::lock_guard lock(mutex);
                takeEntry(entries, {*replica, entry.changed.value()});
            }
        }
        {
            const std::lock_guard lock(mutex);
            hasChanged = dropLapsed(entries, monotonicNow()) || hasChanged;
        }
        if (hasChanged) {
            publish();
        }
        return result->upTo;
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
            published = std::make_shared<const replica_directory>(entries.directory);
        }
        didChange();
    }
};

store_follower::store_follower(key_value_service &keyValue,
                               const entry_dialect &dialect,
                               metrics &counters,
                               std::function<void()> didChange)
    : d(std::make_unique<private_data>(keyValue, dialect, counters, std::move(didChange)))
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

void store_follower::setUrgent(bool isUrgent)
{
    d->isUrgent = isUrgent;
}

void store_follower::noteTraffic()
{
    d->hasTraffic = true;
}

void store_follower::listAgain()
{
    d->list();
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

std::optional<instant> store_follower::listedAt() const
{
    const std::lock_guard lock(d->mutex);
    return d->lastListing;
}

} // namespace vetchpost
