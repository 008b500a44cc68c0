// SPDX-License-Identifier: Apache-2.0
// The part of store_follower that keeps the replicas' entries up to date: it lists and watches them in the service, or the source sends
// changes.
#include "Libraries/Entry/store_follower_data.h"

namespace vetchpost {

namespace {

/// How long a watch waits for changes, and thus the time after which a silent service is noticed at the latest.
constexpr duration watchWait(3000);
/// Pause between two watches of a daemon without a source, so that changes which occur together cost one call. The source pauses much
/// shorter, since each order waits for the changes that the previous one caused.
constexpr duration watchPause(500);
constexpr duration sourceWatchPause(40);
/// How often the entries are listed before the first request. Nothing is routed yet, but whole groups start up, and a few cheap, possibly
/// slightly stale listings replace many watches.
constexpr duration idleListingPeriod(3000);
/// A watch that returned at least this many changes is followed by the next one at once, since a service returns a limited number of
/// changes at a time (500 on the platform). With a pause after each watch, daemons in a system with many replicas would know no backend
/// when the first request arrives.
constexpr std::size_t manyChanges = 200;
/// How often a daemon with a source checks that the source is still current, and removes lapsed entries.
constexpr duration sourceCheckPeriod(400);

} // namespace

void store_follower::private_data::followReplicas()
{
    bool isFirst = true;
    auto next = duration();
    while (pause(next)) {
        const bool isFed = isSourceCurrent() && hasTraffic;
        const bool isIdle = !hasTraffic && !isSource;
        if (isIdle || needsListing(isFed)) {
            // The first listing may be stale, as watches return the changes since then. Later ones follow lost history and must be current.
            const bool isListed = list(isFirst || isIdle ? read_freshness::may_be_stale : read_freshness::current);
            isFirst = isFirst && !isListed;
            next = !isListed ? retryPause : isIdle ? idleListingPeriod : duration();
        } else if (isFed) {
            removeLapsedEntries();
            next = sourceCheckPeriod;
        } else {
            next = watch() ? pauseBetweenWatches() : retryPause;
        }
    }
}

bool store_follower::private_data::needsListing(bool isFed) const
{
    const std::lock_guard lock(mutex);
    return replicasUpTo.isNone() || (mustListSince && !isFed);
}

store_revision store_follower::private_data::upTo() const
{
    const std::lock_guard lock(mutex);
    return replicasUpTo;
}

duration store_follower::private_data::pauseBetweenWatches() const
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
    recordServiceAnswer(listing.has_value(), why);
    if (!listing) {
        // The listing must be repeated: a coordinator plans nothing before it has a listing that began in its term.
        const std::lock_guard lock(mutex);
        mustListSince = asked;
        return false;
    }
    const auto replicas = decodeAll(listing->entries);
    const auto answered = monotonicNow();
    logLeaving(replicas, "listing");
    reportLeaving(replicas);
    {
        const std::lock_guard lock(mutex);
        if (listing->upTo.era() < listedEra) {
            // A late answer from before the service came back from an older copy.
            mustListSince = monotonicNow();
            return false;
        }
        // The copy lacks the entries of replicas that have started since it was made, until they write them again.
        const bool isNewEra = followedSince && listing->upTo.era() > listedEra;
        // A listing may have waited while the service was away.
        const auto outageNow = std::max(recentOutage(answered), answered - asked);
        const auto outage = isNewEra ? std::max(outageNow, lapsingOutage) : outageNow;
        const bool hasOutage = outage >= lapsingOutage;
        const bool isOutageOver = !isNewEra && availability.outageEnd && outage > answered - asked;
        listedEra = listing->upTo.era();
        applyListing(entries, replicas, listing->upTo, outage, answered, isOutageOver ? availability.outageEnd : std::nullopt);
        applyListing(feed, replicas, listing->upTo, !hasOutage);
        updateFollowedSince(asked, hasOutage);
        replicasUpTo = std::max(replicasUpTo, listing->upTo);
        // Another thread may be listing too, and the answer to the older call may arrive last.
        replicasCurrentAt = std::max(replicasCurrentAt.value_or(asked), asked);
        if (mustListSince && *mustListSince <= asked) {
            mustListSince.reset();
        }
        lastListing = std::max(lastListing.value_or(asked), asked);
        storeLog.write("replicas_listed",
                       {{"count", replicas.size()},
                        {"lapsed", entries.lapsed.size()},
                        {"revision", listing->upTo.number()},
                        {"up_to", replicasUpTo.number()}});
        // Before the mutex is released, so that whoever sees the new listing time also finds the listed entries.
        rebuildDirectory();
    }
    logEvacuations();
    didChange();
    return true;
}

