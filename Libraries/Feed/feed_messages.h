// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Feed/dispatcher_list.h"
#include "Libraries/Feed/proxy_table.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/part_suspects.h"
#include "Libraries/Requests/rate_permits.h"
#include "Libraries/Routing/evacuations.h"
#include "Libraries/Routing/replica_directory.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The datagrams by which the coordinator distributes to the other daemons what it reads from the key-value service (docs/design/FEED.md).
namespace vetchpost {

/// Number of requests for one model of a service that daemons hold.
struct model_demand
{
    service_id service;
    model_id model;
    int outstanding = 0;
};

/// Sent by a follower: states up to which revision it has the feed, and asks for newer changes.
struct feed_subscription
{
    daemon_id from;
    /// Returned in the answer, so that the follower knows when it sent the subscription that is answered.
    std::uint64_t nonce = 0;
    /// The key-value service's revision up to which the follower has the replicas' entries; none if it has no listing.
    store_revision replicasUpTo;
    /// Whether the follower wants the changes of replicas' entries. A daemon that has not had a request yet may do without them, since it
    /// routes nothing and the entries of whole groups are written at once. It reads the entries from the key-value service itself, with
    /// some delay.
    bool wantsReplicas = true;
    /// Requests held by the follower and by the daemons behind it.
    std::vector<model_demand> demand;
    data_centre_id dataCentre;
    /// Number of daemons behind the follower, itself included.
    int daemons = 1;
    /// The relay that the follower has lost; set until another relay has answered.
    std::optional<endpoint> lostRelay = {};
    /// Whether the follower is shutting down: no other follower should be referred to it.
    bool isEnding = false;
    /// The follower and some of the daemons behind it, if the source may name them as dispatchers.
    std::vector<dispatcher_candidate> candidates = {};
    /// Digest of the list of dispatchers that the follower has, 0 if it has none; empty if it wants none.
    std::optional<std::uint64_t> dispatchersDigest = {};
};

/// The latest write or removal of a replica's entry in the key-value service.
struct replica_change
{
    instance_id id;
    /// The key-value service's revision of the change.
    store_revision revision;
    /// The entry that was written; empty if the entry was removed.
    std::optional<served_replica> replica;
};

/// The daemon at which an update originates, and its distance from there.
struct feed_origin
{
    /// The address of the daemon that reads the key-value service for all.
    endpoint source;
    /// How many daemons have relayed the update since.
    int hops = 0;
};

/// Sent to a follower: the changes that it lacks, and how recent the sender's state is.
struct feed_update
{
    /// Nonce of the subscription that this update answers; 0 if it was pushed without one.
    std::uint64_t nonce = 0;
    feed_origin origin;
    /// Number of daemons that the source knows from recent subscriptions, itself included; 0 if a relay has lost the source.
    int daemons = 0;
    /// Revision of the newest configuration that the sender knows.
    key_revision configuration;
    /// Time since this configuration was known to be the newest; empty until the source has read one.
    std::optional<duration> configurationAge;
    /// Time since all changes of replicas' entries were known; empty before the first listing.
    std::optional<duration> replicasAge;
    /// \a changes holds all changes of replicas' entries after this revision of the key-value service, up to \a upTo.
    store_revision after;
    /// Last revision of the key-value service that \a changes covers.
    store_revision upTo;
    std::vector<replica_change> changes;
    /// Whether the sender no longer has all changes since the requested revision, so that the follower must list the entries itself.
    bool isHistoryLost = false;
    /// The dispatchers of all models; empty if the follower has them already.
    std::optional<dispatcher_list> dispatchers = {};
    /// All evacuated data centres; empty if the sender does not know them, or never reads them.
    std::optional<evacuation_report> evacuations = {};
    /// Time since \a evacuations was known to be the newest; empty if that is not known.
    std::optional<duration> evacuationsAge = {};
};

/// Sent to the source: the sender's requests make no progress at a replica.
struct stall_report
{
    daemon_id from;
    instance_id replica;
};

/// Sent by the source: a member of a group is silent, so requests that wait at the group's head should be sent elsewhere.
struct group_stall_warning
{
    instance_id head;
};

/// The sender does not serve the feed, or no longer does.
struct feed_end
{
};

/// Sent by the coordinator: the follower should subscribe to a relay instead.
struct feed_referral
{
    endpoint relay;
};

/// Entries of a replicated table that the receiver may lack (see table_sync).
template <class Report>
struct sync_batch
{
    /// Whether the sender has just begun to follow the receiver, and wants the receiver's whole table.
    bool requestsAll = false;
    /// Number of the last change of the sender's table that the batch covers; returned in the acknowledgement.
    std::uint64_t upTo = 0;
    std::vector<Report> reports;
};

/// Acknowledges a sync_batch.
template <class Report>
struct sync_ack
{
    /// Copied from the batch.
    std::uint64_t upTo = 0;
};

/// Batches of reports on requests that were at a replica when it terminated, and their acknowledgements.
using suspect_batch = sync_batch<suspect_report>;
using suspect_ack = sync_ack<suspect_report>;
/// Batches of reports on replicas that announced a rate limit or are leaving, and their acknowledgements.
using constraint_batch = sync_batch<constraint_report>;
using constraint_ack = sync_ack<constraint_report>;

/// Batches of reports on daemons through which others can reach replicas, and their acknowledgements.
using proxy_batch = sync_batch<proxy_report>;
using proxy_ack = sync_ack<proxy_report>;

/// Batches of reports on parts of prompts that were at a replica when it terminated, and their acknowledgements.
using part_batch = sync_batch<part_report>;
using part_ack = sync_ack<part_report>;

using feed_message = std::variant<feed_subscription,
                                  feed_update,
                                  stall_report,
                                  group_stall_warning,
                                  feed_end,
                                  feed_referral,
                                  suspect_batch,
                                  suspect_ack,
                                  constraint_batch,
                                  constraint_ack,
                                  permit_request,
                                  permit_response,
                                  proxy_batch,
                                  proxy_ack,
                                  part_batch,
                                  part_ack>;

/// Returns the message as the payload of a datagram.
std::string encodeFeedMessage(const feed_message &message);
/// Returns the message in a datagram's payload, or nothing if the bytes are not a valid message.
std::optional<feed_message> decodeFeedMessage(std::string_view bytes);

} // namespace vetchpost
