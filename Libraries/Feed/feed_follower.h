// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <deque>
#include <map>

namespace vetchpost {

/// One daemon's side of the feed: what it asked, and when.
struct feed_follower
{
    /// The daemon that reads the key-value service for all, as far as it is known.
    std::optional<endpoint> coordinator;
    /// The one that is asked: the coordinator, or a relay that it named.
    std::optional<endpoint> source;
    /// The relay that fell silent, until another source is heard.
    std::optional<endpoint> lostRelay;
    /// Whether the source has answered since it is asked.
    bool wasHeard = false;
    instant nextSubscription;
    std::uint64_t lastNonce = 0;
    /// When each subscription was sent that has no answer yet; the latest few.
    std::map<std::uint64_t, instant> asked;
    std::optional<instant> lastAnswer;
    /// Daemons by the source's count, the highest of the last while; nothing before its first answer.
    std::optional<int> daemons;
    /// The numbers that may still be the highest, with when each was told last: the earlier the higher.
    std::deque<std::pair<instant, int>> daemonsTold;
};

/// Asks this coordinator from now on, unless it, or a relay that it named, is asked already.
void follow(feed_follower &follower, const endpoint &coordinator, instant now);
/// The coordinator names a relay to ask in its place. False where the word comes from somebody else.
bool takeReferral(feed_follower &follower, const endpoint &from, const endpoint &relay, instant now);
/// The source is silent or has ended: a relay gives way to its coordinator. False where nobody is left to ask.
bool loseSource(feed_follower &follower, instant now);
/// Whether the source had answered and is silent now.
bool isSourceSilent(const feed_follower &follower, duration silence, instant now);

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
