// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/fair_queue.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr duration rateWindow(1000);
constexpr double smoothingFactor = 0.5;
constexpr double millisecondsPerSecond = 1000;

void recordDrained(fair_queue &queue, double cost, instant now)
{
    queue.drained += cost;
    const auto window = now - queue.drainWindowStart;
    if (window < rateWindow) {
        return;
    }
    const auto rate = queue.drained * millisecondsPerSecond / static_cast<double>(window.count());
    queue.drainRate = queue.drainRate == 0 ? rate : smoothingFactor * rate + (1 - smoothingFactor) * queue.drainRate;
    queue.drainWindowStart = now;
    queue.drained = 0;
}

fair_queue::flow *nextFlow(fair_queue::priority_level &level)
{
    fair_queue::flow *next = nullptr;
    for (auto &[organisation, flow] : level.flows) {
        if (!flow.waiting.empty() && (next == nullptr || flow.startTag < next->startTag)) {
            next = &flow;
        }
    }
    return next;
}

void recordDemand(fair_queue::priority_level &level, double cost, instant now)
{
    level.demand += cost;
    const auto window = now - level.demandWindowStart;
    if (window < rateWindow) {
        return;
    }
    const auto rate = level.demand * millisecondsPerSecond / static_cast<double>(window.count());
    level.demandRate = smoothingFactor * rate + (1 - smoothingFactor) * level.demandRate;
    level.demandWindowStart = now;
    level.demand = 0;
}

} // namespace

bool enqueue(fair_queue &queue, const queued_request &request)
{
    auto &level = queue.levels[request.priority];
    recordDemand(level, request.cost, request.arrived);
    if (queue.length >= queue.limits.maxLength) {
        return false;
    }
    if (queue.length == 0) {
        // The rate is measured only while requests wait; otherwise it would be the clients' rate instead of the replicas'.
        queue.drainWindowStart = request.arrived;
        queue.drained = 0;
    }
    auto &flow = level.flows[request.organisation];
    if (flow.waiting.empty()) {
        flow.startTag = std::max(level.virtualTime, flow.startTag);
    }
    flow.waiting.push_back(request);
    ++queue.length;
    return true;
}

std::optional<queued_request> dequeue(fair_queue &queue, instant now)
{
    for (auto &[priority, level] : queue.levels) {
        auto *flow = nextFlow(level);
        if (flow == nullptr) {
            continue;
        }
        const auto dequeued = flow->waiting.front();
        flow->waiting.pop_front();
        --queue.length;
        level.virtualTime = std::max(level.virtualTime, flow->startTag);
        flow->startTag += dequeued.cost / dequeued.weight;
        recordDrained(queue, dequeued.cost, now);
        return dequeued;
    }
    return std::nullopt;
}

std::vector<queued_request> removeExpired(fair_queue &queue, instant now)
{
    std::vector<queued_request> expired;
    for (auto &[priority, level] : queue.levels) {
        for (auto &[organisation, flow] : level.flows) {
            flow.waiting.remove_if([&](const queued_request &waiting) {
                const bool isExpired = waiting.deadline <= now;
                if (isExpired) {
                    expired.push_back(waiting);
                }
                return isExpired;
            });
        }
    }
    queue.length -= expired.size();
    return expired;
}

bool removeTicket(fair_queue &queue, std::uint64_t ticket)
{
    for (auto &[priority, level] : queue.levels) {
        for (auto &[organisation, flow] : level.flows) {
            const auto removed = flow.waiting.remove_if([&](const queued_request &waiting) { return waiting.ticket == ticket; });
            if (removed != 0) {
                --queue.length;
                return true;
            }
        }
    }
    return false;
}

std::optional<int> nextPriority(const fair_queue &queue)
{
    for (const auto &[priority, level] : queue.levels) {
        for (const auto &[organisation, flow] : level.flows) {
            if (!flow.waiting.empty()) {
                return priority;
            }
        }
    }
    return std::nullopt;
}

double reservedShare(const fair_queue &queue, int priority)
{
    constexpr double headroom = 1.5;
    constexpr double maxShare = 0.3;
    double higherDemand = 0;
    double total = 0;
    for (const auto &[levelPriority, level] : queue.levels) {
        total += level.demandRate;
        higherDemand += levelPriority > priority ? level.demandRate : 0;
    }
    // The total is limited to the served rate, so that excess demand of lower priorities does not reduce the share of higher ones.
    const auto served = queue.drainRate > 0 ? std::min(total, queue.drainRate) : total;
    return served <= 0 ? 0 : std::min(maxShare, headroom * higherDemand / served);
}

std::optional<duration> expectedWait(const fair_queue &queue, const queued_request &request)
{
    if (queue.drainRate <= 0) {
        return std::nullopt;
    }
    double ahead = 0;
    for (const auto &[priority, level] : queue.levels) {
        if (priority < request.priority) {
            break;
        }
        double total = 0;
        double totalWeight = request.weight;
        double own = request.cost;
        for (const auto &[organisation, flow] : level.flows) {
            double waiting = 0;
            for (const auto &entry : flow.waiting) {
                waiting += entry.cost;
            }
            total += waiting;
            if (priority == request.priority && organisation == request.organisation) {
                own += waiting;
            } else if (!flow.waiting.empty()) {
                totalWeight += flow.waiting.front().weight;
            }
        }
        // Within its priority an organisation is served at its weight's share, and no later than after all requests of the priority.
        ahead += priority == request.priority ? std::min(total + request.cost, own * totalWeight / request.weight) : total;
    }
    return duration(static_cast<std::int64_t>(ahead / queue.drainRate * millisecondsPerSecond));
}

} // namespace vetchpost
