// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/fair_queue.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr duration rateWindow(1000);
constexpr double newestShare = 0.5;
constexpr double millisecondsPerSecond = 1000;

void noteDrained(fair_queue &queue, double cost, instant now)
{
    queue.drained += cost;
    const auto window = now - queue.drainSince;
    if (window < rateWindow) {
        return;
    }
    const auto rate = queue.drained * millisecondsPerSecond / static_cast<double>(window.count());
    queue.drainRate = queue.drainRate == 0 ? rate : newestShare * rate + (1 - newestShare) * queue.drainRate;
    queue.drainSince = now;
    queue.drained = 0;
}

fair_queue::flow *nextFlow(fair_queue::priority_level &level)
{
    fair_queue::flow *next = nullptr;
    for (auto &[organisation, flow] : level.flows) {
        if (!flow.waiting.empty() && (next == nullptr || flow.waiting.front().startTag < next->waiting.front().startTag)) {
            next = &flow;
        }
    }
    return next;
}

} // namespace

bool enqueue(fair_queue &queue, const queued_request &request)
{
    if (queue.length >= queue.limits.longest) {
        return false;
    }
    auto &level = queue.levels[request.priority];
    auto &flow = level.flows[request.organisation];
    const auto start = std::max(level.virtualTime, flow.lastFinish);
    flow.lastFinish = start + request.cost / request.weight;
    flow.waiting.push_back({request, start});
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
        const auto taken = flow->waiting.front();
        flow->waiting.pop_front();
        --queue.length;
        level.virtualTime = std::max(level.virtualTime, taken.startTag);
        noteDrained(queue, taken.request.cost, now);
        return taken.request;
    }
    return std::nullopt;
}

std::vector<queued_request> removeExpired(fair_queue &queue, instant now)
{
    std::vector<queued_request> expired;
    for (auto &[priority, level] : queue.levels) {
        for (auto &[organisation, flow] : level.flows) {
            flow.waiting.remove_if([&](const fair_queue::waiting_request &waiting) {
                if (waiting.request.deadline > now) {
                    return false;
                }
                expired.push_back(waiting.request);
                return true;
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
            const auto removed
                = flow.waiting.remove_if([&](const fair_queue::waiting_request &waiting) { return waiting.request.ticket == ticket; });
            if (removed != 0) {
                --queue.length;
                return true;
            }
        }
    }
    return false;
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
                waiting += entry.request.cost;
            }
            total += waiting;
            if (priority == request.priority && organisation == request.organisation) {
                own += waiting;
            } else if (!flow.waiting.empty()) {
                totalWeight += flow.waiting.front().request.weight;
            }
        }
        // Within its own priority an organisation's work goes through at its weight's share, never slower than all of it.
        ahead += priority == request.priority ? std::min(total + request.cost, own * totalWeight / request.weight) : total;
    }
    return duration(static_cast<std::int64_t>(ahead / queue.drainRate * millisecondsPerSecond));
}

} // namespace vetchpost
