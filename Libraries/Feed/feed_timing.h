// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The periods and timeouts of the feed. Each is a fraction of the time within which an accepted configuration has to be in force on every
/// daemon, since a follower's delays add up: the source's read period, the follower's subscription period, and the delay until the follower
/// reads the key-value service itself.
struct feed_timing
{
    /// Interval at which the source reads the configuration.
    duration sourceReadPeriod{};
    /// Interval at which a follower without followers of its own sends a subscription.
    duration subscription{};
    /// Interval at which a relay sends a subscription.
    duration relaySubscriptionPeriod{};
    /// A follower gives its source up after this time without an answer, in which two subscriptions or their answers were lost.
    duration sourceTimeout{};
    /// A follower without followers of its own reads the configuration from the key-value service after this time without news of it.
    duration directReadDelay{};
    /// A follower without followers of its own watches the replicas in the key-value service once the source's last known contact with the
    /// service is this old.
    duration directWatchDelay{};
    /// The same delays for a relay: shorter, so that its followers need not read the service themselves.
    duration relayReadDelay{};
    duration relayWatchDelay{};
};

/// Returns the feed's periods for \a configurationApply, the time within which an accepted configuration has to be in force everywhere.
inline feed_timing feedTiming(duration configurationApply)
{
    const auto part = [&](double share) { return std::chrono::duration_cast<duration>(configurationApply * share); };
    return {part(0.3), part(0.2), part(0.08), part(0.55), part(0.65), part(0.8), part(0.4), part(0.6)};
}

} // namespace vetchpost
