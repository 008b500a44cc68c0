// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_follower.h"

#include "Libraries/Feed/feed_relays.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// Limit on the unanswered subscriptions that are remembered because their answers may still arrive.
constexpr std::size_t maxPendingSubscriptions = 24;
/// Delay before a follower that has lost its relay subscribes to the coordinator. Without it followers that are referred to a relay which
/// has just stopped or started would go back and forth as fast as datagrams travel.
constexpr duration resubscribeDelay(100);
/// How long a count of daemons stays in use after it was last reported. Daemons from which the source receives nothing may still retry
/// requests: a new source has received no subscriptions yet, and a partitioned daemon's do not arrive until the partition ends. This is
/// longer than the ten seconds over which retries are counted, and than most partitions.
constexpr duration daemonCountWindow(30000);
/// A daemon to which no count has been reported for this long does not know how many daemons there are. By then it has given up its part
/// of what the daemons share, before the source, from whose count it disappears, gives that part to others.
constexpr duration daemonCountLifetime(20000);

void switchSource(feed_follower &follower, const endpoint &source, instant now)
{
    follower.source = source;
    follower.hasSourceAnswered = false;
    follower.lastAnswer.reset();
    follower.nextSubscription = now;
}

} // namespace

void follow(feed_follower &follower, const endpoint &coordinator, instant now)
{
    const bool isFollowed = follower.source && follower.coordinator == coordinator;
    follower.coordinator = coordinator;
    if (!isFollowed) {
        switchSource(follower, coordinator, now);
    }
}

bool acceptReferral(feed_follower &follower, const endpoint &from, const endpoint &relay, instant now)
{
    if (from != follower.coordinator || from != follower.source) {
        return false;
    }
    switchSource(follower, relay, now);
    return true;
}

bool dropSource(feed_follower &follower, instant now)
{
    const bool wasRelay = follower.source != follower.coordinator;
    if (wasRelay && follower.coordinator) {
        follower.lostRelay = follower.source;
        switchSource(follower, *follower.coordinator, now + resubscribeDelay);
        return true;
    }
    follower.source.reset();
    follower.coordinator.reset();
    follower.hasSourceAnswered = false;
    follower.lastAnswer.reset();
    return false;
}

// The daemons share one budget of retries, divided by this count: a count that is too high costs retries, one that is too low lets them
// exceed the bound.
void recordDaemonCount(feed_follower &follower, int daemons, instant now)
{
    if (!knownDaemons(follower, now)) {
        follower.daemonsKnownSince = now;
    }
    auto &counts = follower.recentDaemonCounts;
    // A count that is not above a later one can never be the highest again.
    while (!counts.empty() && counts.back().second <= daemons) {
        counts.pop_back();
    }
    counts.emplace_back(now, daemons);
    while (now - counts.front().first >= daemonCountWindow) {
        counts.pop_front();
    }
}

// A daemon that starts while others can't reach it would count itself alone, and they still hold their parts by the count of before.
void beginCounting(feed_follower &follower, instant now)
{
    follower.mayCountDaemons = knownDaemons(follower, now).has_value();
}

void setPredecessorCount(feed_follower &follower, int daemons, instant now)
{
    follower.mayCountDaemons = true;
    recordDaemonCount(follower, std::max(1, daemons), now);
}

void recordOwnCount(feed_follower &follower, int daemons, instant now)
{
    // After a suspension for longer than the count lasts, the others may have a new source.
    follower.mayCountDaemons = follower.mayCountDaemons && knownDaemons(follower, now);
    if (follower.mayCountDaemons) {
        recordDaemonCount(follower, daemons, now);
    }
}

std::optional<counted_daemons> knownDaemonCount(const feed_follower &follower, instant now)
{
    const auto &counts = follower.recentDaemonCounts;
    const bool isKnown = !counts.empty() && now - counts.back().first < daemonCountLifetime;
    return isKnown ? std::optional(counted_daemons{counts.front().second, follower.daemonsKnownSince}) : std::nullopt;
}

std::optional<int> knownDaemons(const feed_follower &follower, instant now)
{
    const auto known = knownDaemonCount(follower, now);
    return known ? std::optional(known->daemons) : std::nullopt;
}

feed_subscription
makeSubscription(feed_follower &follower, const daemon_id &from, store_revision replicasUpTo, bool wantsReplicas, instant now)
{
    follower.pendingSubscriptions[++follower.lastNonce] = now;
    if (follower.pendingSubscriptions.size() > maxPendingSubscriptions) {
        follower.pendingSubscriptions.erase(follower.pendingSubscriptions.begin());
    }
    feed_subscription subscription{from, follower.lastNonce, replicasUpTo, wantsReplicas, {}};
    subscription.lostRelay = follower.lostRelay;
    return subscription;
}

std::optional<instant> acceptUpdate(feed_follower &follower, const feed_update &update, instant now)
{
    const auto answered = follower.pendingSubscriptions.find(update.nonce);
    if (answered == follower.pendingSubscriptions.end()) {
        return std::nullopt;
    }
    if (update.origin.hops > maxHops) {
        // The update travels in a loop of daemons that have lost the coordinator.
        return std::nullopt;
    }
    const auto sentAt = answered->second;
    // Answers to earlier subscriptions that arrive after this one contain nothing new.
    follower.pendingSubscriptions.erase(follower.pendingSubscriptions.begin(), std::next(answered));
    follower.lastAnswer = now;
    if (update.origin.source.port != 0) {
        // The relay may have become the coordinator, or have begun to follow another one.
        follower.coordinator = update.origin.source;
    }
    if (update.origin.hops > 0) {
        follower.lostRelay.reset();
    }
    if (update.daemons > 0) {
        recordDaemonCount(follower, update.daemons, now);
    }
    return sentAt;
}

// A relay that never answers is given up after the same time as a source that stops answering.
bool hasSourceTimedOut(const feed_follower &follower, duration silence, instant now)
{
    const bool isRelay = follower.source && follower.source != follower.coordinator;
    const auto isOld = [&](const auto &pending) { return now - pending.second >= silence; };
    const bool isUnanswered = !follower.pendingSubscriptions.empty() && isOld(*follower.pendingSubscriptions.begin());
    return follower.hasSourceAnswered ? !isSourceActive(follower, silence, now) : isRelay && isUnanswered;
}

bool isSourceActive(const feed_follower &follower, duration silence, instant now)
{
    return follower.lastAnswer && now - *follower.lastAnswer < silence;
}

} // namespace vetchpost
