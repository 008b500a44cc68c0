// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_source.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

/// Removed entries are kept until there are so many; then followers that are far behind must list.
constexpr std::size_t mostRemoved = 2000;

void noteChange(feed_source &source, const replica_change &change)
{
    auto &known = source.latest[change.id];
    if (known.revision <= change.revision) {
        known = change;
    }
}

void dropRemoved(feed_source &source)
{
    const auto isRemoved = [](const auto &entry) { return !entry.second.replica; };
    const auto removed = std::count_if(source.latest.begin(), source.latest.end(), isRemoved);
    if (static_cast<std::size_t>(removed) < mostRemoved) {
        return;
    }
    std::erase_if(source.latest, isRemoved);
    source.completeAfter = source.upTo;
}

feed_update emptyUpdate(const feed_source &source, instant now)
{
    feed_update update;
    update.origin = source.origin;
    update.daemons = std::max(source.daemonsTold, countDaemons(source, now));
    update.configuration = source.configuration;
    if (source.configurationCurrentAt) {
        update.configurationAge = now - *source.configurationCurrentAt;
    }
    if (source.replicasSeenAt) {
        update.replicasAge = now - *source.replicasSeenAt;
    }
    return update;
}

/// All changes after a revision, in their order.
std::vector<const replica_change *> changesAfter(const feed_source &source, std::uint64_t after)
{
    std::vector<const replica_change *> changes;
    for (const auto &[id, change] : source.latest) {
        if (change.revision > after) {
            changes.push_back(&change);
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto *left, const auto *right) { return left->revision < right->revision; });
    return changes;
}

/// The changes after a revision in datagrams that each go on where the one before ends.
std::vector<feed_update> updatesAfter(const feed_source &source, std::uint64_t after, instant now)
{
    std::vector<feed_update> updates{emptyUpdate(source, now)};
    updates.back().after = after;
    updates.back().upTo = source.upTo;
    std::uint64_t last = after;
    for (const auto *change : changesAfter(source, after)) {
        // Changes of one revision stay together, so that a revision is either told whole or not at all.
        const bool isFull = updates.back().changes.size() >= changesPerDatagram && change->revision > last;
        if (isFull && updates.size() == datagramsPerTurn) {
            updates.back().upTo = last;
            return updates;
        }
        if (isFull) {
            updates.back().upTo = last;
            updates.push_back(emptyUpdate(source, now));
            updates.back().after = last;
            updates.back().upTo = source.upTo;
        }
        updates.back().changes.push_back(*change);
        last = change->revision;
    }
    return updates;
}

} // namespace

void noteListing(feed_source &source, const std::vector<replica_change> &listed, std::uint64_t upTo, bool isContinuous)
{
    if (!isContinuous || source.upTo == 0) {
        source.latest.clear();
        // An older listing may come last: what was known beyond it goes with the rest.
        source.completeAfter = std::max(upTo, source.upTo);
    } else {
        std::set<instance_id> present;
        for (const auto &change : listed) {
            present.insert(change.id);
        }
        for (auto &[id, change] : source.latest) {
            // It went between the last change that is known and the listing; what came after the listing is newer still.
            if (!present.contains(id) && change.replica && change.revision <= upTo) {
                change = {id, upTo, std::nullopt};
            }
        }
    }
    noteChanges(source, listed, upTo);
}

void noteChanges(feed_source &source, const std::vector<replica_change> &changes, std::uint64_t upTo)
{
    for (const auto &change : changes) {
        noteChange(source, change);
    }
    source.upTo = std::max(source.upTo, upTo);
    dropRemoved(source);
}

void noteSubscriber(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now)
{
    auto &subscriber = source.subscribers[subscription.from];
    subscriber.address = from;
    subscriber.lastHeard = now;
    subscriber.wantsReplicas = subscription.wantsReplicas;
    subscriber.demand = subscription.demand;
    subscriber.dataCentre = subscription.dataCentre;
    subscriber.daemons = subscription.daemons;
}

