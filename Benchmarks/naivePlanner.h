// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning.h"

namespace vetchpost::bench {

/// Baseline planner. Forms groups by first fit. A member that has been missing for ten minutes is replaced by a random free instance of
/// its group's domain; if there is none, the group is rebuilt in the first domain with enough free instances. Ignores priorities, takes
/// no members from other groups and does not limit loads. Decisions are not recorded.
planning_result planNaively(const planning_input &input, std::uint64_t seed);

} // namespace vetchpost::bench
