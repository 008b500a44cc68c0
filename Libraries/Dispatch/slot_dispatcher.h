// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_queue.h"

namespace vetchpost {

/// What a dispatcher knows of the groups of one service that it owns: the requests that it has granted there, and those that wait. All
/// state is soft: a new dispatcher begins with an empty one.
struct slot_dispatcher
{
    /// Number of requests per second that a cold replica accepts, of which slot dispatch uses half; 0 if replicas are never cold.
    double coldPerSecond = 0;
    slot_ledger ledger;
    std::map<model_id, slot_queue> queues;
    /// Answers to waiting requests that the next call of releaseSlot() or advance() returns.
    std::vector<slot_answer> pending;
};

/// Grants, queues or refuses a request. A request that holds a slot or waits already gets its answer again. Each attempt needs a ticket of
/// its own.
slot_answer requestSlot(slot_dispatcher &dispatcher, const slot_request &request, const endpoint &asker, instant now);

/// Records the end of a granted request, or removes a waiting one. An unknown ticket changes nothing. Returns answers to waiting requests:
/// the grants that follow, and refusals of those that others have displaced.
std::vector<slot_answer> releaseSlot(slot_dispatcher &dispatcher, std::uint64_t ticket, const endpoint &asker, slot_end end, instant now);

/// Frees the slots of expired grants. Returns the grants that follow, and refusals of the waiting requests that cannot be served any more.
/// Must be called every few milliseconds while requests wait.
std::vector<slot_answer> advance(slot_dispatcher &dispatcher, instant now);

/// Replaces the groups. Waiting requests of a model without groups are answered with unknown_model by the next call. Grants at groups of
/// the same head and incarnation stay. Must be called at least whenever a group changes, with the remaining cold times as of \a now.
void updateGroups(slot_dispatcher &dispatcher, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now);

} // namespace vetchpost
