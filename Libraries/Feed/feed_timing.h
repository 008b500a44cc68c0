// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The periods of the feed, all parts of the time within which an accepted configuration has to be in force everywhere. What a follower may
/// lag behind adds up: the source's reading, its own subscription, and the time until it asks the key-value service itself.
struct feed_timing
{
    /// How often the source reads the configuration.
    duration sourceReading{};
    /// How often a follower says how far it has come ...
    duration subscription{};
    /// ... and one that passes the feed on.
    duration relaySubscription{};
    /// A source that has not answered for so long is taken for gone: two subscriptions or their answers were lost.
    duration sourceSilence{};
    /// A follower reads the configuration itself when it was not told for so long.
    duration ownReading{};
    /// ... and watches the replicas itself after this time, since the source was in contact with the service.
    duration ownWatching{};
    /// One that passes the feed on does both sooner, so that its followers need not.
    duration relayReading{};
    duration relayWatching{};
};

inline feed_timing feedTiming(duration configurationApply)
{
    const auto part = [&](double share) { return std::chrono::duration_cast<duration>(configurationApply * share); };
    return {part(0.3), part(0.2), part(0.08), part(0.55), part(0.65), part(0.8), part(0.4), part(0.6)};
}

} // namespace vetchpost
