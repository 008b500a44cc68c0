// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Assembly/assemblySimulation.h"

#include <algorithm>

namespace vetchpost::test {

/// A group of two with its head open, and a spare replica beside them.
inline replica_directory groupOfTwo()
{
    replica_directory directory;
    for (const auto *id : {"head", "member", "spare"}) {
        served_replica replica;
        replica.id = instance_id(id);
        replica.service = service_id("large");
        replica.domain = fabric_domain_id("rack");
        replica.model = model_id("small");
        replica.membership = {group_id("g"), formation(1), replica.id.value() == "head" ? 0 : 1, member_state::ready};
        directory.replicas[replica.id] = replica;
    }
    directory.replicas[instance_id("head")].membership->state = member_state::open;
    directory.replicas[instance_id("spare")].membership.reset();
    return directory;
}

inline void markUnlisted(served_replica &replica)
{
    replica.isDraining = true;
    replica.isUnlisted = true;
}

/// Whether any of the orders makes a replica join another group.
inline bool hasJoin(const std::vector<replica_order> &orders)
{
    return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) {
        // Before a join the replica may be probed for the number of orders that it has accepted.
        return order.kind == order_kind::join || order.kind == order_kind::probe;
    });
}

/// Whether any of the orders makes the member leave its group.
inline bool hasLeave(const std::vector<replica_order> &orders)
{
    return std::any_of(orders.begin(), orders.end(), [](const replica_order &order) {
        return order.kind == order_kind::leave && order.to == instance_id("member");
    });
}

} // namespace vetchpost::test
