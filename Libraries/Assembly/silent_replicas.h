// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <map>
#include <set>
#include <vector>

namespace vetchpost {

/// A live replica answers a direct look within this time, also under load.
constexpr duration lookTimeout(200);

/// What the coordinator found when it looked at a replica directly.
struct direct_look
{
    instant began;
    bool hasAnswered = false;
    /// The start of the replica that was looked at.
    replica_life life = {};
};

/// A replica that is believed dead.
struct suspicion
{
    /// When the look began that it stands on.
    instant began;
    instant until;
    replica_life life;
};

/// Replicas that did not answer when the coordinator looked at them directly.
struct silent_replicas
{
    /// Believed dead, unless they answer, start again or their entry goes.
    std::map<instance_id, suspicion> suspected;
    /// Of these the ones whose entry, read afterwards, said that they do not leave.
    std::set<instance_id> notLeaving;
    std::map<instance_id, instant> lastLooks;
    /// When the latest look began that each replica answered.
    std::map<instance_id, instant> lastAnswered;
    /// No member without an entry is looked at before.
    instant nextUnlistedLooks;
};

/// What planning is told of them.
struct silence_report
{
    std::set<instance_id> suspects;
    /// Of these the ones that do not leave.
    std::set<instance_id> notLeaving;
};

/// Forgets what is too old or of replicas that are gone, and tells the rest.
silence_report reportSilence(silent_replicas &silent, const replica_directory &directory, instant now);
/// Members of groups without an entry that are to be looked at now; they are believed as long as they answer. Notes that they are.
std::vector<served_replica> unlistedToLookAt(silent_replicas &silent, const replica_directory &directory, instant now);
/// The members of the group that a replica heads, as far as they were not looked at just now and are not suspected. Notes that they are.
std::vector<served_replica>
membersToLookAt(silent_replicas &silent, const replica_directory &directory, const instance_id &head, instant now);
/// Takes in what a look found, unless a later one has been taken in; true where the replica was not suspected before and is now.
bool noteLook(silent_replicas &silent, const instance_id &replica, const direct_look &look);
/// The head of the group that a replica says it stands in.
std::optional<instance_id> headOfGroup(const replica_directory &directory, const served_replica &replica);

} // namespace vetchpost
