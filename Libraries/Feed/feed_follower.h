// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <deque>
#include <map>

namespace vetchpost {

/// A daemon's state as a follower: its source and its pending subscriptions.
struct feed_follower
{
    /// The daemon that reads the key-value service for all, if known.
    std::optional<endpoint> coordinator;
    /// The daemon that subscriptions are sent to: the coordinator, or a relay that it referred this follower to.
    std::optional<endpoint> source;
    /// The relay that was lost; set until another relay has answered.
    std::optional<endpoint> lostRelay;
    /// Whether the source has answered since this daemon began to follow it.
    bool hasSourceAnswered = false;
    instant nextSubscription;
    std::uint64_t lastNonce = 0;
    /// When each unanswered subscription was sent, by nonce; only the latest are kept.
    std::map<std::uint64_t, instant> pendingSubscriptions;
    std::optional<instant> lastAnswer;
    /// The counts of daemons that may still become the highest, with the time of each, in descending order of the counts.
    std::deque<std::pair<instant, int>> recentDaemonCounts;
    /// Since when the count has been known without a gap, if it is known.
    instant daemonsKnownSince;
    /// Whether this daemon may use its own count while it is the source.
    bool mayCountDaemons = false;
};

/// The number of daemons that share what all of them together may use.
struct counted_daemons
{
    int daemons = 0;
    /// Since when a number has been known without a gap.
    instant knownSince;
};

/// Begins to follow a coordinator, unless the follower already follows it, directly or through a relay.
void follow(feed_follower &follower, const endpoint &coordinator, instant now);
/// Switches to the relay that the coordinator refers this follower to. Returns false, and changes nothing, unless \a from is the
/// coordinator and the current source.
bool acceptReferral(feed_follower &follower, const endpoint &from, const endpoint &relay, instant now);
/// Gives up a source that is silent or has stopped: a lost relay is replaced by its coordinator. Returns false if no source is left.
bool dropSource(feed_follower &follower, instant now);
/// Returns whether the source has answered before but not within \a silence, or is a relay that has left a subscription unanswered for that
/// long.
bool hasSourceTimedOut(const feed_follower &follower, duration silence, instant now);

/// Records the count of daemons that the source has reported.
void recordDaemonCount(feed_follower &follower, int daemons, instant now);
/// Begins to count the daemons as the source. Without a count that is still known, this daemon's own one is not used before
/// setPredecessorCount() was called.
void beginCounting(feed_follower &follower, instant now);
/// Sets the number of daemons that the predecessor as the source has recorded; 0 if there was none.
void setPredecessorCount(feed_follower &follower, int daemons, instant now);
/// Records the count of daemons that this daemon has made as the source.
void recordOwnCount(feed_follower &follower, int daemons, instant now);
/// Returns the number of daemons: the highest count within the last 30 seconds, or nothing if none was reported in the last 20 seconds.
std::optional<counted_daemons> knownDaemonCount(const feed_follower &follower, instant now);
std::optional<int> knownDaemons(const feed_follower &follower, instant now);
/// Returns the next subscription to send and records when it was sent.
feed_subscription
makeSubscription(feed_follower &follower, const daemon_id &from, store_revision replicasUpTo, bool wantsReplicas, instant now);
/// Records an update. Returns when the subscription that it answers was sent, or nothing if it answers none or was relayed too often. The
/// ages in the update count from that moment at the earliest, however long the messages travelled or either process was suspended.
std::optional<instant> acceptUpdate(feed_follower &follower, const feed_update &update, instant now);
/// Returns whether the source has answered within \a silence.
bool isSourceActive(const feed_follower &follower, duration silence, instant now);

} // namespace vetchpost
