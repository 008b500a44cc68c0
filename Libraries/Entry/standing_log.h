// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// Writes to the log what stands of a service's groups: a line for its domains, and one for each model.
void logStanding(const assembly_view &view, const assembly_state &assembly);

} // namespace vetchpost
