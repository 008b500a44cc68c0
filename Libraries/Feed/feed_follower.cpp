// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_follower.h"

namespace vetchpost {

namespace {

/// Subscriptions whose answer may still be on its way.
constexpr std::size_t mostAsked = 8;

} // namespace

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
    follower.daemons = update.daemons;
    return when;
}

bool isSourceHeard(const feed_follower &follower, duration silence, instant now)
{
    return follower.lastAnswer && now - *follower.lastAnswer < silence;
}

} // namespace vetchpost
