// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace vetchpost {

/// A daemon's role in the feed, which decides whether it answers other daemons' subscriptions.
struct feed_role
{
    /// Whether this daemon is the source, which reads the key-value service for all daemons.
    bool isSource = false;
    /// Whether a source has answered this daemon since it was last the source itself. Such a daemon serves followers as a relay; while its
    /// own source is lost it reads the key-value service for them.
    bool hasReceivedFeed = false;
    /// Whether this daemon is shutting down: it goes on following its source, but no longer serves followers as a relay.
    bool isEnding = false;
};

/// Returns whether the daemon answers subscriptions; otherwise it replies with feed_end.
inline bool servesFollowers(const feed_role &role)
{
    return role.isSource || (role.hasReceivedFeed && !role.isEnding);
}

/// Sets whether the daemon is the source. Returns whether it was the source before.
inline bool setSource(feed_role &role, bool isSource)
{
    const bool was = role.isSource;
    role.isSource = isSource;
    if (was && !isSource) {
        // Answers from a source before its own term must not make it a relay: its followers would take it for the coordinator, and none
        // would look for the new one.
        role.hasReceivedFeed = false;
    }
    return was;
}

} // namespace vetchpost
