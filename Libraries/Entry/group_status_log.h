// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

namespace vetchpost {

/// Logs the status of a service's groups: one line for its fabric domains, and one for each model.
void logGroupStatus(const assembly_view &view, const assembly_state &assembly);

} // namespace vetchpost
