// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <deque>
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
    /// The numbers that may still be the highest, with when each was told last: the earlier the higher.
    std::deque<std::pair<instant, int>> daemonsTold;
};

/// Takes in a number of daemons: the source's, or the daemon's own where it is the source. The highest of the last while counts.
void noteDaemons(feed_follower &follower, int daemons, instant now);
/// The next subscription.
feed_subscription subscribe(feed_follower &follower, const daemon_id &from, std::uint64_t replicasUpTo, bool wantsReplicas, instant now);
/// Notes an update. Returns when the subscription that it answers was sent; nothing for one that answers none. What the update tells was
/// true at that moment or later, whatever the message's way took, and however long either process stood still.
std::optional<instant> noteUpdate(feed_follower &follower, const feed_update &update, instant now);
/// Whether the source has answered within \a silence.
bool isSourceHeard(const feed_follower &follower, duration silence, instant now);

} // namespace vetchpost
