// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/rate_permits.h"
#include "Libraries/Routing/replica_directory.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The datagrams by which the coordinator passes on what it reads from the key-value service (docs/design/FEED.md).
namespace vetchpost {

/// Requests for one model that a daemon holds.
struct model_demand
{
    service_id service;
    model_id model;
    int outstanding = 0;
};

/// A follower tells how far it has come and asks for what is newer.
struct feed_subscription
{
    daemon_id from;
    /// Comes back in the answer, so that the follower knows when it had asked.
    std::uint64_t nonce = 0;
    /// The service's revision up to which the follower has the replicas' entries; 0 where it has none.
    std::uint64_t replicasUpTo = 0;
    /// Whether it wants the replicas' changes. Before the first request nothing is routed, and whole groups come at once: then each daemon
    /// reads them from the service, a little late.
    bool wantsReplicas = true;
    /// Held by the follower and by those that it passes the feed on to.
    std::vector<model_demand> demand;
    data_centre_id dataCentre;
    /// The follower, and those that it passes the feed on to.
    int daemons = 1;
    /// The relay that it had and lost, until it is heard elsewhere.
    std::optional<endpoint> lostRelay = {};
    /// It is about to end: nobody should be referred to it.
    bool isEnding = false;
};

/// A replica's entry as it was written or removed last.
struct replica_change
{
    instance_id id;
    /// The service's revision of the change.
    std::uint64_t revision = 0;
    /// Nothing where the entry was removed.
    std::optional<served_replica> replica;
};

/// Where an update comes from.
struct feed_origin
{
    /// The address of the daemon that reads the key-value service for all.
    endpoint source;
    /// How many daemons have passed it on since.
    int hops = 0;
};

/// What the source has.
struct feed_update
{
    /// Of the subscription that this answers; 0 where it was sent unasked.
    std::uint64_t nonce = 0;
    feed_origin origin;
    /// Daemons that the source has heard lately, itself included.
    int daemons = 0;
    /// Revision of the configuration that was the newest ...
    key_revision configuration;
    /// ... so long ago; nothing before the source has read it.
    std::optional<duration> configurationAge;
    /// How long ago the source knew all changes of replicas' entries; nothing before its first listing.
    std::optional<duration> replicasAge;
    /// Holds all changes of replicas' entries after this revision of the service ...
    std::uint64_t after = 0;
    /// ... up to this one.
    std::uint64_t upTo = 0;
    std::vector<replica_change> changes;
    /// The source cannot tell all changes since the revision that was asked for: the follower must list.
    bool isHistoryLost = false;
};

/// Requests at a replica stand still at a daemon.
struct stall_notice
{
    daemon_id from;
    instance_id replica;
};

/// The source found a member of a group silent: requests that wait at the group's head had better go elsewhere.
struct group_doubt
{
    instance_id head;
};

/// The sender is no source (any more).
struct feed_end
{
};

/// The follower had better ask a daemon that passes the feed on.
struct feed_referral
{
    endpoint relay;
};

/// Entries of a table that all daemons keep, as far as the receiver may not know them.
template <class Report>
struct spread_list
{
    /// The sender has just begun to follow the receiver, and wants to be told all.
    bool isFirst = false;
    /// Of the sender's table; comes back in the receipt.
    std::uint64_t upTo = 0;
    std::vector<Report> reports;
};

/// A list has arrived.
template <class Report>
struct spread_receipt
{
    std::uint64_t upTo = 0;
};

/// Requests under which replicas ended.
using suspect_list = spread_list<crash_evidence>;
using suspect_receipt = spread_receipt<crash_evidence>;
/// Replicas that named a limit, or leave.
using constraint_list = spread_list<constraint_report>;
using constraint_receipt = spread_receipt<constraint_report>;

using feed_message = std::variant<feed_subscription,
                                  feed_update,
                                  stall_notice,
                                  group_doubt,
                                  feed_end,
                                  feed_referral,
                                  suspect_list,
                                  suspect_receipt,
                                  constraint_list,
                                  constraint_receipt,
                                  permit_question,
                                  permit_answer>;

std::string encodeFeedMessage(const feed_message &message);
/// Nothing where the bytes are no message.
std::optional<feed_message> decodeFeedMessage(std::string_view bytes);

} // namespace vetchpost
