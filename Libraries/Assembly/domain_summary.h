// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// Describes the replicas of each fabric domain in one line, for the log. A number stands for a serving group of that size. Any other
/// replica is shown by two models, the one that it ran last and the one that its host holds (letters by their order in the configuration,
/// "." for none), with marks before them (~ leaving, u unlisted, ? silent) and after them (! loads weights, x in backoff, * in a group that
/// is being formed or closed).
std::string summariseDomains(const assembly_state &state, const assembly_view &view);

} // namespace vetchpost
