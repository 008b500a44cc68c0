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

/// A replica that does not answer is suspected once a probe that began this long after the first unanswered one is not answered either: a
/// sound replica may be silent for a second and go on.
constexpr duration silenceBeforeSuspicion(1200);

/// The result of one probe that the coordinator sent to a replica.
struct direct_probe
{
    instant began;
    bool hasAnswered = false;
    /// The incarnation of the replica that was probed.
    replica_incarnation incarnation = {};
    /// Its process is known to have ended, so that nothing has to be waited for.
    bool hasEnded = false;
};

/// What a probe has changed.
enum class probe_effect {
    none,
    /// The replica did not answer for the first time: it may be silent for a moment only.
    doubtful,
    /// The replica is suspected dead from now on.
    suspected
};

/// Since when a replica has not answered, before it is suspected.
struct silence
{
    instant since;
    replica_incarnation incarnation;
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
    /// Replicas that have not answered and are not suspected yet.
    std::map<instance_id, silence> doubtful;
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
/// Chooses the replicas in doubt that are to be probed again now, and records \a now as their last probe.
std::vector<served_replica> doubtfulToProbe(silent_replicas &silent, const replica_directory &directory, instant now);
/// Records the result of a probe, unless one that began later has been recorded.
probe_effect recordProbe(silent_replicas &silent, const instance_id &replica, const direct_probe &probe);
/// The head of the group that a replica reports as its own; nothing if no replica reports itself as the head of that formation.
std::optional<instance_id> headOfGroup(const replica_directory &directory, const served_replica &replica);

} // namespace vetchpost
