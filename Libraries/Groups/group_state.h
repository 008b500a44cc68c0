// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/instance_tracker.h"

#include <string_view>
#include <vector>

namespace vetchpost {

/// State of a group, derived from what its members report.
enum class group_state {
    /// Every member has confirmed this generation, its rank and the model.
    serving,
    /// The group finishes the requests that it has and gets no new ones.
    draining,
    /// Every member answers, but not all have confirmed yet.
    forming,
    /// At least one member does not answer.
    broken
};

/// Returns the name used in the log, the metrics and the operators' interface.
std::string_view groupStateName(group_state state);

/// Whether the member answers and its last report confirms the group, generation, rank and model, ready to serve.
bool hasConfirmed(const allotted_group &group, std::size_t rank, const instance_tracker &tracker);
/// Returns the state of a group according to the last observations of its members.
group_state groupStateOf(const allotted_group &group, const instance_tracker &tracker);
/// Returns the ranks whose instance does not answer or is unknown.
std::vector<std::size_t> missingRanks(const allotted_group &group, const instance_tracker &tracker);
/// Returns the ranks whose instance answers and is about to leave.
std::vector<std::size_t> leavingRanks(const allotted_group &group, const instance_tracker &tracker);

} // namespace vetchpost
