// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <map>
#include <set>
#include <vector>

namespace vetchpost {

/// A live replica answers a probe within this time, even under load.
constexpr duration probeTimeout(200);

/// The result of one probe that the coordinator sent to a replica.
struct direct_probe
{
    instant began;
    bool hasAnswered = false;
    /// The incarnation of the replica that was probed.
    replica_incarnation incarnation = {};
};

/// Suspicion that a replica is dead.
struct suspicion
{
    /// When the probe began that it is based on.
    instant began;
    instant until;
    replica_incarnation incarnation;
};

/// Failure detector state: replicas that did not answer the coordinator's probes.
struct silent_replicas
{
    /// Replicas that are suspected dead until they answer, restart, their entry goes or the suspicion expires.
    std::map<instance_id, suspicion> suspected;
    /// Suspected replicas whose entry was read afterwards and did not mark them as leaving.
    std::set<instance_id> notLeaving;
    std::map<instance_id, instant> lastProbes;
    /// When the latest answered probe of each replica began.
    std::map<instance_id, instant> lastAnswered;
    /// Members without an entry are not probed before this.
    instant nextUnlistedProbes;
};

/// The suspects, as planning needs them.
struct suspicion_report
{
    std::set<instance_id> suspects;
    /// Suspects that are known not to be leaving.
    std::set<instance_id> notLeaving;
};

/// Drops suspicions that have expired, or whose replicas have restarted or are no longer listed, and returns the remaining ones.
suspicion_report updateSuspicions(silent_replicas &silent, const replica_directory &directory, instant now);
/// Chooses the replicas without an entry that are to be probed now, and records \a now as their last probe. Such replicas count as alive as
/// long as they answer.
std::vector<served_replica> unlistedToProbe(silent_replicas &silent, const replica_directory &directory, instant now);
/// Chooses the members of the group of \a head that are to be probed now, and records \a now as their last probe. Suspected members and
/// those that were probed a moment ago are left out.
std::vector<served_replica>
membersToProbe(silent_replicas &silent, const replica_directory &directory, const instance_id &head, instant now);
/// Records the result of a probe, unless one that began later has been recorded. Returns whether the replica has become suspected by it.
bool recordProbe(silent_replicas &silent, const instance_id &replica, const direct_probe &probe);
/// The head of the group that a replica reports as its own; nothing if no replica reports itself as the head of that formation.
std::optional<instance_id> headOfGroup(const replica_directory &directory, const served_replica &replica);

} // namespace vetchpost
