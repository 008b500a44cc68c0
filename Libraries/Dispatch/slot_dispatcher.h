// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_ledger.h"

namespace vetchpost {

/// What a dispatcher knows of the groups of one service that it owns: the requests that it has granted there, and those that wait. All
/// state is soft: a new dispatcher begins with an empty one.
struct slot_dispatcher
{
    /// Number of requests per second that may be granted at one cold group; 0 if groups are never cold.
    double coldPerSecond = 0;
    slot_ledger ledger;
};

/// Grants, queues or refuses a request. A request that holds a slot or waits already gets its answer again.
slot_answer requestSlot(slot_dispatcher &dispatcher, const slot_request &request, const endpoint &asker, instant now);

/// Records the end of a granted request, or removes a waiting one. An unknown ticket changes nothing. Returns the grants that follow.
std::vector<slot_answer> releaseSlot(slot_dispatcher &dispatcher, std::uint64_t ticket, const endpoint &asker, slot_end end, instant now);

/// Frees the slots of expired grants. Returns the grants that follow, and refusals of the waiting requests that cannot be served any more.
/// Must be called every few milliseconds while requests wait.
std::vector<slot_answer> advance(slot_dispatcher &dispatcher, instant now);

/// Replaces the groups. Grants at groups of the same head and incarnation stay. Must be called at least whenever a group changes, with the
/// remaining cold times as of \a now.
void updateGroups(slot_dispatcher &dispatcher, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now);

} // namespace vetchpost
