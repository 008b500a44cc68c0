// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/group_state.h"
#include "Libraries/Groups/planning.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// One fabric domain during a planning round.
struct planned_domain
{
    /// Instances that may become members of a group, ordered by id.
    std::set<instance_id> free;
    int listed = 0;
    int missing = 0;
    /// When the most recent of the missing instances went missing.
    instant lastLoss;
    /// So many of its instances went missing recently that they are expected to return together.
    bool hasOutage = false;
};

/// Working state of one planning round.
struct planning_round
{
    const planning_input &input;
    const planning_policy &policy;
    allotment next;
    std::map<fabric_domain_id, planned_domain> domains;
    std::map<deployment_id, const deployment_want *> wants;
    /// Weight loads that are in progress or ordered in this round.
    int loads = 0;
    /// State of each group when the round began; forming for a group that was changed or created in this round.
    std::map<group_id, group_state> groupStates;
    /// Groups that are drained because they are preempted.
    std::set<group_id> victims;
    std::vector<planning_decision> decisions;
};

/// Creates the state of a round. \a input and \a policy must outlive it.
planning_round makePlanningRound(const planning_input &input, const planning_policy &policy);

/// Advances the allotment's last generation and returns it. Every change of a round has its own generation.
generation nextGeneration(planning_round &round);
/// Gives a changed group a new generation and ends its draining. The group has to form again.
void markChanged(planning_round &round, allotted_group &group);
/// Removes an instance from its domain's free instances and returns it as a member.
allotted_member allocateInstance(planning_round &round, const instance_id &instance);
/// Returns an instance that has left a group to the free instances of its domain, if it is placeable. If its engine does not check
/// fencing numbers, it is withheld instead, since an old order may still reach it.
void releaseInstance(planning_round &round, const allotted_member &member, bool enginesCheckFencing);
/// Removes a group and releases its instances.
void removeGroup(planning_round &round, const group_id &id);
/// Returns the group in the planned allotment, or null.
allotted_group *findPlannedGroup(planning_round &round, const group_id &id);
/// Returns what is wanted of the group's deployment, or null if the deployment is not wanted.
const deployment_want *findWant(const planning_round &round, const allotted_group &group);

/// Whether an instance answers and holds the weights of this model and rank.
bool holdsWeights(const planning_round &round, const instance_id &instance, const model_choice &choice, std::size_t rank);
/// Returns how many more loads may be ordered in this round.
int remainingLoads(const planning_round &round);
/// Returns how long it takes to complete \a count more loads after those in progress, and to form the group.
duration loadDuration(const planning_round &round, const deployment &wanted, int count);
/// Returns how many of these instances, which are in rank order, have to load weights.
int loadsNeeded(const planning_round &round, const model_choice &choice, const std::vector<instance_id> &ranked);

} // namespace vetchpost