feed_datagram briefAnswer(const feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now)
{
    auto update = emptyUpdate(source, now);
    update.nonce = subscription.nonce;
    // It tells of no change, so that only a follower which lacks none is complete with it.
    update.after = update.upTo = source.upTo;
    return {{from}, std::move(update)};
}

std::vector<feed_datagram> answerSubscription(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now)
{
    noteSubscriber(source, subscription, from, now);
    auto &subscriber = source.subscribers[subscription.from];
    std::vector<feed_update> updates;
    if (!subscription.wantsReplicas) {
        updates.push_back(emptyUpdate(source, now));
    } else if (source.upTo == 0 || subscription.replicasUpTo < source.completeAfter) {
        updates.push_back(emptyUpdate(source, now));
        updates.back().isHistoryLost = source.upTo > 0;
        subscriber.sentUpTo = source.upTo;
    } else {
        updates = updatesAfter(source, subscription.replicasUpTo, now);
        subscriber.sentUpTo = std::max(subscription.replicasUpTo, updates.back().upTo);
    }
    updates.back().nonce = subscription.nonce;
    std::vector<feed_datagram> datagrams;
    datagrams.reserve(updates.size());
    for (auto &update : updates) {
        datagrams.push_back({{from}, std::move(update)});
    }
    return datagrams;
}

std::vector<feed_datagram> pendingPushes(feed_source &source, instant now)
{
    std::erase_if(source.subscribers, [&](const auto &entry) { return !isHeard(entry.second, now); });
    // Most followers have come equally far: what they lack is put together once.
    std::map<std::uint64_t, std::vector<endpoint>> lagging;
    for (auto &[id, subscriber] : source.subscribers) {
        if (subscriber.wantsReplicas && subscriber.sentUpTo >= source.completeAfter && subscriber.sentUpTo < source.upTo) {
            lagging[subscriber.sentUpTo].push_back(subscriber.address);
        }
    }
    std::vector<feed_datagram> datagrams;
    std::map<std::uint64_t, std::uint64_t> sentUpTo;
    for (const auto &[after, addresses] : lagging) {
        auto updates = updatesAfter(source, after, now);
        sentUpTo[after] = updates.back().upTo;
        const bool hasNews = !updates.front().changes.empty();
        for (std::size_t i = 0; hasNews && i < updates.size(); ++i) {
            datagrams.push_back({addresses, std::move(updates[i])});
        }
    }
    for (auto &[id, subscriber] : source.subscribers) {
        const auto sent = sentUpTo.find(subscriber.sentUpTo);
        if (subscriber.wantsReplicas && sent != sentUpTo.end()) {
            subscriber.sentUpTo = sent->second;
        }
    }
    return datagrams;
}

std::vector<endpoint> heardFollowers(const feed_source &source, instant now)
{
    std::vector<endpoint> followers;
    for (const auto &[id, subscriber] : source.subscribers) {
        if (isHeard(subscriber, now)) {
            followers.push_back(subscriber.address);
        }
    }
    return followers;
}

std::map<model_id, int> demandOf(const feed_source &source, const service_id &service, instant now)
{
    std::map<model_id, int> result;
    for (const auto &[id, subscriber] : source.subscribers) {
        for (const auto &demand : subscriber.demand) {
            if (isHeard(subscriber, now) && demand.service == service) {
                result[demand.model] += demand.outstanding;
            }
        }
    }
    return result;
}

std::vector<model_demand> totalDemand(const feed_source &source, instant now)
{
    std::map<std::pair<service_id, model_id>, int> sums;
    for (const auto &[id, subscriber] : source.subscribers) {
        if (!isHeard(subscriber, now)) {
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

bool isHeard(const feed_subscriber &subscriber, instant now)
{
    return now - subscriber.lastHeard <= subscriberLifetime;
}

int countDaemons(const feed_source &source, instant now)
{
    int daemons = 1;
    for (const auto &[id, subscriber] : source.subscribers) {
        daemons += isHeard(subscriber, now) ? subscriber.daemons : 0;
    }
    return daemons;
}

} // namespace vetchpost
