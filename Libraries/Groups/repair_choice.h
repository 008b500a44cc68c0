// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning_table.h"

#include <vector>

namespace vetchpost {

/// A group with members that must be replaced.
struct broken_group
{
    group_id id;
    std::vector<std::size_t> lostRanks;
    /// How long the longest missing member has been away.
    duration age{};
    /// All lost members are leaving, not missing: waiting for them makes no sense.
    bool isLeaving = false;
};

/// How long it takes on average until a missing instance is back with its weights, given how long it has been away.
duration expectedReturn(const planning_policy &policy, const deployment &wanted, duration age);

/// Every way to make the group whole, cheapest first. \a broken are the other groups that may be taken apart for it.
std::vector<repair_option> repairOptions(planning_table &table, const broken_group &group, const std::vector<broken_group> &broken);

/// Changes the table by one option.
void applyRepair(planning_table &table, const broken_group &group, const repair_option &option);

} // namespace vetchpost
