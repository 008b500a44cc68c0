// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace vetchpost {

namespace {

/// The part of a model's slots that is left to requests in time, when a request that is late anyway takes a slot.
constexpr int sparedDivisor = 20;
/// Waiting requests that are offered a free slot which the first of them cannot take. It limits the time of one decision.
constexpr int mostOffers = 16;

int slotsOf(const model_ledger &model)
{
    int slots = 0;
    for (const auto &group : model.groups) {
        slots += group.group.slots;
    }
    return slots;
}

/// The terms of a request whose first event is late anyway, or that another refusal would hit.
slot_terms lateTerms(const model_ledger &model)
{
    return {std::numeric_limits<double>::max(), slotsOf(model) / sparedDivisor};
}

slot_terms termsInTime(const slot_request &request, const slot_supply &supply)
{
    return {static_cast<double>(latestFirstEvent(request, supply).count()), 0};
}

slot_terms waitingTerms(const waiting_request &entry, instant now)
{
    // Beyond this time a refusal costs the client more than a first event that may be a little late.
    const bool isAnyGroupBetter = now - entry.arrivedAt > promptRefusalTime;
    return {isAnyGroupBetter ? std::numeric_limits<double>::max() : static_cast<double>((entry.firstEventBy - now).count()), 0};
}

slot_supply
supplyOf(const slot_dispatcher &dispatcher, const model_ledger &model, const slot_queue &queue, const slot_request &request, instant now)
{
    const auto first = firstEventAfterWait(dispatcher.ledger, model, request, now);
    auto unread = request;
    unread.promptTokens = 0;
    return {expectedServed(queue, freedPerMs(dispatcher.ledger, model, now)),
            first,
            first - firstEventAfterWait(dispatcher.ledger, model, unread, now)};
}

slot_answer refusalOf(slot_queue &queue, const slot_request &request, const endpoint &asker, double freed, instant now)
{
    recordDecision(queue, request.priority, false, now);
    return {request.ticket, asker, slot_verdict::refused, {}, bookReturn(queue.bookings, request, asker, freed, now)};
}

slot_answer
grant(slot_dispatcher &dispatcher, slot_queue &queue, group_ledger &group, const slot_request &request, const endpoint &asker, instant now)
{
    grantSlot(dispatcher.ledger, group, request, asker, now);
    recordServed(queue, request, now);
    return {request.ticket, asker, slot_verdict::granted, group.group.head, {}};
}

/// Grants a slot to a request that waited, on the given terms. Returns false if no group is open to it.
bool serve(
    slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, const waiting_request &entry, const slot_terms &terms, instant now)
{
    // The objective and the deadline come nearer while the request waits.
    auto request = entry.request;
    request.untilLate -= now - entry.arrivedAt;
    request.timeLeft -= now - entry.arrivedAt;
    auto *group = bestGroup(dispatcher.ledger, model, request, terms, now);
    if (group == nullptr) {
        return false;
    }
    dispatcher.pending.push_back(grant(dispatcher, queue, *group, request, entry.asker, now));
    return true;
}

/// Grants a slot to the waiting request at \a position and removes it. Returns false if no group is open to it.
bool serveAt(
    slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, std::list<waiting_request>::iterator position, instant now)
{
    const auto terms = position->claim == slot_claim::spare ? lateTerms(model) : waitingTerms(*position, now);
    const bool isServed = serve(dispatcher, model, queue, *position, terms, now);
    if (isServed) {
        removeWaiting(queue, position);
    }
    return isServed;
}

void serveWaiting(slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, instant now)
{
    bool isServed = true;
    while (isServed && !queue.waiting.empty() && hasOpenSlot(dispatcher.ledger, model, now)) {
        isServed = serveAt(dispatcher, model, queue, nextWaiting(queue), now);
        // A request may find no group although a slot is free, if it was tried there or if the group has a long prompt to read.
        int offers = 0;
        for (auto position = queue.waiting.begin(); !isServed && position != queue.waiting.end() && ++offers <= mostOffers;) {
            isServed = serveAt(dispatcher, model, queue, position++, now);
        }
    }
}

/// Returns a request whose values are in the range that the decisions can calculate with.
slot_request bounded(slot_request request)
{
    constexpr duration longest(std::chrono::hours(1));
    constexpr int mostTokens = 10000000;
    request.priority = std::clamp(request.priority, 0, priorityCount - 1);
    request.promptTokens = std::clamp(request.promptTokens, 0, mostTokens);
    request.expectedTokens = std::clamp(request.expectedTokens, 0, mostTokens);
    request.untilLate = std::clamp(request.untilLate, -longest, longest);
    request.timeLeft = std::clamp(request.timeLeft, duration(), longest);
    return request;
}

/// Refuses requests that do not wait any more.
void refuse(slot_dispatcher &dispatcher, slot_queue &queue, const std::list<waiting_request> &requests, double freed, instant now)
{
    for (const auto &entry : requests) {
        dispatcher.pending.push_back(refusalOf(queue, entry.request, entry.asker, freed, now));
    }
}

void advanceQueue(slot_dispatcher &dispatcher, model_ledger &model, slot_queue &queue, instant now)
{
    ageBookings(queue.bookings, now);
    promoteReturned(queue, now);
    if (queue.waiting.empty()) {
        return;
    }
    serveWaiting(dispatcher, model, queue, now);
    const auto freed = expectedServed(queue, freedPerMs(dispatcher.ledger, model, now));
    auto overdue = removeOverdue(queue, freed, now);
    // A slot that no request in time needs is better than a refusal.
    overdue.remove_if([&](const waiting_request &entry) { return serve(dispatcher, model, queue, entry, lateTerms(model), now); });
    refuse(dispatcher, queue, overdue, freed, now);
}

} // namespace

slot_answer requestSlot(slot_dispatcher &dispatcher, const slot_request &asked, const endpoint &asker, instant now)
{
    const auto request = bounded(asked);
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
        return {request.ticket, asker, slot_verdict::waiting, {}, std::max(duration(), endOfWait(*waiting) - now)};
    }
    const auto supply = supplyOf(dispatcher, model->second, queue, request, now);
    if (!hasClaims(queue)) {
        const auto terms = isLate(request, supply) ? lateTerms(model->second) : termsInTime(request, supply);
        if (auto *group = bestGroup(dispatcher.ledger, model->second, request, terms, now)) {
            if (request.hasReturned) {
                takeBooking(queue.bookings, request, now);
            }
            recordDecision(queue, request.priority, true, now);
            return grant(dispatcher, queue, *group, request, asker, now);
        }
    }
    std::list<waiting_request> displaced;
    const auto wait = enqueueRequest(queue, request, asker, supply, displaced, now);
    refuse(dispatcher, queue, displaced, supply.freedPerMs, now);
    if (!wait) {
        return refusalOf(queue, request, asker, supply.freedPerMs, now);
    }
    recordDecision(queue, request.priority, true, now);
    return {request.ticket, asker, slot_verdict::waiting, {}, *wait};
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
        advanceQueue(dispatcher, model, dispatcher.queues[id], now);
    }
    return std::exchange(dispatcher.pending, {});
}

void updateGroups(slot_dispatcher &dispatcher, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now)
{
    dispatcher.ledger.coldPerSecond = dispatcher.coldPerSecond;
    replaceGroups(dispatcher.ledger, groups, engine, now);
    for (const auto &[id, model] : dispatcher.ledger.models) {
        if (const auto [entry, isNew] = dispatcher.queues.try_emplace(id); isNew) {
            entry->second.bookings.startedAt = now;
        }
    }
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
