// SPDX-License-Identifier: Apache-2.0
// How a store_follower keeps the replicas' entries: listed and watched in the service, or told by the source.
#include "Libraries/Entry/store_follower_data.h"

namespace vetchpost {

namespace {

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

void store_follower::private_data::followReplicas()
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

bool store_follower::private_data::needsListing(bool isFed) const
{
    const std::lock_guard lock(mutex);
    return replicasUpTo == 0 || (mustListSince && !isFed);
}

std::uint64_t store_follower::private_data::upTo() const
{
    const std::lock_guard lock(mutex);
    return replicasUpTo;
}

duration store_follower::private_data::changePause() const
{
    if (isBehind) {
        return {};
    }
    if (isSource) {
        return sourceWatchPause;
    }
    return watchPause;
}

bool store_follower::private_data::list(read_freshness freshness)
{
    const auto asked = monotonicNow();
    reason why;
    const auto listing = keyValue.list(dialect.replicaPrefix(), freshness, why);
    noteAnswer(listing.has_value(), why);
    if (!listing) {
        // A coordinator that has just begun plans nothing before it has the listing that it asked for.
        const std::lock_guard lock(mutex);
        mustListSince = asked;
        return false;
    }
    const auto outage = replicasOutage();
    const auto replicas = decodeAll(listing->entries);
    tellLeaving(replicas);
    {
        const std::lock_guard lock(mutex);
        takeListing(entries, replicas, listing->upTo, outage, monotonicNow());
        applyListing(feed, replicas, listing->upTo, outage < lapsingOutage);
        replicasUpTo = std::max(replicasUpTo, listing->upTo);
        // Another listing may be under way on another thread: the answer to the older one may come last.
        replicasCurrentAt = std::max(replicasCurrentAt.value_or(asked), asked);
        if (mustListSince && *mustListSince <= asked) {
            mustListSince.reset();
        }
        lastListing = std::max(lastListing.value_or(asked), asked);
        firstListing = firstListing.value_or(asked);
        storeLog.write("replicas_listed", {{"count", replicas.size()}, {"lapsed", entries.lapsed.size()}, {"revision", listing->upTo}});
        // At once: whoever learns that there is a listing must find what it brought.
        showEntries();
    }
    didChange();
    return true;
}

bool store_follower::private_data::watch()
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
        mustListSince = monotonicNow();
        return false;
    }
    isBehind = result->changes.size() >= manyChanges;
    const auto changes = decodeAll(result->changes);
    tellLeaving(changes);
    bool hasChanged = takeChanges(changes);
    {
        const std::lock_guard lock(mutex);
        replicasCurrentAt = monotonicNow();
        applyChanges(feed, changes, result->upTo);
        replicasUpTo = std::max(replicasUpTo, result->upTo);
        hasChanged = dropLapsed(entries, monotonicNow()) || hasChanged;
    }
    if (hasChanged) {
        publish();
    }
    return true;
}

std::vector<replica_change> store_follower::private_data::decodeAll(const std::vector<key_value_entry> &values)
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

void store_follower::private_data::tellLeaving(const std::vector<replica_change> &changes) const
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

bool store_follower::private_data::takeChanges(const std::vector<replica_change> &changes)
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

void store_follower::private_data::giveUpLapsed()
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

void store_follower::private_data::takeUpdate(const feed_update &update, std::optional<instant> asked)
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
            applyChanges(feed, update.changes, update.upTo);
            replicasUpTo = std::max(replicasUpTo, update.upTo);
            mustListSince.reset();
            if (asked && update.replicasAge) {
                replicasCurrentAt = std::max(replicasCurrentAt.value_or(*asked), *asked - *update.replicasAge);
            }
        }
    }
    if (hasChanged) {
        publish();
    }
}

instance_id store_follower::private_data::idOf(const key_value_entry &entry) const
{
    return instance_id(entry.key.substr(std::min(entry.key.size(), dialect.replicaPrefix().size())));
}

std::optional<served_replica> store_follower::private_data::decode(const key_value_entry &entry)
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

void store_follower::private_data::publish()
{
    {
        const std::lock_guard lock(mutex);
        showEntries();
    }
    didChange();
}

void store_follower::private_data::showEntries()
{
    auto directory = entries.directory;
    showLeaving(directory, leaving);
    published = std::make_shared<const replica_directory>(std::move(directory));
}

} // namespace vetchpost
