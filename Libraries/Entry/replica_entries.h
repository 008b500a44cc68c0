// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Feed/feed_messages.h"
#include "Libraries/Requests/replica_constraints.h"
#include "Libraries/Routing/replica_directory.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// The replicas' entries in the key-value service as they change. An entry that vanished without proof that its replica ended is kept for a
/// while.
struct replica_entries
{
    replica_directory directory;
    /// Replicas whose entries were missing after an outage of the service, with the time at which they are removed.
    std::map<instance_id, instant> lapsed;
    /// Group members without an entry, with the time at which they are removed.
    std::map<instance_id, instant> unlisted;
    /// The service's revision of each replica's last change or removal, so that an older change never replaces a newer one.
    std::map<instance_id, store_revision> revisions;
};

/// After an outage of the key-value service of at least this duration, entries of live replicas may have expired.
constexpr duration lapsingOutage(1000);
/// Live replicas write their entries again within this time after an outage (the platform promises two seconds).
constexpr duration lapsedGrace(2200);

/// Records when changes were received, so that the remaining cold times in them become points in time. Removes the cold times unless
/// \a isColdPaced, for a daemon that does not pace requests to cold replicas.
void recordReceipt(std::vector<replica_change> &changes, bool isColdPaced, instant now);
/// Applies a complete listing of \a replicas as of the service's revision \a upTo; known changes that are newer stay. \a outage is the
/// duration of a recent outage of the service: if it was long enough, missing replicas are marked as lapsed and kept until lapsedGrace
/// after \a outageEnd, or after \a now without one.
void applyListing(replica_entries &entries,
                  const std::vector<replica_change> &replicas,
                  store_revision upTo,
                  duration outage,
                  instant now,
                  std::optional<instant> outageEnd = std::nullopt);
/// Keeps the lapsed replicas until \a until at least, after another outage in which they could not write their entries.
void extendLapsed(replica_entries &entries, instant until);
/// Applies one change: a written entry or its removal. A group member whose entry was removed is kept as draining for unlistedGrace.
void applyChange(replica_entries &entries, const replica_change &change, instant now);
/// How long a group member without an entry is kept as draining. A leaving member stays for up to ten seconds while its head has work.
constexpr duration unlistedGrace(12000);
/// Removes lapsed and unlisted replicas whose time is over. Returns whether there were any.
bool removeLapsed(replica_entries &entries, instant now);

/// Replicas that announced that they leave, with the time at which this daemon learned of it.
using leaving_replicas = std::map<replica_key, instant>;

/// Removes all entries that are not among \a replicas, and adds the new ones with the time \a now.
void updateLeaving(leaving_replicas &leaving, const std::set<replica_key> &replicas, instant now);
/// Marks the replicas in \a leaving as draining in a directory, each only in the incarnation that announced it.
void markLeaving(replica_directory &directory, const leaving_replicas &leaving);
/// Whether a directory already marks all replicas in \a leaving as draining, so that it need not be rebuilt.
bool areMarkedLeaving(const replica_directory &directory, const leaving_replicas &leaving);

} // namespace vetchpost
