// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning_round.h"

#include <vector>

namespace vetchpost {

/// A group with members that must be replaced.
struct broken_group
{
    group_id id;
    std::vector<std::size_t> lostRanks;
    /// Time since the first of the missing members went missing.
    duration absence{};
    /// All lost members are about to leave and none is missing, so waiting for them is pointless.
    bool isLeaving = false;
};

/// Returns the expected time until a missing instance has returned and loaded its weights, given how long it has been missing.
duration expectedReturn(const planning_policy &policy, const deployment &wanted, duration absence);

/// Returns all ways to repair the group, cheapest first. \a others are the other broken groups, which may be removed for their members.
std::vector<repair_option> repairOptions(planning_round &round, const broken_group &group, const std::vector<broken_group> &others);

/// Applies an option to the planned allotment.
void applyRepair(planning_round &round, const broken_group &group, const repair_option &option);

} // namespace vetchpost
