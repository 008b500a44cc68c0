// SPDX-License-Identifier: Apache-2.0
// Groups and replicas in evacuated data centres, which the plan treats as if they did not exist until the evacuation ends.
#include "Libraries/Assembly/assembly_round.h"

#include <algorithm>

namespace vetchpost {

bool assembly_round::isEvacuated(const served_replica &replica) const
{
    return m_view.evacuated.contains(replica.dataCentre);
}

bool assembly_round::isEvacuated(const planned_group &group) const
{
    return m_state.evacuatedGroups.contains(group.id);
}

/// A fabric domain lies in one data centre, so any listed member tells where the group is. A group without a listed member stays as it was.
void assembly_round::updateEvacuatedGroups()
{
    std::erase_if(m_state.evacuatedGroups, [&](const group_id &id) { return !m_state.groups.contains(id); });
    for (const auto &[id, group] : m_state.groups) {
        const auto listed = std::find_if(
            group.members.begin(), group.members.end(), [&](const planned_member &member) { return find(member.instance) != nullptr; });
        if (listed == group.members.end()) {
            continue;
        }
        if (isEvacuated(*find(listed->instance))) {
            m_state.evacuatedGroups.insert(id);
        } else {
            m_state.evacuatedGroups.erase(id);
        }
    }
    m_counts.reset();
}

} // namespace vetchpost
