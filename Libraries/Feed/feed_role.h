// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace vetchpost {

/// What a daemon is to the others that may ask it for the feed.
struct feed_role
{
    /// It reads the key-value service for all.
    bool isSource = false;
    /// A source has answered it since it was the source itself. While its source is away it reads for its followers itself.
    bool wasFed = false;
    /// It follows on, but passes nothing on any more.
    bool isEnding = false;
};

/// Whether it answers subscriptions; else it says that it is no source.
inline bool passesOn(const feed_role &role)
{
    return role.isSource || (role.wasFed && !role.isEnding);
}

/// Returns whether it was the source.
inline bool setSource(feed_role &role, bool isSource)
{
    const bool was = role.isSource;
    role.isSource = isSource;
    if (was && !isSource) {
        // It counted as heard on the strength of an older source's answers: its followers took it for the coordinator, and nobody looked
        // for another one.
        role.wasFed = false;
    }
    return was;
}

} // namespace vetchpost
