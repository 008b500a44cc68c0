// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_publisher.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

/// Removed entries are kept up to this number; beyond it they are dropped, and followers that are far behind must list the entries.
constexpr std::size_t maxRemovedEntries = 2000;
/// A count of daemons is passed on for this long: several of a relay's subscriptions to its source.
constexpr duration passedCountLifetime(2000);

void applyChange(feed_publisher &publisher, const replica_change &change)
{
    auto &known = publisher.latest[change.id];
    if (known.revision > change.revision) {
        return;
    }
    const bool isKnown = known.revision == change.revision && known.replica && change.replica;
    const auto coldUntil = isKnown ? known.replica->coldUntil : instant();
    known = change;
    if (isKnown) {
        // An entry that is received again is not newer: its remaining cold time counts from when it was first received.
        known.replica->coldUntil = coldUntil;
    }
}

/// Returns a change whose remaining cold time counts from now, as it is sent now.
replica_change withColdLeft(replica_change change, instant now)
{
    if (change.replica) {
        change.replica->coldLeft = std::max(duration(), change.replica->coldUntil - now);
    }
    return change;
}

void dropRemoved(feed_publisher &publisher)
{
    const auto isRemoved = [](const auto &entry) { return !entry.second.replica; };
    const auto removed = std::count_if(publisher.latest.begin(), publisher.latest.end(), isRemoved);
    if (static_cast<std::size_t>(removed) < maxRemovedEntries) {
        return;
    }
    std::erase_if(publisher.latest, isRemoved);
    publisher.completeAfter = publisher.upTo;
}

/// Returns the number of daemons that followers may rely on; 0 if it is unknown. The followers of this daemon may not be all there are: a
/// relay may have lost its source, and the source may have been cut off from the others. They must not divide among themselves what all
/// daemons share.
int reportedDaemons(const feed_publisher &publisher, instant now)
{
    const bool isRecent = publisher.sharingDaemons > 0 && now - publisher.sharingCountedAt <= passedCountLifetime;
    return isRecent ? std::max(publisher.sharingDaemons, countDaemons(publisher, now)) : 0;
}

feed_update emptyUpdate(const feed_publisher &publisher, instant now)
{
    feed_update update;
    update.origin = publisher.origin;
    update.daemons = reportedDaemons(publisher, now);
    update.configuration = publisher.configuration;
    if (publisher.configurationCurrentAt) {
        update.configurationAge = now - *publisher.configurationCurrentAt;
    }
    if (publisher.replicasCurrentAt) {
        update.replicasAge = now - *publisher.replicasCurrentAt;
    }
    if (publisher.evacuations.isKnown) {
        update.evacuations = publisher.evacuations.report;
        if (publisher.evacuations.currentAt) {
            update.evacuationsAge = now - *publisher.evacuations.currentAt;
        }
    }
    return update;
}

/// Returns all changes after a revision, in the order of their revisions.
std::vector<const replica_change *> changesAfter(const feed_publisher &publisher, store_revision after)
{
    std::vector<const replica_change *> changes;
    for (const auto &[id, change] : publisher.latest) {
        if (change.revision > after) {
            changes.push_back(&change);
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto *left, const auto *right) { return left->revision < right->revision; });
    return changes;
}

/// Returns the changes after a revision, split into updates of which each begins at the revision where the one before ends.
std::vector<feed_update> updatesAfter(const feed_publisher &publisher, store_revision after, instant now)
{
    std::vector<feed_update> updates{emptyUpdate(publisher, now)};
    updates.back().after = after;
    updates.back().upTo = publisher.upTo;
    auto last = after;
    for (const auto *change : changesAfter(publisher, after)) {
        // Changes of one revision go into the same datagram, so that a revision is either sent whole or not at all.
        const bool isFull = updates.back().changes.size() >= maxChangesPerDatagram && change->revision > last;
        if (isFull && updates.size() == maxDatagramsPerSend) {
            updates.back().upTo = last;
            return updates;
        }
        if (isFull) {
            updates.back().upTo = last;
            updates.push_back(emptyUpdate(publisher, now));
            updates.back().after = last;
            updates.back().upTo = publisher.upTo;
        }
        updates.back().changes.push_back(withColdLeft(*change, now));
        last = change->revision;
    }
    return updates;
}

} // namespace

