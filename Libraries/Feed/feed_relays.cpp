// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_relays.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Returns the number of daemons behind a relay, itself included: as it reports them, or more if followers were just referred to it.
int daemonsBehind(const feed_subscriber &subscriber, instant now)
{
    const auto referredCount = std::count_if(subscriber.recentReferrals.begin(), subscriber.recentReferrals.end(), [&](const auto &entry) {
        return now - entry.second <= relayTimeout;
    });
    return std::max(subscriber.daemons, 1 + static_cast<int>(referredCount));
}

/// Returns the number of daemons in a data centre, those behind relays included.
int daemonsIn(const feed_publisher &publisher, const data_centre_id &dataCentre, instant now)
{
    int daemons = 0;
    for (const auto &[id, subscriber] : publisher.subscribers) {
        daemons += subscriber.dataCentre == dataCentre && isSubscribed(subscriber, now) ? daemonsBehind(subscriber, now) : 0;
    }
    return daemons;
}

/// Returns the relays of a data centre that may get further followers.
std::vector<feed_subscriber *> relaysIn(feed_publisher &publisher, const data_centre_id &dataCentre, instant now)
{
    std::vector<feed_subscriber *> relays;
    for (auto &[id, subscriber] : publisher.subscribers) {
        if (subscriber.isRelay && subscriber.dataCentre == dataCentre && now - subscriber.lastSubscribedAt <= relayTimeout) {
            relays.push_back(&subscriber);
        }
    }
    return relays;
}

/// Returns the relay with the fewest daemons behind it, except the one that the follower has just lost; nullptr if there is no other.
feed_subscriber *relayFor(std::vector<feed_subscriber *> relays, const std::optional<endpoint> &lost, instant now)
{
    std::erase_if(relays, [&](const feed_subscriber *relay) { return relay->address == lost; });
    const auto fewest = std::min_element(relays.begin(), relays.end(), [&](const auto *left, const auto *right) {
        return daemonsBehind(*left, now) < daemonsBehind(*right, now);
    });
    return fewest == relays.end() ? nullptr : *fewest;
}

} // namespace

int followersPerRelay(int daemons)
{
    return std::max(maxDaemonsWithoutRelays, static_cast<int>(std::ceil(std::sqrt(daemons))));
}

// A follower that is referred gets the changes that it lacks from its relay. If many daemons lost their relays at once, sending each of
// them up to twelve datagrams would keep a source on a small instance permanently overloaded.
std::vector<feed_datagram>
answerOrRefer(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now)
{
    updateSubscriber(publisher, subscription, from, now);
    if (const auto relay = referFollower(publisher, subscription, now)) {
        return {answerWithoutChanges(publisher, subscription, from, now), {{from}, feed_referral{*relay}}};
    }
    return answerSubscription(publisher, subscription, from, now);
}

std::optional<endpoint> referFollower(feed_publisher &publisher, const feed_subscription &subscription, instant now)
{
    const auto found = publisher.subscribers.find(subscription.from);
    if (found != publisher.subscribers.end() && subscription.isEnding) {
        found->second.isRelay = false;
    }
    const auto daemons = countDaemons(publisher, now);
    if (found == publisher.subscribers.end() || daemons <= maxDaemonsWithoutRelays || found->second.isRelay) {
        return std::nullopt;
    }
    const auto relays = relaysIn(publisher, subscription.dataCentre, now);
    const auto capacity = followersPerRelay(daemons) * static_cast<int>(relays.size());
    auto *relay = relayFor(relays, subscription.lostRelay, now);
    const bool needsRelay = daemonsIn(publisher, subscription.dataCentre, now) > capacity || relay == nullptr;
    // A daemon that has followers from before this source took over goes on serving them.
    if (needsRelay || subscription.daemons > 1) {
        found->second.isRelay = !subscription.isEnding;
        return std::nullopt;
    }
    std::erase_if(relay->recentReferrals, [&](const auto &entry) { return now - entry.second > relayTimeout; });
    relay->recentReferrals[subscription.from] = now;
    publisher.subscribers.erase(found);
    return relay->address;
}

} // namespace vetchpost
