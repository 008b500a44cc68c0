// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Feed/feed_messages.h"

#include <map>
#include <optional>

namespace vetchpost {

/// A follower counts as present for this long after its last subscription.
constexpr duration subscriberTimeout(5000);
/// At about 150 bytes per change a datagram stays within an Ethernet frame, so that it is not fragmented.
constexpr std::size_t maxChangesPerDatagram = 8;
/// Limit on the datagrams sent to one follower at a time; its next subscription requests the rest.
constexpr std::size_t maxDatagramsPerSend = 12;

/// A message and the addresses that it is sent to.
struct feed_datagram
{
    std::vector<endpoint> to;
    feed_message message;
};

/// A follower of this daemon, as described by its last subscription.
struct feed_subscriber
{
    endpoint address;
    instant lastSubscribedAt;
    /// Changes up to this revision of the key-value service were sent to it.
    store_revision sentUpTo;
    bool wantsReplicas = false;
    std::vector<model_demand> demand;
    data_centre_id dataCentre;
    /// Number of daemons behind the follower, itself included.
    int daemons = 1;
    /// The follower and daemons behind it that may be dispatchers.
    std::vector<dispatcher_candidate> candidates;
    /// Digest of the list of dispatchers that was last sent to the follower or that it has reported; empty if it wants none.
    std::optional<std::uint64_t> dispatchersDigest;
    /// Whether the follower was chosen to relay the feed to other daemons of its data centre.
    bool isRelay = false;
    /// Followers that were recently referred to this relay, and when. They are missing from its own count until its next subscription.
    std::map<daemon_id, instant> recentReferrals;
    /// Changes of the evacuated data centres up to this number (evacuation_set::changes) were sent to it.
    std::uint64_t sentEvacuations = 0;
};

/// State of a daemon that serves the feed, as the source or as a relay: the latest change of each replica's entry, the revision since which
/// these changes are complete, and the daemon's followers.
struct feed_publisher
{
    std::map<instance_id, replica_change> latest;
    /// \a latest holds every change after this revision.
    store_revision completeAfter;
    /// The key-value service's revision up to which \a latest goes; none before the first listing.
    store_revision upTo;
    key_revision configuration;
    /// When the read that found this configuration began.
    std::optional<instant> configurationCurrentAt;
    /// The last moment at which all changes of replicas' entries were known.
    std::optional<instant> replicasCurrentAt;
    /// The evacuated data centres, which are part of each update once they are known.
    evacuation_set evacuations;
    std::map<daemon_id, feed_subscriber> subscribers;
    /// The daemon that read this state from the key-value service: this one, or the source from which it was relayed.
    feed_origin origin;
    /// The number of daemons that share what all may use, as this daemon knows it, and when it did so; 0 if it does not.
    int sharingDaemons = 0;
    instant sharingCountedAt;
    /// The dispatchers that this daemon chose as the source, or that its source reported.
    dispatcher_list dispatchers;
    /// Digest of \a dispatchers.
    std::uint64_t dispatchersDigest = 0;
};

/// Applies a listing of all replicas' entries as of the key-value service's revision \a upTo. With \a isContinuous no entry can have
/// expired unseen since the service's last answer, so entries that the listing lacks are recorded as removed; otherwise, and in a new era,
/// the changes known so far are discarded.
void applyListing(feed_publisher &publisher, const std::vector<replica_change> &listed, store_revision upTo, bool isContinuous);
/// Applies the changes that follow those already known, up to revision \a upTo of the key-value service.
void applyChanges(feed_publisher &publisher, const std::vector<replica_change> &changes, store_revision upTo);

/// Adds or updates the follower that sent a subscription.
void updateSubscriber(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now);
/// Returns the answer to a follower that is referred to a relay: the configuration's revision, without any changes of replicas.
feed_datagram
answerWithoutChanges(const feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now);
/// Records the follower and returns the answer to its subscription. Only the last datagram carries the nonce.
std::vector<feed_datagram>
answerSubscription(feed_publisher &publisher, const feed_subscription &subscription, const endpoint &from, instant now);
/// Returns the changes that present followers have not been sent yet, marks them as sent, and removes followers that are no longer present.
std::vector<feed_datagram> pendingPushes(feed_publisher &publisher, instant now);
/// Returns the list of dispatchers for the followers that lack it, and marks it as sent.
std::optional<feed_datagram> pendingDispatchers(feed_publisher &publisher, instant now);
/// Returns the candidates that followers reported within \a window.
std::vector<dispatcher_candidate> dispatcherCandidates(const feed_publisher &publisher, duration window, instant now);
/// Returns the updates that are not gathered with others: one for the present followers that were not sent the latest change of the
/// evacuated data centres. Marks it as sent; the next update repeats it.
std::vector<feed_datagram> evacuationPushes(feed_publisher &publisher, instant now);
/// Returns the addresses of the followers that are present.
std::vector<endpoint> activeFollowers(const feed_publisher &publisher, instant now);
/// Returns how many requests of a service the present followers hold, by model.
std::map<model_id, int> demandOf(const feed_publisher &publisher, const service_id &service, instant now);
/// Returns how many requests the present followers hold, by service and model.
std::vector<model_demand> totalDemand(const feed_publisher &publisher, instant now);
/// Returns whether the follower's last subscription is recent enough for it to count as present.
bool isSubscribed(const feed_subscriber &subscriber, instant now);
/// Returns the number of daemons known from recent subscriptions: this one, its followers and the daemons behind relays.
int countDaemons(const feed_publisher &publisher, instant now);

} // namespace vetchpost