void applyListing(feed_publisher &publisher, const std::vector<replica_change> &listed, store_revision upTo, bool isContinuous)
{
    if (!isContinuous || publisher.upTo.isNone() || upTo.era() != publisher.upTo.era()) {
        publisher.latest.clear();
        // A listing may be older than the changes known so far; those beyond it are discarded with the others.
        publisher.completeAfter = std::max(upTo, publisher.upTo);
    } else {
        std::set<instance_id> present;
        for (const auto &change : listed) {
            present.insert(change.id);
        }
        for (auto &[id, change] : publisher.latest) {
            // The entry was removed between its last known change and the listing. Changes newer than the listing are kept.
            if (!present.contains(id) && change.replica && change.revision <= upTo) {
                change = {id, upTo, std::nullopt};
            }
        }
    }
    applyChanges(publisher, listed, upTo);
}

void applyChanges(feed_publisher &publisher, const std::vector<replica_change> &changes, store_revision upTo)
{
    for (const auto &change : changes) {
        applyChange(publisher, change);
    }
    publisher.upTo = std::max(publisher.upTo, upTo);
    dropRemoved(publisher);
}

void updateSubscriber(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now)
{
    auto &subscriber = publisher.subscribers[subscription.from];
    subscriber.address = from;
    subscriber.lastSubscribedAt = now;
    subscriber.wantsReplicas = subscription.wantsReplicas;
    subscriber.demand = subscription.demand;
    subscriber.dataCentre = subscription.dataCentre;
    subscriber.daemons = subscription.daemons;
    subscriber.candidates = subscription.candidates;
    subscriber.dispatchersDigest = subscription.dispatchersDigest;
}

feed_datagram
answerWithoutChanges(const feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now)
{
    auto update = emptyUpdate(publisher, now);
    update.nonce = subscription.nonce;
    // The update covers no revisions, so that it brings only a follower that lacks none up to date.
    update.after = update.upTo = publisher.upTo;
    return {{from}, std::move(update)};
}

std::vector<feed_datagram>
answerSubscription(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now)
{
    updateSubscriber(publisher, subscription, from, now);
    auto &subscriber = publisher.subscribers[subscription.from];
    // A follower of an earlier version knows no eras, and has its entries from this daemon or its predecessor.
    const bool knowsEras = subscription.replicasUpTo.era() != store_era();
    const auto known = knowsEras ? subscription.replicasUpTo : store_revision(subscription.replicasUpTo.number(), publisher.upTo.era());
    std::vector<feed_update> updates;
    if (!subscription.wantsReplicas) {
        updates.push_back(emptyUpdate(publisher, now));
    } else if (publisher.upTo.isNone() || known < publisher.completeAfter) {
        updates.push_back(emptyUpdate(publisher, now));
        updates.back().isHistoryLost = !publisher.upTo.isNone();
        subscriber.sentUpTo = publisher.upTo;
    } else {
        updates = updatesAfter(publisher, known, now);
        subscriber.sentUpTo = std::max(known, updates.back().upTo);
    }
    updates.back().nonce = subscription.nonce;
    subscriber.sentEvacuations = publisher.evacuations.changes;
    std::vector<feed_datagram> datagrams;
    datagrams.reserve(updates.size());
    for (auto &update : updates) {
        datagrams.push_back({{from}, std::move(update)});
    }
    return datagrams;
}

std::vector<feed_datagram> pendingPushes(feed_publisher &publisher, instant now)
{
    std::erase_if(publisher.subscribers, [&](const auto &entry) { return !isSubscribed(entry.second, now); });
    // Most followers lack the same changes, so the updates for them are built once.
    std::map<store_revision, std::vector<endpoint>> lagging;
    for (auto &[id, subscriber] : publisher.subscribers) {
        if (subscriber.wantsReplicas && subscriber.sentUpTo >= publisher.completeAfter && subscriber.sentUpTo < publisher.upTo) {
            lagging[subscriber.sentUpTo].push_back(subscriber.address);
        }
    }
    std::vector<feed_datagram> datagrams;
    std::map<store_revision, store_revision> sentUpTo;
    for (const auto &[after, addresses] : lagging) {
        auto updates = updatesAfter(publisher, after, now);
        sentUpTo[after] = updates.back().upTo;
        const bool hasNews = !updates.front().changes.empty();
        for (std::size_t i = 0; hasNews && i < updates.size(); ++i) {
            datagrams.push_back({addresses, std::move(updates[i])});
        }
    }
    for (auto &[id, subscriber] : publisher.subscribers) {
        const auto sent = sentUpTo.find(subscriber.sentUpTo);
        if (subscriber.wantsReplicas && sent != sentUpTo.end()) {
            subscriber.sentUpTo = sent->second;
        }
    }
    return datagrams;
}

