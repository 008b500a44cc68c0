// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Feed/feed_publisher.h"
#include "Libraries/Feed/feed_timing.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/replica_constraints.h"
#include "Libraries/Routing/key_bound.h"
#include "Libraries/Routing/route_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// Keeps the configuration and the replicas' entries of the key-value service at hand, each on a thread of its own. While the coordinator
/// passes them on it is not asked; the coordinator itself, and a daemon that does not hear it, ask the service.
class store_follower
{
public:
    /// \a didChange is called on either thread after anything changed, \a didSeeLeaving with replicas whose entries say that they leave.
    store_follower(key_value_service &keyValue,
                   const entry_dialect &dialect,
                   const feed_timing &timing,
                   metrics &counters,
                   std::function<void()> didChange,
                   std::function<void(const std::vector<replica_key> &)> didSeeLeaving);
    ~store_follower();
    store_follower(const store_follower &) = delete;
    store_follower &operator=(const store_follower &) = delete;

    void start();
    void stop();
    /// Whether this daemon passes on what it reads: then it reads often, and changes of the replicas are told one by one.
    void setSource(bool isSource);
    /// The first request has come, here or elsewhere.
    void noteTraffic();
    /// Replicas that leave by their own word: the directory shows them as if their entries said so.
    void noteLeaving(const std::set<replica_key> &replicas);
    /// Reads a whole new listing of the replicas before it returns.
    void listAgain();

    /// Takes in what the source passes on. \a asked is when the subscription was sent that it answers; nothing where it answers none.
    void takeUpdate(const feed_update &update, std::optional<instant> asked);
    /// The service's revision up to which the replicas' entries are known; 0 before the first listing.
    std::uint64_t replicasUpTo() const;
    /// With \a mayRefer a follower may be sent to a relay.
    std::vector<feed_datagram> answerSubscription(const feed_subscription &subscription, const endpoint &from, bool mayRefer = false);
    std::vector<feed_datagram> pendingPushes();
    /// Where what is known here was read, and how many daemons there are by the word of the one that passed it on.
    void setOrigin(const feed_origin &origin, int sourceDaemonCount);
    /// Tells all followers that this daemon is no source any more, and forgets them.
    std::vector<feed_datagram> endOfFeed();
    /// Requests of each model that the followers hold.
    std::map<model_id, int> followersDemand(const service_id &service) const;
    std::vector<model_demand> followersDemand() const;
    /// The followers that were heard lately.
    std::vector<endpoint> activeFollowers() const;
    /// Followers that were heard lately, and this daemon.
    int daemonsHeard() const;

    /// nullptr before the first configuration.
    std::shared_ptr<const route_table> routes() const;
    std::shared_ptr<const replica_directory> directory() const;
    /// The configuration at hand was the newest at this moment: when the last successful read began.
    std::optional<instant> configurationCurrentAt() const;
    configuration_knowledge configurationKnowledge() const;
    /// Whether the key-value service answered the last call.
    bool isServiceAnswering() const;
    /// When the last whole listing began; nothing before the first.
    std::optional<instant> listedAt() const;
    /// When the first one began: all changes since then are known.
    std::optional<instant> followedSince() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
