// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_follower.h"

namespace vetchpost {

namespace {

/// Subscriptions whose answer may still be on its way.
constexpr std::size_t mostAsked = 8;
/// A number of daemons is believed for so long after it was told last. Daemons that the source does not hear may still send repeats: it
/// hears nobody at first, and those behind a cut not before it ends. Longer than the ten seconds over which repeats are counted, and than
/// most cuts.
constexpr duration daemonsLifetime(30000);

} // namespace

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
    return {from, follower.lastNonce, replicasUpTo, wantsReplicas, {}};
}

std::optional<instant> noteUpdate(feed_follower &follower, const feed_update &update, instant now)
{
    const auto asked = follower.asked.find(update.nonce);
    if (asked == follower.asked.end()) {
        return std::nullopt;
    }
    const auto when = asked->second;
    // Answers to earlier subscriptions that come now tell nothing new.
    follower.asked.erase(follower.asked.begin(), std::next(asked));
    follower.lastAnswer = now;
    noteDaemons(follower, update.daemons, now);
    return when;
}

bool isSourceHeard(const feed_follower &follower, duration silence, instant now)
{
    return follower.lastAnswer && now - *follower.lastAnswer < silence;
}

} // namespace vetchpost
