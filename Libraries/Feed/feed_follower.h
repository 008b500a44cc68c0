// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <map>

namespace vetchpost {

/// One daemon's side of the feed: what it asked, and when.
struct feed_follower
{
    std::uint64_t lastNonce = 0;
    /// When each subscription was sent that has no answer yet; the latest few.
    std::map<std::uint64_t, instant> asked;
    std::optional<instant> lastAnswer;
    /// Daemons by the source's count, the highest of the last while; nothing before its first answer.
    std::optional<int> daemons;
    /// When the source last told so many.
    instant daemonsToldAt;
};

/// The next subscription.
feed_subscription subscribe(feed_follower &follower, const daemon_id &from, std::uint64_t replicasUpTo, bool wantsReplicas, instant now);
/// Notes an update. Returns when the subscription that it answers was sent; nothing for one that answers none. What the update tells was
/// true at that moment or later, whatever the message's way took, and however long either process stood still.
std::optional<instant> noteUpdate(feed_follower &follower, const feed_update &update, instant now);
/// Whether the source has answered within \a silence.
bool isSourceHeard(const feed_follower &follower, duration silence, instant now);

} // namespace vetchpost
