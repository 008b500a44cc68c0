// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_relays.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// A relay, the followers that it tells of, or at least those that were just sent to it.
int daemonsBehind(const feed_subscriber &subscriber, instant now)
{
    const auto sent = std::count_if(
        subscriber.referred.begin(), subscriber.referred.end(), [&](const auto &entry) { return now - entry.second <= relaySilence; });
    return std::max(subscriber.daemons, 1 + static_cast<int>(sent));
}

/// The daemons of a data centre, by their own subscriptions and by their relays'.
int daemonsIn(const feed_source &source, const data_centre_id &dataCentre, instant now)
{
    int daemons = 0;
    for (const auto &[id, subscriber] : source.subscribers) {
        daemons += subscriber.dataCentre == dataCentre && isHeard(subscriber, now) ? daemonsBehind(subscriber, now) : 0;
    }
    return daemons;
}

std::vector<feed_subscriber *> relaysIn(feed_source &source, const data_centre_id &dataCentre, instant now)
{
    std::vector<feed_subscriber *> relays;
    for (auto &[id, subscriber] : source.subscribers) {
        if (subscriber.isRelay && subscriber.dataCentre == dataCentre && now - subscriber.lastHeard <= relaySilence) {
            relays.push_back(&subscriber);
        }
    }
    return relays;
}

/// The relay with the fewest followers, but not the one that the follower has just lost; nullptr where there is no other.
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
    return std::max(mostServedDirectly, static_cast<int>(std::ceil(std::sqrt(daemons))));
}

// What a follower lacks is left to its relay: when many daemons lose their relays at once, the answers to all of them, of up to twelve
// datagrams each, would keep a small source busy for good.
std::vector<feed_datagram> answerOrRefer(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now)
{
    noteSubscriber(source, subscription, from, now);
    if (const auto relay = referFollower(source, subscription, now)) {
        return {briefAnswer(source, subscription, from, now), {{from}, feed_referral{*relay}}};
    }
    return answerSubscription(source, subscription, from, now);
}

std::optional<endpoint> referFollower(feed_source &source, const feed_subscription &subscription, instant now)
{
    const auto found = source.subscribers.find(subscription.from);
    if (found != source.subscribers.end() && subscription.isEnding) {
        found->second.isRelay = false;
    }
    const auto daemons = countDaemons(source, now);
    if (found == source.subscribers.end() || daemons <= mostServedDirectly || found->second.isRelay) {
        return std::nullopt;
    }
    const auto relays = relaysIn(source, subscription.dataCentre, now);
    const auto served = followersPerRelay(daemons) * static_cast<int>(relays.size());
    auto *relay = relayFor(relays, subscription.lostRelay, now);
    const bool isLacking = daemonsIn(source, subscription.dataCentre, now) > served || relay == nullptr;
    // One that has followers already, from before this source began, goes on serving them.
    if (isLacking || subscription.daemons > 1) {
        found->second.isRelay = !subscription.isEnding;
        return std::nullopt;
    }
    std::erase_if(relay->referred, [&](const auto &entry) { return now - entry.second > relaySilence; });
    relay->referred[subscription.from] = now;
    source.subscribers.erase(found);
    return relay->address;
}

} // namespace vetchpost
