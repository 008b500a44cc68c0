// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/admission.h"

#include "Libraries/Requests/retry_budget.h"
#include "Libraries/Requests/router.h"

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <iterator>
#include <map>
#include <mutex>

namespace vetchpost {

namespace {

constexpr duration rampDuration(10000);
constexpr double minRamp = 0.1;

/// A waiting request, whose own thread blocks until it is woken.
struct waiting_thread
{
    const admission_request &request;
    std::condition_variable wake;
    std::optional<replica_route> route;
    bool isExpired = false;
};

struct deployment_queue
{
    std::mutex mutex;
    fair_queue queue;
    retry_budget retries;
    std::map<std::uint64_t, waiting_thread *> threads;
    std::mt19937_64 random{std::random_device()()};
};

/// Computes the load of a replica as the router weighs it; \a reserved is the share of the limit kept free for higher priorities.
replica_load loadOf(const replica_route &route, const admission_request &request, double reserved, instant now)
{
    auto &runtime = *route.runtime;
    replica_load load;
    load.reported = route.reported.running + route.reported.queued;
    load.sentSince = runtime.sentSinceReport;
    load.inFlight = runtime.inFlight;
    load.firstTokenMilliseconds = runtime.firstTokenMilliseconds;
    load.ramp
        = std::clamp(static_cast<double>(now.time_since_epoch().count() - runtime.servingSince) / static_cast<double>(rampDuration.count()),
                     minRamp,
                     1.0);
    load.isExcluded = runtime.avoidUntil > now.time_since_epoch().count() || request.tried.contains(route.group);
    const std::lock_guard lock(runtime.mutex);
    load.limit = std::max(1, static_cast<int>(std::ceil(runtime.limit.value * (1 - reserved))));
    return load;
}

} // namespace

struct admission::private_data
{
    const rcu_snapshot<routing_snapshot> &routing;
    const replica_backoffs &backoffs;
    mutable std::mutex mutex;
    std::map<deployment_id, std::unique_ptr<deployment_queue>> queues;
    std::uint64_t lastTicket = 0;
    routing_policy policy;
    histogram waitTimes;

    private_data(const rcu_snapshot<routing_snapshot> &routes, const replica_backoffs &replicaBackoffs, metrics &counters)
        : routing(routes)
        , backoffs(replicaBackoffs)
        , waitTimes(counters.addTimeHistogram("vetchpost_queue_seconds", "How long requests waited for a replica."))
    {
    }

    deployment_queue &findOrAddQueue(const deployment_id &deployment)
    {
        const std::lock_guard lock(mutex);
        auto &queue = queues[deployment];
        if (!queue) {
            queue = std::make_unique<deployment_queue>();
        }
        return *queue;
    }

    std::uint64_t nextTicket()
    {
        const std::lock_guard lock(mutex);
        return ++lastTicket;
    }

    /// Chooses a replica that can run the request now, and occupies a slot of it. Returns nothing if no replica has a free slot.
    std::optional<replica_route> reserveSlot(deployment_queue &queue, const admission_request &request, instant now)
    {
        return routing.read([&](const routing_snapshot &snapshot) -> std::optional<replica_route> {
            const auto *routes = snapshot.find(request.deployment);
            if (routes == nullptr) {
                return std::nullopt;
            }
            const auto reserved = reservedShare(queue.queue, request.priority);
            const replica_choices choices{routes->ringPositions, [&](std::size_t index) {
                                              const auto &route = routes->replicas[index];
                                              auto load = loadOf(route, request, reserved, now);
                                              load.isExcluded = load.isExcluded || now < backoffs.backoffUntil(route.leader);
                                              return load;
                                          }};
            const auto chosen = chooseReplica(choices, request.prefix, policy, queue.random);
            if (!chosen) {
                return std::nullopt;
            }
            const auto &route = routes->replicas[*chosen];
            route.runtime->inFlight.fetch_add(1);
            route.runtime->sentSinceReport.fetch_add(1);
            return route;
        });
    }

    /// Returns the reason to refuse the request without queueing it: no replica could run it before its deadline, even if all were idle.
    /// Returns nothing if the request may wait.
    std::optional<reason> reasonToRefuse(const admission_request &request) const
    {
        return routing.read([&](const routing_snapshot &snapshot) -> std::optional<reason> {
            const auto *routes = snapshot.find(request.deployment);
            if (routes == nullptr) {
                return reason{error_kind::unknown_model, "there is no such model"};
            }
            const auto isUntried = [&](const replica_route &route) { return !request.tried.contains(route.group); };
            if (!std::any_of(routes->replicas.begin(), routes->replicas.end(), isUntried)) {
                return reason{error_kind::no_serving_group, "no replica of the model serves at the moment"};
            }
            const auto isAvailableInTime
                = [&](const replica_route &route) { return isUntried(route) && backoffs.backoffUntil(route.leader) < request.deadline; };
            if (!std::any_of(routes->replicas.begin(), routes->replicas.end(), isAvailableInTime)) {
                return reason{error_kind::overloaded, "all replicas of the model are in backoff until after the deadline"};
            }
            return std::nullopt;
        });
    }

