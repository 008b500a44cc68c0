// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

#include <map>
#include <optional>
#include <vector>

namespace vetchpost {

/// Measures how long it takes to detect and to replace lost groups, for metrics.
struct loss_timer
{
    /// When each head's group was first reported to be stalled.
    std::map<instance_id, instant> reportedAt;
    /// Since when each model has had fewer serving groups than wanted.
    std::map<model_id, instant> shortSince;
};

/// Records a daemon's report that the group of \a head is stalled.
void recordStallReport(loss_timer &timer, const instance_id &head, instant now);
/// Records that a member of the group of \a head does not answer. Returns the time since the group was first reported to be stalled, or
/// nothing if there was no such report.
std::optional<duration> recordDetection(loss_timer &timer, const instance_id &head, instant now);
/// Records how many of the wanted groups of each model serve. Returns, for each model whose wanted groups all serve again, the time for
/// which some did not.
std::vector<duration> recordGroupCounts(loss_timer &timer, const std::vector<model_group_counts> &models, instant now);

} // namespace vetchpost
