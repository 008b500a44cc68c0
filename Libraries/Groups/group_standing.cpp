// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/group_standing.h"

namespace vetchpost {

std::string_view groupStandingName(group_standing standing)
{
    switch (standing) {
    case group_standing::serving:
        return "serving";
    case group_standing::draining:
        return "draining";
    case group_standing::forming:
        return "forming";
    case group_standing::broken:
        return "broken";
    }
    return "broken";
}

bool hasConfirmed(const allotted_group &group, std::size_t rank, const instance_tracker &tracker)
{
    const auto *tracked = findInstance(tracker, group.members[rank].instance);
    if (tracked == nullptr || !tracked->isAnswering()) {
        return false;
    }
    const auto &state = *tracked->lastState;
    return state.group == group.id && state.confirmed == group.current && state.rank == static_cast<int>(rank)
        && state.phase == engine_phase::ready && state.choice == group.choice;
}

group_standing standingOf(const allotted_group &group, const instance_tracker &tracker)
{
    if (!missingRanks(group, tracker).empty()) {
        return group_standing::broken;
    }
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        if (!hasConfirmed(group, rank, tracker)) {
            return group_standing::forming;
        }
    }
    // A member's own word that it leaves is enough: new work stops before the coordinator has decided anything.
    const bool isDraining = group.drainingSince != 0 || !leavingRanks(group, tracker).empty();
    return isDraining ? group_standing::draining : group_standing::serving;
}

std::vector<std::size_t> missingRanks(const allotted_group &group, const instance_tracker &tracker)
{
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto *tracked = findInstance(tracker, group.members[rank].instance);
        if (tracked == nullptr || !tracked->isAnswering()) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

std::vector<std::size_t> leavingRanks(const allotted_group &group, const instance_tracker &tracker)
{
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto *tracked = findInstance(tracker, group.members[rank].instance);
        if (tracked != nullptr && tracked->isAnswering() && tracked->isLeaving()) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

} // namespace vetchpost