    /// Removes expired requests and assigns free slots to waiting ones in queue order. The queue's mutex must be held.
    void assignSlots(deployment_queue &queue, instant now)
    {
        for (const auto &expired : removeExpired(queue.queue, now)) {
            auto &thread = *queue.threads.at(expired.ticket);
            thread.isExpired = true;
            thread.wake.notify_one();
        }
        while (queue.queue.length > 0) {
            // The next request is dequeued only once a replica of the deployment has a free slot for its priority.
            admission_request anyRequest = queue.threads.begin()->second->request;
            anyRequest.tried.clear();
            anyRequest.prefix = 0;
            anyRequest.priority = *nextPriority(queue.queue);
            const auto freeReplica = reserveSlot(queue, anyRequest, now);
            if (!freeReplica) {
                return;
            }
            freeReplica->runtime->inFlight.fetch_sub(1);
            freeReplica->runtime->sentSinceReport.fetch_sub(1);
            const auto next = dequeue(queue.queue, now);
            auto &thread = *queue.threads.at(next->ticket);
            thread.route = reserveSlot(queue, thread.request, now);
            thread.isExpired = !thread.route;
            thread.wake.notify_one();
        }
    }
};

admission::admission(const rcu_snapshot<routing_snapshot> &routing, const replica_backoffs &backoffs, metrics &counters)
    : d(std::make_unique<private_data>(routing, backoffs, counters))
{
}

admission::~admission() = default;

std::optional<replica_route> admission::acquire(const admission_request &request, reason &lastReason)
{
    if (auto refusal = d->reasonToRefuse(request)) {
        lastReason = *refusal;
        return std::nullopt;
    }
    auto &queue = d->findOrAddQueue(request.deployment);
    std::unique_lock lock(queue.mutex);
    const auto arrived = monotonicNow();
    if (request.tried.empty()) {
        recordFirstAttempt(queue.retries);
    }
    if (queue.queue.length == 0) {
        if (auto route = d->reserveSlot(queue, request, arrived)) {
            d->waitTimes.observe(0);
            return route;
        }
    }
    const queued_request entry{
        d->nextTicket(), request.organisation, request.priority, request.weight, request.cost, arrived, request.deadline};
    const auto wait = expectedWait(queue.queue, entry);
    if (wait && arrived + *wait > request.deadline) {
        lastReason = {error_kind::queue_deadline, "the queue is longer than the deadline allows"};
        return std::nullopt;
    }
    if (!enqueue(queue.queue, entry)) {
        lastReason = {error_kind::overloaded, "the queue is full"};
        return std::nullopt;
    }
    waiting_thread thread{request, {}, {}, false};
    queue.threads.emplace(entry.ticket, &thread);
    for (auto now = monotonicNow(); now < request.deadline; now = monotonicNow()) {
        const auto time = std::min(maxSteadyWait, request.deadline - now);
        if (thread.wake.wait_for(lock, time, [&] { return thread.route || thread.isExpired; })) {
            break;
        }
    }
    removeTicket(queue.queue, entry.ticket);
    queue.threads.erase(entry.ticket);
    d->waitTimes.observe(std::chrono::duration<double>(monotonicNow() - arrived).count());
    if (!thread.route) {
        lastReason = {error_kind::queue_deadline, "no replica had a free slot before the deadline"};
    }
    return thread.route;
}

void admission::release(const deployment_id &deployment, const replica_route &route)
{
    route.runtime->inFlight.fetch_sub(1);
    auto &queue = d->findOrAddQueue(deployment);
    const std::lock_guard lock(queue.mutex);
    d->assignSlots(queue, monotonicNow());
}

void admission::wake()
{
    std::vector<deployment_queue *> queues;
    {
        const std::lock_guard lock(d->mutex);
        for (const auto &[deployment, queue] : d->queues) {
            queues.push_back(queue.get());
        }
    }
    for (auto *queue : queues) {
        const std::lock_guard lock(queue->mutex);
        d->assignSlots(*queue, monotonicNow());
    }
}

std::optional<duration> admission::timeUntilAvailable(const deployment_id &deployment) const
{
    std::vector<endpoint> leaders;
    d->routing.read([&](const routing_snapshot &snapshot) {
        if (const auto *routes = snapshot.find(deployment)) {
            std::transform(routes->replicas.begin(), routes->replicas.end(), std::back_inserter(leaders), [](const replica_route &route) {
                return route.leader;
            });
        }
    });
    return d->backoffs.timeUntilAvailable(leaders);
}

bool admission::spendRetryFor(const deployment_id &deployment)
{
    auto &queue = d->findOrAddQueue(deployment);
    const std::lock_guard lock(queue.mutex);
    return spendRetry(queue.retries);
}

std::vector<queue_status> admission::queues() const
{
    const std::lock_guard lock(d->mutex);
    std::vector<queue_status> result;
    for (const auto &[deployment, queue] : d->queues) {
        const std::lock_guard queueLock(queue->mutex);
        result.push_back({deployment, queue->queue.length, queue->queue.drainRate});
    }
    return result;
}

void recordFirstToken(const replica_route &route, duration firstToken)
{
    constexpr double newestShare = 0.2;
    auto &runtime = *route.runtime;
    const auto known = runtime.firstTokenMilliseconds.load();
    const auto newest = static_cast<double>(firstToken.count());
    runtime.firstTokenMilliseconds = known == 0 ? newest : newestShare * newest + (1 - newestShare) * known;
    const std::lock_guard lock(runtime.mutex);
    recordFirstToken(runtime.limit, firstToken, runtime.inFlight, monotonicNow());
}

void recordFailure(const replica_route &route, duration avoidFor)
{
    const auto now = monotonicNow();
    route.runtime->avoidUntil = (now + avoidFor).time_since_epoch().count();
    const std::lock_guard lock(route.runtime->mutex);
    recordRefusal(route.runtime->limit, now);
}

} // namespace vetchpost