void store_follower::private_data::updateFollowedSince(instant asked, bool hasOutage)
{
    // Between the last known change and this listing entries may have lapsed and been written again with changes that nobody here has seen.
    const bool isContinuous = replicasCurrentAt && asked - *replicasCurrentAt < lapsingOutage;
    if (!followedSince || hasOutage || !isContinuous) {
        followedSince = asked;
    }
}

bool store_follower::private_data::watch()
{
    bool hasLapsed = false;
    store_revision after;
    {
        const std::lock_guard lock(mutex);
        hasLapsed = !entries.lapsed.empty() || !entries.unlisted.empty();
        after = replicasUpTo;
    }
    reason why;
    const auto wait = hasLapsed ? lapsedGrace / 2 : watchWait;
    const auto result = keyValue.watch(dialect.replicaPrefix(), after, wait, why);
    recordServiceAnswer(result.has_value(), why);
    if (!result || result->isHistoryLost) {
        const std::lock_guard lock(mutex);
        mustListSince = monotonicNow();
        if (result) {
            storeLog.write("history_lost", {{"prefix", dialect.replicaPrefix()}, {"after", after.number()}});
        }
        return false;
    }
    isBehind = result->changes.size() >= manyChanges;
    const auto changes = decodeAll(result->changes);
    logLeaving(changes, "watch");
    reportLeaving(changes);
    bool hasChanged = applyReplicaChanges(changes);
    {
        const std::lock_guard lock(mutex);
        replicasCurrentAt = monotonicNow();
        applyChanges(feed, changes, result->upTo);
        replicasUpTo = std::max(replicasUpTo, result->upTo);
        hasChanged = removeLapsed(entries, monotonicNow()) || hasChanged;
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
            changes.push_back({replicaIdOf(entry), entry.changed, std::move(replica)});
        }
    }
    dropWithoutIncarnation(changes);
    recordReceipt(changes, isColdPaced, monotonicNow());
    return changes;
}

// Taken for the replica's own, such an entry would mean that the replica has restarted and belongs to no group.
void store_follower::private_data::dropWithoutIncarnation(std::vector<replica_change> &changes)
{
    const auto hasIncarnation
        = [](const replica_change &change) { return change.replica && change.replica->incarnation != replica_incarnation(); };
    areIncarnationsTold = areIncarnationsTold || std::any_of(changes.begin(), changes.end(), hasIncarnation);
    if (!areIncarnationsTold) {
        return;
    }
    std::erase_if(changes, [&](const replica_change &change) {
        const bool isForeign = change.replica && !hasIncarnation(change);
        if (isForeign) {
            recordUnreadable(change.id.value(), "it tells no start of the replica, unlike the entries of others");
        }
        return isForeign;
    });
}

void store_follower::private_data::reportLeaving(const std::vector<replica_change> &changes) const
{
    std::vector<replica_key> leaving;
    for (const auto &change : changes) {
        if (change.replica && change.replica->isDraining) {
            leaving.push_back({change.id, change.replica->incarnation});
        }
    }
    if (!leaving.empty()) {
        didSeeLeaving(leaving);
    }
}

