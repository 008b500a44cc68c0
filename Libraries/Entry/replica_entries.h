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

/// The replicas' entries over time. Decides how long an entry that vanished is still believed.
struct replica_entries
{
    replica_directory directory;
    /// Replicas that were not there when the service came back, with when they are given up.
    std::map<instance_id, instant> lapsed;
    /// Members of groups without an entry, with when they are given up.
    std::map<instance_id, instant> unlisted;
    /// The service's revision of each replica's last change, removals too: an older word never replaces a newer one.
    std::map<instance_id, std::uint64_t> revisions;
};

/// After an absence of the key-value service of at least this time, entries may have lapsed though their replicas live ...
constexpr duration lapsingOutage(1000);
/// ... and are back within this time of its return (the platform promises two seconds).
constexpr duration lapsedGrace(2200);

/// Takes in a whole listing of \a replicas as of the service's revision \a upTo; what is known to be newer stays. \a outage is how long the
/// service had not answered before.
void takeListing(replica_entries &entries, const std::vector<replica_change> &replicas, std::uint64_t upTo, duration outage, instant now);
/// Takes in one change: an entry as it was written, or its removal. A member of a group whose entry is gone is kept for a while as one that
/// drains.
void takeChange(replica_entries &entries, const replica_change &change, instant now);
/// A member of a group whose entry is gone is kept as draining for so long: it stays for ten seconds while its head has work.
constexpr duration unlistedStay(12000);
/// Gives up lapsed and unlisted replicas whose time is over; whether there were any.
bool dropLapsed(replica_entries &entries, instant now);

/// Replicas that said in answers that they leave, with when this was learned.
using leaving_replicas = std::map<replica_key, instant>;

/// Keeps those that are among \a replicas, and notes the new ones.
void noteLeaving(leaving_replicas &leaving, const std::set<replica_key> &replicas, instant now);
/// Shows them as draining in a directory, each in the life that said so.
void showLeaving(replica_directory &directory, const leaving_replicas &leaving);
/// Whether a directory shows them already, so that it need not be made anew.
bool areShown(const replica_directory &directory, const leaving_replicas &leaving);

} // namespace vetchpost
