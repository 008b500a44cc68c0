// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/configuration_confirmation.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Feed/feed_publisher.h"
#include "Libraries/Feed/feed_timing.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/replica_constraints.h"
#include "Libraries/Routing/key_revocation_policy.h"
#include "Libraries/Routing/route_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// Keeps a local copy of the configuration and of the replicas' entries in the key-value service, each on its own thread. A daemon that
/// receives updates from the source (the coordinator, or a relay) does not call the service; the coordinator itself, and a daemon without a
/// source, do.
class store_follower
{
public:
    /// \a didChange is called on any thread after a change, \a didSeeLeaving with replicas whose entries say that they leave.
    store_follower(key_value_service &keyValue,
                   const entry_dialect &dialect,
                   const feed_timing &timing,
                   metrics &counters,
                   std::function<void()> didChange,
                   std::function<void(const std::vector<replica_key> &)> didSeeLeaving);
    ~store_follower();
    store_follower(const store_follower &) = delete;
    store_follower &operator=(const store_follower &) = delete;

    /// Turns on the reading of evacuated data centres, which have to be in force everywhere within \a bound. Without this call, or with a
    /// bound of 0, they are never read. Called before start().
    void enableEvacuations(duration bound);
    /// Sets when a configuration counts as the newest after the key-value service has come back from an older copy; by default it always
    /// does. Called before start().
    void setConfirmationPolicy(const confirmation_policy &policy);
    void start();
    void stop();
    /// Sets whether this daemon is the source, which relays what it reads to its followers. A source reads often, and watches the replicas
    /// even before the first request.
    void setSource(bool isSource);
    /// Records that a first request has arrived, here or at another daemon. From then on the replicas' changes are followed one by one.
    void recordTraffic();
    /// Sets whether the remaining cold times of replicas are kept and passed on; they are not by default.
    void setColdPaced(bool isColdPaced);
    /// Replaces the set of replicas that announced that they leave. The directory marks them as if their entries said so.
    void updateLeaving(const std::set<replica_key> &replicas);
    /// Reads a new listing of the replicas before it returns. If that fails, the thread that follows them lists again.
    void relist();

    /// Applies an update from the source. \a asked is the time at which the subscription that it answers was sent; nothing if it answers
    /// none.
    void applyUpdate(const feed_update &update, std::optional<instant> asked);
    /// Returns the service's revision up to which the replicas' entries are known; none before the first listing.
    store_revision replicasUpTo() const;
    /// Returns the answer to a follower's subscription. With \a mayRefer it may refer the follower to a relay.
    std::vector<feed_datagram> answerSubscription(const feed_subscription &subscription, const endpoint &from, bool mayRefer = false);
    /// Returns the changes that active followers have not been sent yet.
    std::vector<feed_datagram> pendingPushes();
    /// Returns the updates for present followers that lack the latest change of the evacuated data centres.
    std::vector<feed_datagram> pendingEvacuationPushes();
    /// Sets which daemon read this copy from the service.
    void setOrigin(const feed_origin &origin);
    /// Sets the number of daemons that the followers are told, for two seconds; 0 if it is not known.
    void setSharingDaemons(int daemons);
    /// Removes all followers, and returns the messages which tell them that this daemon is no longer their source.
    std::vector<feed_datagram> endFeed();
    /// Returns the number of requests for each model of a service that the followers hold.
    std::map<model_id, int> followersDemand(const service_id &service) const;
    /// Returns the number of requests for each model that the followers hold, over all services.
    std::vector<model_demand> followersDemand() const;
    /// Sets the list of dispatchers, which pendingPushes() sends to the followers.
    void setDispatchers(const dispatcher_list &dispatchers);
    /// Returns the daemons that followers reported within \a window and that may be dispatchers.
    std::vector<dispatcher_candidate> dispatcherCandidates(duration window) const;
    /// Returns the addresses of the followers that subscribed recently.
    std::vector<endpoint> activeFollowers() const;
    /// Returns the number of daemons that subscribed recently, directly or through a relay, plus this one.
    int knownDaemons() const;

    /// Returns the routes of the configuration; nullptr before the first one.
    std::shared_ptr<const route_table> routes() const;
    /// Returns the current directory of the replicas, which is empty before the first listing.
    std::shared_ptr<const replica_directory> directory() const;
    /// Returns the evacuated data centres; nothing before they are known. Empty if they are never read.
    std::optional<std::set<data_centre_id>> evacuatedDataCentres() const;
    /// Returns what is known of the evacuated data centres.
    evacuation_set evacuations() const;
    /// Whether the evacuated data centres are known as of \a time or later, or are never read.
    bool areEvacuationsKnownSince(instant time) const;
    /// Returns the latest time at which the configuration is known to have been the newest: the start of a read, here or at the source.
    std::optional<instant> configurationCurrentAt() const;
    /// Whether a coordinator has declared the present era of the key-value service as settled, in which nothing remains to be written
    /// again.
    bool isEraSettled() const;
    /// Returns when the configuration here, and that of the source, were last known to be the newest.
    configuration_freshness configurationKnowledge() const;
    /// Whether the key-value service answered this daemon's last call.
    bool isServiceAnswering() const;
    /// Returns when the last complete listing began; nothing before the first one.
    std::optional<instant> listedAt() const;
    /// Returns since when all changes of the replicas' entries are known: the first listing, or the first one after an outage.
    std::optional<instant> followedSince() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
