// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning.h"

namespace vetchpost::bench {

/// The baseline: first fit, wait for the member, then replace it at random, else build the group anew in the first domain with
/// room. No priorities, no donors, no limit on loads.
planning_result planNaively(const planning_input &input, std::uint64_t seed);

} // namespace vetchpost::bench
