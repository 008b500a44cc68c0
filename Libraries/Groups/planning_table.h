// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/group_standing.h"
#include "Libraries/Groups/planning.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// One fabric domain during a planning round.
struct planned_domain
{
    /// Instances that may be placed, in the order of their names.
    std::set<instance_id> free;
    int listed = 0;
    int missing = 0;
    /// The latest moment at which one of the missing went away.
    instant lastLoss;
    bool isDark = false;
};

/// The working state of one planning round.
struct planning_table
{
    const planning_input &input;
    const planning_policy &policy;
    allotment next;
    std::map<fabric_domain_id, planned_domain> domains;
    std::map<deployment_id, const deployment_want *> wants;
    /// Weight loads that are under way or ordered in this round.
    int loads = 0;
    /// How each group stood when the round began; a group that the round has changed is forming.
    std::map<group_id, group_standing> standings;
    /// Groups that are drained so that others can have their members.
    std::set<group_id> victims;
    std::vector<planning_decision> decisions;
};

planning_table makePlanningTable(const planning_input &input, const planning_policy &policy);

/// The generation of the next change; every change of a round has its own.
generation takeGeneration(planning_table &table);
/// Gives a group that was changed its next generation; it has to form anew.
void markChanged(planning_table &table, allotted_group &group);
/// Takes an instance out of its domain's free ones.
allotted_member takeInstance(planning_table &table, const instance_id &instance);
/// Gives an instance that left a group back, unless it is missing, leaving or may still be reached by an old order.
void releaseInstance(planning_table &table, const allotted_member &member, bool enginesCheckFencing);
/// Removes a group and gives its instances back.
void removeGroup(planning_table &table, const group_id &id);
allotted_group *findPlannedGroup(planning_table &table, const group_id &id);
const deployment_want *wantOf(const planning_table &table, const allotted_group &group);

/// Whether an instance holds the weights of this rank already.
bool holdsWeights(const planning_table &table, const instance_id &instance, const model_choice &choice, std::size_t rank);
/// How many more loads may be ordered in this round.
int loadsLeft(const planning_table &table);
/// How long \a count more loads take, behind those that are under way.
duration loadDuration(const planning_table &table, const deployment &wanted, int count);
/// How many of these instances, in rank order, have to load their weights.
int loadsNeeded(const planning_table &table, const model_choice &choice, const std::vector<instance_id> &ranked);

} // namespace vetchpost
