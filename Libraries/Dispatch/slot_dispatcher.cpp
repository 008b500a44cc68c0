// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vetchpost {

namespace {

/// The part of a model's slots that is left to requests in time, when a request that is late anyway takes a slot.
constexpr int sparedDivisor = 20;

int slotsOf(const model_ledger &model)
{
    int slots = 0;
    for (const auto &group : model.groups) {
        slots += group.group.slots;
    }
    return slots;
}

slot_supply supplyOf(const slot_dispatcher &dispatcher, const model_ledger &model, const slot_request &request, instant now)
{
    const auto first = firstEventAfterWait(dispatcher.ledger, model, request, now);
    auto unread = request;
    unread.promptTokens = 0;
    return {freedPerMs(dispatcher.ledger, model, now), first, first - firstEventAfterWait(dispatcher.ledger, model, unread, now)};
}

slot_answer refusalOf(slot_queue &queue, const slot_request &request, const endpoint &asker, double freed, instant now)
{
    return {request.ticket, asker, slot_verdict::refused, {}, bookReturn(queue, request, asker, freed, now)};
}

slot_answer
grant(slot_dispatcher &dispatcher, slot_queue &queue, group_ledger &group, const slot_request &request, const endpoint &asker, instant now)
{
    grantSlot(dispatcher.ledger, group, request, asker, now);
    recordServed(queue, request);
    return {request.ticket, asker, slot_verdict::granted, group.group.head, {}};
}

/// Grants a slot to a waiting request. Returns false if no group is open to it.
bool serve(slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, std::list<waiting_request>::iterator position, instant now)
{
    // The objective and the deadline come nearer while the request waits.
    auto request = position->request;
    request.untilLate -= now - position->arrivedAt;
    request.timeLeft -= now - position->arrivedAt;
    const auto spared = position->claim == slot_claim::spare ? slotsOf(model) / sparedDivisor : 0;
    auto *group = bestGroup(dispatcher.ledger, model, request, spared, now);
    if (group == nullptr) {
        return false;
    }
    const auto asker = position->asker;
    removeWaiting(queue, position);
    dispatcher.pending.push_back(grant(dispatcher, queue, *group, request, asker, now));
    return true;
}

void serveWaiting(slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, instant now)
{
    bool isServed = true;
    while (isServed && !queue.waiting.empty()) {
        isServed = serve(dispatcher, model, queue, nextWaiting(queue), now);
        for (auto position = queue.waiting.begin(); !isServed && position != queue.waiting.end();) {
            const auto next = position++;
            // Only a request that was tried at some groups leaves a free slot to those behind it.
            const bool isSelective = !next->request.excluded.empty();
            isServed = serve(dispatcher, model, queue, next, now);
            if (!isServed && !isSelective) {
                return;
            }
        }
    }
}

/// Refuses requests that do not wait any more.
void refuse(slot_dispatcher &dispatcher, slot_queue &queue, const std::list<waiting_request> &requests, double freed, instant now)
{
    for (const auto &entry : requests) {
        dispatcher.pending.push_back(refusalOf(queue, entry.request, entry.asker, freed, now));
    }
}

} // namespace

slot_answer requestSlot(slot_dispatcher &dispatcher, const slot_request &request, const endpoint &asker, instant now)
{
    const slot_ticket ticket{asker, request.ticket};
    if (const auto known = dispatcher.ledger.grants.find(ticket); known != dispatcher.ledger.grants.end()) {
        return {request.ticket, asker, slot_verdict::granted, known->second.head, {}};
    }
    const auto model = dispatcher.ledger.models.find(request.model);
    if (model == dispatcher.ledger.models.end()) {
        return {request.ticket, asker, slot_verdict::unknown_model, {}, {}};
    }
    auto &queue = dispatcher.queues[request.model];
    if (const auto waiting = findWaiting(queue, ticket); waiting != queue.waiting.end()) {
        return {request.ticket, asker, slot_verdict::waiting, {}, std::max(duration(), waiting->startBy - now)};
    }
    const auto supply = supplyOf(dispatcher, model->second, request, now);
    if (!hasClaims(queue)) {
        const auto spared = isLate(request, supply) ? slotsOf(model->second) / sparedDivisor : 0;
        if (auto *group = bestGroup(dispatcher.ledger, model->second, request, spared, now)) {
            if (request.hasReturned) {
                takeBooking(queue, request, now);
            }
            return grant(dispatcher, queue, *group, request, asker, now);
        }
    }
    std::list<waiting_request> displaced;
    const auto wait = enqueueRequest(queue, request, asker, supply, displaced, now);
    refuse(dispatcher, queue, displaced, supply.freedPerMs, now);
    return wait ? slot_answer{request.ticket, asker, slot_verdict::waiting, {}, *wait}
                : refusalOf(queue, request, asker, supply.freedPerMs, now);
}

std::vector<slot_answer> releaseSlot(slot_dispatcher &dispatcher, std::uint64_t ticket, const endpoint &asker, slot_end end, instant now)
{
    const slot_ticket key{asker, ticket};
    const auto known = dispatcher.ledger.grants.find(key);
    if (known != dispatcher.ledger.grants.end()) {
        const auto id = known->second.model;
        freeSlot(dispatcher.ledger, key, end, now);
        if (const auto model = dispatcher.ledger.models.find(id); model != dispatcher.ledger.models.end()) {
            serveWaiting(dispatcher, model->second, dispatcher.queues[id], now);
        }
    } else {
        for (auto &[id, queue] : dispatcher.queues) {
            if (const auto waiting = findWaiting(queue, key); waiting != queue.waiting.end()) {
                removeWaiting(queue, waiting);
            }
        }
    }
    return std::exchange(dispatcher.pending, {});
}

std::vector<slot_answer> advance(slot_dispatcher &dispatcher, instant now)
{
    expireGrants(dispatcher.ledger, now);
    for (auto &[id, model] : dispatcher.ledger.models) {
        auto &queue = dispatcher.queues[id];
        promoteReturned(queue, now);
        serveWaiting(dispatcher, model, queue, now);
        const auto freed = freedPerMs(dispatcher.ledger, model, now);
        refuse(dispatcher, queue, removeOverdue(queue, freed, now), freed, now);
    }
    return std::exchange(dispatcher.pending, {});
}

void updateGroups(slot_dispatcher &dispatcher, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now)
{
    dispatcher.ledger.coldPerSecond = dispatcher.coldPerSecond;
    replaceGroups(dispatcher.ledger, groups, engine, now);
    std::erase_if(dispatcher.queues, [&](const auto &entry) {
        if (dispatcher.ledger.models.contains(entry.first)) {
            return false;
        }
        for (const auto &waiting : entry.second.waiting) {
            dispatcher.pending.push_back({waiting.request.ticket, waiting.asker, slot_verdict::unknown_model, {}, {}});
        }
        return true;
    });
}

} // namespace vetchpost
