// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_publisher.h"

#include <optional>

/// Selection of relays. With many daemons the source serves only some in each data centre, and these relay the feed to the others, so that
/// the source's traffic grows with the square root of the number of daemons (docs/design/FEED.md).
namespace vetchpost {

/// Up to this number of daemons, itself included, the source serves all of them directly.
constexpr int maxDaemonsWithoutRelays = 16;
/// A relay without a subscription for this long gets no further followers. Relays subscribe three times within this time.
constexpr duration relayTimeout(1000);
/// An update that was relayed more often than this travels in a loop.
constexpr int maxHops = 3;

/// Returns how many daemons each relay serves, given the total number of daemons.
int followersPerRelay(int daemons);

/// Records the follower and returns the source's answer to its subscription: the changes that it lacks, or a referral to a relay.
std::vector<feed_datagram>
answerOrRefer(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now);
/// Decides whether a follower that has just subscribed is served directly or by a relay. Returns the relay's address, and then removes the
/// follower from the subscribers; returns nothing if the follower is served directly, and may then have made it a relay.
std::optional<endpoint> referFollower(feed_publisher &publisher, const feed_subscription &subscription, instant now);

} // namespace vetchpost
