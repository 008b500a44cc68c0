// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/replica_directory.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// Ranks above this exceed any real group's size and mark an invalid report.
constexpr int largestRank = 1024;

void addMember(reported_group &group, const served_replica &replica)
{
    const auto rank = static_cast<std::size_t>(replica.membership->rank);
    if (group.members.size() <= rank) {
        group.members.resize(rank + 1, nullptr);
    }
    group.members[rank] = &replica;
    if (group.model.isEmpty() && replica.model) {
        group.model = *replica.model;
    }
}

} // namespace

std::vector<reported_group> groupsOf(const replica_directory &directory, const service_id &service)
{
    std::map<group_id, reported_group> groups;
    for (const auto &[id, replica] : directory.replicas) {
        const auto &membership = replica.membership;
        if (replica.service != service || !membership || membership->rank < 0 || membership->rank > largestRank) {
            continue;
        }
        auto &group = groups[membership->group];
        if (membership->formed < group.formed) {
            continue;
        }
        if (group.formed < membership->formed) {
            group = {membership->group, membership->formed, {}, {}};
        }
        addMember(group, replica);
    }
    std::vector<reported_group> result;
    result.reserve(groups.size());
    for (auto &[id, group] : groups) {
        result.push_back(std::move(group));
    }
    return result;
}

bool acceptsRequests(const reported_group &group, int size)
{
    const auto *head = group.head();
    const bool isOpen = head != nullptr && head->membership->state == member_state::open && !head->isDraining;
    if (!isOpen || static_cast<int>(group.members.size()) != size) {
        return false;
    }
    return std::none_of(group.members.begin(), group.members.end(), [](const served_replica *member) { return member == nullptr; });
}

} // namespace vetchpost
