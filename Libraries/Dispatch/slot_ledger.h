// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_request.h"

#include <map>

namespace vetchpost {

/// A group as a dispatcher is told of it.
struct dispatch_group
{
    instance_id head;
    replica_incarnation incarnation;
    model_id model;
    data_centre_id dataCentre;
    /// Number of requests that the group runs at once.
    int slots = 1;
    /// Factor on all times of the engine's description.
    double pace = 1;
    /// Time for which the head is still cold; zero if it is warm.
    duration coldLeft{};
};

/// Identifies a request at a dispatcher.
struct slot_ticket
{
    endpoint asker;
    std::uint64_t number = 0;

    auto operator<=>(const slot_ticket &) const = default;
};

/// The requests that one group runs by this dispatcher's grants.
struct group_ledger
{
    dispatch_group group;
    int granted = 0;
};

/// A request that holds a slot.
struct slot_grant
{
    instance_id head;
};

/// All groups of a dispatcher and the requests that it has granted there.
struct slot_ledger
{
    std::map<instance_id, group_ledger> groups;
    std::map<slot_ticket, slot_grant> grants;
};

} // namespace vetchpost