// Sent in a datagram of its own, since an update may already fill an Ethernet frame with changes.
std::optional<feed_datagram> pendingDispatchers(feed_publisher &publisher, instant now)
{
    std::vector<endpoint> lacking;
    for (auto &[id, subscriber] : publisher.subscribers) {
        if (isSubscribed(subscriber, now) && publisher.dispatchersDigest != 0 && subscriber.dispatchersDigest
            && *subscriber.dispatchersDigest != publisher.dispatchersDigest) {
            subscriber.dispatchersDigest = publisher.dispatchersDigest;
            lacking.push_back(subscriber.address);
        }
    }
    if (lacking.empty()) {
        return std::nullopt;
    }
    auto update = emptyUpdate(publisher, now);
    update.after = update.upTo = publisher.upTo;
    update.dispatchers = publisher.dispatchers;
    return feed_datagram{std::move(lacking), std::move(update)};
}

std::vector<dispatcher_candidate> dispatcherCandidates(const feed_publisher &publisher, duration window, instant now)
{
    std::vector<dispatcher_candidate> candidates;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        if (now - subscriber.lastSubscribedAt <= window) {
            candidates.insert(candidates.end(), subscriber.candidates.begin(), subscriber.candidates.end());
        }
    }
    return candidates;
}

std::vector<feed_datagram> evacuationPushes(feed_publisher &publisher, instant now)
{
    std::vector<endpoint> lacking;
    for (auto &[id, subscriber] : publisher.subscribers) {
        if (isSubscribed(subscriber, now) && subscriber.sentEvacuations != publisher.evacuations.changes) {
            lacking.push_back(subscriber.address);
            subscriber.sentEvacuations = publisher.evacuations.changes;
        }
    }
    if (lacking.empty()) {
        return {};
    }
    auto update = emptyUpdate(publisher, now);
    // The update covers no revisions, so that it brings only a follower that lacks none up to date.
    update.after = update.upTo = publisher.upTo;
    return {{std::move(lacking), std::move(update)}};
}

std::vector<endpoint> activeFollowers(const feed_publisher &publisher, instant now)
{
    std::vector<endpoint> followers;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        if (isSubscribed(subscriber, now)) {
            followers.push_back(subscriber.address);
        }
    }
    return followers;
}

std::map<model_id, int> demandOf(const feed_publisher &publisher, const service_id &service, instant now)
{
    std::map<model_id, int> result;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        for (const auto &demand : subscriber.demand) {
            if (isSubscribed(subscriber, now) && demand.service == service) {
                result[demand.model] += demand.outstanding;
            }
        }
    }
    return result;
}

std::vector<model_demand> totalDemand(const feed_publisher &publisher, instant now)
{
    std::map<std::pair<service_id, model_id>, int> sums;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        if (!isSubscribed(subscriber, now)) {
            continue;
        }
        for (const auto &demand : subscriber.demand) {
            sums[{demand.service, demand.model}] += demand.outstanding;
        }
    }
    std::vector<model_demand> total;
    total.reserve(sums.size());
    for (const auto &[model, outstanding] : sums) {
        total.push_back({model.first, model.second, outstanding});
    }
    return total;
}

bool isSubscribed(const feed_subscriber &subscriber, instant now)
{
    return now - subscriber.lastSubscribedAt <= subscriberTimeout;
}

int countDaemons(const feed_publisher &publisher, instant now)
{
    int daemons = 1;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        daemons += isSubscribed(subscriber, now) ? subscriber.daemons : 0;
    }
    return daemons;
}

} // namespace vetchpost