void store_follower::private_data::logLeaving(const std::vector<replica_change> &changes, const char *from)
{
    const std::lock_guard lock(mutex);
    for (const auto &change : changes) {
        if (!change.replica || !change.replica->isDraining) {
            continue;
        }
        if (loggedLeaving.size() >= maxLoggedLeaving) {
            loggedLeaving.clear();
        }
        if (loggedLeaving.insert({change.id, change.replica->incarnation}).second) {
            storeLog.write("replica_leaving", {{"replica", change.id.value()}, {"revision", change.revision.number()}, {"from", from}});
        }
    }
}

bool store_follower::private_data::applyReplicaChanges(const std::vector<replica_change> &changes)
{
    const std::lock_guard lock(mutex);
    for (const auto &change : changes) {
        applyChange(entries, change, monotonicNow());
        if (!change.replica) {
            storeLog.write("replica_removed", {{"replica", change.id.value()}, {"revision", change.revision.number()}});
        }
    }
    return !changes.empty();
}

void store_follower::private_data::removeLapsedEntries()
{
    bool hasChanged = false;
    {
        const std::lock_guard lock(mutex);
        // While changes are missing, an entry may have returned.
        hasChanged = !mustListSince && removeLapsed(entries, monotonicNow());
    }
    if (hasChanged) {
        publish();
    }
}

void store_follower::private_data::applyUpdate(const feed_update &update, std::optional<instant> asked)
{
    if (!update.upTo.isNone() && update.upTo.era() == store_era() && keyValue.era() != store_era()) {
        // The source is of an earlier version and knows no eras, so that its revisions cannot be compared with those known here.
        return;
    }
    finishEvacuationChange(applyEvacuations(update, asked));
    if (asked && update.configurationAge) {
        recordSourceConfiguration(update.configuration, *asked - *update.configurationAge);
    }
    auto changes = update.changes;
    recordReceipt(changes, isColdPaced, monotonicNow());
    logLeaving(changes, "feed");
    const bool hasChanged = applyReplicaChanges(changes);
    {
        const std::lock_guard lock(mutex);
        if (update.isHistoryLost) {
            replicasUpTo = {};
        } else if (!replicasUpTo.isNone() && update.after <= replicasUpTo) {
            applyChanges(feed, changes, update.upTo);
            replicasUpTo = std::max(replicasUpTo, update.upTo);
            if (mustListSince) {
                extendLapsed(entries, monotonicNow() + lapsedGrace);
                mustListSince.reset();
            }
            if (asked && update.replicasAge) {
                replicasCurrentAt = std::max(replicasCurrentAt.value_or(*asked), *asked - *update.replicasAge);
            }
        }
    }
    if (hasChanged) {
        publish();
    }
}

instance_id store_follower::private_data::replicaIdOf(const key_value_entry &entry) const
{
    return instance_id(entry.key.substr(std::min(entry.key.size(), dialect.replicaPrefix().size())));
}

std::optional<served_replica> store_follower::private_data::decode(const key_value_entry &entry)
{
    reason why;
    auto replica = dialect.readReplica(replicaIdOf(entry), entry.value, why);
    if (!replica) {
        recordUnreadable(entry.key, why.text);
    }
    return replica;
}

void store_follower::private_data::recordUnreadable(const std::string &key, const std::string &why)
{
    // The last readable entry stays in the directory.
    undecodable.increment();
    storeLog.write("replica_unreadable", {{"key", key}, {"why", why}});
}

void store_follower::private_data::publish()
{
    {
        const std::lock_guard lock(mutex);
        rebuildDirectory();
    }
    didChange();
}

void store_follower::private_data::rebuildDirectory()
{
    auto directory = entries.directory;
    markLeaving(directory, leaving);
    published = std::make_shared<const replica_directory>(std::move(directory));
}

} // namespace vetchpost
