// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_source.h"

#include <optional>

/// Who passes the feed on: with many daemons the source serves a few in each data centre, and these the others, so that what it sends grows
/// with the square root of their number (docs/design/FEED.md).
namespace vetchpost {

/// So many daemons are served by the source alone.
constexpr int mostServedDirectly = 16;
/// A relay that was not heard for so long gets no more followers; it subscribes three times as often.
constexpr duration relaySilence(1000);
/// An update that was passed on more often than this goes round in a circle.
constexpr int mostHops = 3;

/// How many followers a relay gets where there are so many daemons.
int followersPerRelay(int daemons);

/// The answer of a source to a follower: all that it lacks, or who had better be asked.
std::vector<feed_datagram> answerOrRefer(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now);
/// Decides whether a follower that has just subscribed is served here or by a relay: nothing where it is served here. Notes a follower that
/// becomes a relay, and forgets one that is sent away.
std::optional<endpoint> referFollower(feed_source &source, const feed_subscription &subscription, instant now);

} // namespace vetchpost
