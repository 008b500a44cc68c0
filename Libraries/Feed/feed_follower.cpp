// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_follower.h"

#include "Libraries/Feed/feed_relays.h"

namespace vetchpost {

namespace {

/// Subscriptions whose answer may still be on its way.
constexpr std::size_t mostAsked = 24;
/// A follower that loses its relay waits for so long before it asks the coordinator: those that are sent to a daemon which has just ended
/// or started would else go to and fro as fast as the datagrams.
constexpr duration referralPause(100);
/// A number of daemons is believed for so long after it was told last. Daemons that the source does not hear may still send repeats: it
/// hears nobody at first, and those behind a cut not before it ends. Longer than the ten seconds over which repeats are counted, and than
/// most cuts.
constexpr duration daemonsLifetime(30000);

void ask(feed_follower &follower, const endpoint &source, instant now)
{
    follower.source = source;
    follower.wasHeard = false;
    follower.lastAnswer.reset();
    follower.nextSubscription = now;
}

} // namespace

void follow(feed_follower &follower, const endpoint &coordinator, instant now)
{
    const bool isAsked = follower.source && follower.coordinator == coordinator;
    follower.coordinator = coordinator;
    if (!isAsked) {
        ask(follower, coordinator, now);
    }
}

bool takeReferral(feed_follower &follower, const endpoint &from, const endpoint &relay, instant now)
{
    if (from != follower.coordinator || from != follower.source) {
        return false;
    }
    ask(follower, relay, now);
    return true;
}

bool loseSource(feed_follower &follower, instant now)
{
    const bool wasRelay = follower.source != follower.coordinator;
    if (wasRelay && follower.coordinator) {
        follower.lostRelay = follower.source;
        ask(follower, *follower.coordinator, now + referralPause);
        return true;
    }
    follower.source.reset();
    follower.coordinator.reset();
    follower.wasHeard = false;
    follower.lastAnswer.reset();
    return false;
}

// The number divides what all may send: one that is too large costs repeats, one that is too small breaks the bound.
void noteDaemons(feed_follower &follower, int daemons, instant now)
{
    auto &told = follower.daemonsTold;
    // What is not above a later number can never be the highest again.
    while (!told.empty() && told.back().second <= daemons) {
        told.pop_back();
    }
    told.emplace_back(now, daemons);
    while (now - told.front().first >= daemonsLifetime) {
        told.pop_front();
    }
    follower.daemons = told.front().second;
}

feed_subscription subscribe(feed_follower &follower, const daemon_id &from, std::uint64_t replicasUpTo, bool wantsReplicas, instant now)
{
    follower.asked[++follower.lastNonce] = now;
    if (follower.asked.size() > mostAsked) {
        follower.asked.erase(follower.asked.begin());
    }
    feed_subscription subscription{from, follower.lastNonce, replicasUpTo, wantsReplicas, {}};
    subscription.lostRelay = follower.lostRelay;
    return subscription;
}

std::optional<instant> noteUpdate(feed_follower &follower, const feed_update &update, instant now)
{
    const auto asked = follower.asked.find(update.nonce);
    if (asked == follower.asked.end()) {
        return std::nullopt;
    }
    if (update.origin.hops > mostHops) {
        // It comes from a circle of daemons that have lost the coordinator.
        return std::nullopt;
    }
    const auto when = asked->second;
    // Answers to earlier subscriptions that come now tell nothing new.
    follower.asked.erase(follower.asked.begin(), std::next(asked));
    follower.lastAnswer = now;
    if (update.origin.source.port != 0) {
        // A relay may have become the coordinator, or have found another one.
        follower.coordinator = update.origin.source;
    }
    if (update.origin.hops > 0) {
        follower.lostRelay.reset();
    }
    noteDaemons(follower, update.daemons, now);
    return when;
}

// A relay that does not answer at all is given up after the same time as a source that falls silent.
bool isSourceSilent(const feed_follower &follower, duration silence, instant now)
{
    const bool isRelay = follower.source && follower.source != follower.coordinator;
    const auto isOld = [&](const auto &asked) { return now - asked.second >= silence; };
    const bool isUnanswered = !follower.asked.empty() && isOld(*follower.asked.begin());
    return follower.wasHeard ? !isSourceHeard(follower, silence, now) : isRelay && isUnanswered;
}

bool isSourceHeard(const feed_follower &follower, duration silence, instant now)
{
    return follower.lastAnswer && now - *follower.lastAnswer < silence;
}

} // namespace vetchpost
