// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/instance_tracker.h"

#include <string_view>
#include <vector>

namespace vetchpost {

/// How a group stands, from what its members say of themselves.
enum class group_standing {
    /// Every member has confirmed this generation, its rank and the model: it serves.
    serving,
    /// It serves what it holds and gets no new work.
    draining,
    /// Every member answers; some have not confirmed yet.
    forming,
    /// Some member does not answer.
    broken
};

std::string_view groupStandingName(group_standing standing);

/// Whether a member's last word confirms its place.
bool hasConfirmed(const allotted_group &group, std::size_t rank, const instance_tracker &tracker);
group_standing standingOf(const allotted_group &group, const instance_tracker &tracker);
/// The ranks whose instance does not answer or is unknown.
std::vector<std::size_t> missingRanks(const allotted_group &group, const instance_tracker &tracker);
/// The ranks whose instance is about to leave.
std::vector<std::size_t> leavingRanks(const allotted_group &group, const instance_tracker &tracker);

} // namespace vetchpost
