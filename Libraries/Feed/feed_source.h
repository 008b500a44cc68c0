// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Feed/feed_messages.h"

#include <map>

namespace vetchpost {

/// A follower counts as there for so long after its last subscription.
constexpr duration subscriberLifetime(5000);
/// Changes in one datagram: with some 150 bytes each it stays within an Ethernet frame, so that none is cut into fragments.
constexpr std::size_t changesPerDatagram = 8;
/// Datagrams to one follower at a time; the rest follows with its next subscription.
constexpr std::size_t datagramsPerTurn = 12;

/// A message and where it goes.
struct feed_datagram
{
    std::vector<endpoint> to;
    feed_message message;
};

struct feed_subscriber
{
    endpoint address;
    instant lastHeard;
    /// Changes up to this revision were sent.
    std::uint64_t sentUpTo = 0;
    bool wantsReplicas = false;
    std::vector<model_demand> demand;
    data_centre_id dataCentre;
    /// The follower, and those that it passes the feed on to.
    int daemons = 1;
    /// It has been chosen to pass the feed on to others of its data centre.
    bool isRelay = false;
    /// Followers that were sent to it lately, with when: it tells of them a little later itself.
    std::map<daemon_id, instant> referred;
};

/// What one daemon has read from the key-value service, kept so that it can be passed on: the latest change of each replica's entry, and
/// the revision from which on this is complete.
struct feed_source
{
    std::map<instance_id, replica_change> latest;
    /// Changes after this revision are all here.
    std::uint64_t completeAfter = 0;
    /// The service's revision up to which this goes; 0 before the first listing.
    std::uint64_t upTo = 0;
    key_revision configuration;
    /// When the read began that found this configuration.
    std::optional<instant> configurationCurrentAt;
    /// When all changes of the replicas up to then were known.
    std::optional<instant> replicasSeenAt;
    std::map<daemon_id, feed_subscriber> subscribers;
    /// Where this was read: here, or by the daemon that passes it on to this one.
    feed_origin origin;
    /// How many daemons there are by the word of the one that passes it on; 0 where it was read here.
    int daemonsTold = 0;
};

/// Takes in a whole listing as of the service's revision \a upTo. \a isContinuous: nothing can have lapsed since the last answer of the
/// service, so that entries which are missing were removed.
void noteListing(feed_source &source, const std::vector<replica_change> &listed, std::uint64_t upTo, bool isContinuous);
/// Takes in all changes since those that are here, up to the revision \a upTo.
void noteChanges(feed_source &source, const std::vector<replica_change> &changes, std::uint64_t upTo);

/// Notes a follower and what it tells of itself.
void noteSubscriber(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now);
/// What a follower is told that will be served by another daemon: the configuration's revision, without any changes.
feed_datagram briefAnswer(const feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now);
/// The answer to a follower; the last datagram carries its nonce.
std::vector<feed_datagram>
answerSubscription(feed_source &source, const feed_subscription &subscription, const endpoint &from, instant now);
/// What the followers that were heard lately have not been sent yet.
std::vector<feed_datagram> pendingPushes(feed_source &source, instant now);
/// The followers that were heard lately.
std::vector<endpoint> heardFollowers(const feed_source &source, instant now);
/// Requests of each model of a service that the followers hold.
std::map<model_id, int> demandOf(const feed_source &source, const service_id &service, instant now);
/// Requests of each model that the followers hold, over all services.
std::vector<model_demand> totalDemand(const feed_source &source, instant now);
/// Whether a follower was heard so lately that it counts as there.
bool isHeard(const feed_subscriber &subscriber, instant now);
/// How many daemons there are by their subscriptions, this one and those behind a relay included.
int countDaemons(const feed_source &source, instant now);

} // namespace vetchpost
