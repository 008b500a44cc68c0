// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// For the log: what the replicas of each fabric domain do. A number is a serving group of that size. Any other replica is shown by the
/// models (letters by their order in the configuration, "." for none) that it ran last and that its host holds, with marks before it (~
/// leaving, u unlisted, ? silent) and after it (! loads weights, x left alone for a while, * in a group that is formed or closed).
std::string summariseDomains(const assembly_state &state, const assembly_view &view);

} // namespace vetchpost
