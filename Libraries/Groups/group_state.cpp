// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/group_state.h"

namespace vetchpost {

std::string_view groupStateName(group_state state)
{
    switch (state) {
    case group_state::serving:
        return "serving";
    case group_state::draining:
        return "draining";
    case group_state::forming:
        return "forming";
    case group_state::broken:
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

group_state groupStateOf(const allotted_group &group, const instance_tracker &tracker)
{
    if (!missingRanks(group, tracker).empty()) {
        return group_state::broken;
    }
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        if (!hasConfirmed(group, rank, tracker)) {
            return group_state::forming;
        }
    }
    // A member that reports that it is leaving makes the group drain at once, before the coordinator has decided anything.
    const bool isDraining = group.drainingSince != 0 || !leavingRanks(group, tracker).empty();
    return isDraining ? group_state::draining : group_state::serving;
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
