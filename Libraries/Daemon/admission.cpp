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

constexpr duration rampTime(10000);
constexpr double leastRamp = 0.1;

/// One request that waits on its own thread.
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

replica_load loadOf(const replica_route &route, const admission_request &request, double reserved, instant now)
{
    auto &runtime = *route.runtime;
    replica_load load;
    load.reported = route.reported.running + route.reported.queued;
    load.sentSince = runtime.sentSinceReport;
    load.inFlight = runtime.inFlight;
    load.firstTokenMilliseconds = runtime.firstTokenMilliseconds;
    load.ramp = std::clamp(
        static_cast<double>(now.time_since_epoch().count() - runtime.servingSince) / static_cast<double>(rampTime.count()), leastRamp, 1.0);
    load.isExcluded = runtime.avoidUntil > now.time_since_epoch().count() || request.tried.contains(route.group);
    const std::lock_guard lock(runtime.mutex);
    load.limit = std::max(1, static_cast<int>(std::ceil(runtime.limit.value * (1 - reserved))));
    return load;
}

} // namespace

struct admission::private_data
{
    const rcu_snapshot<routing_snapshot> &routing;
    const replica_rests &rests;
    mutable std::mutex mutex;
    std::map<deployment_id, std::unique_ptr<deployment_queue>> queues;
    std::uint64_t lastTicket = 0;
    routing_policy policy;
    histogram waits;

    private_data(const rcu_snapshot<routing_snapshot> &routes, const replica_rests &replicaRests, metrics &counters)
        : routing(routes)
        , rests(replicaRests)
        , waits(counters.addTimeHistogram("vetchpost_queue_seconds", "How long requests waited for a replica."))
    {
    }

    deployment_queue &queueOf(const deployment_id &deployment)
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

    /// A replica that can take the request now, with its place taken.
    std::optional<replica_route> choose(deployment_queue &queue, const admission_request &request, instant now)
    {
        return routing.read([&](const routing_snapshot &snapshot) -> std::optional<replica_route> {
            const auto *routes = snapshot.find(request.deployment);
            if (routes == nullptr) {
                return std::nullopt;
            }
            const auto reserved = reservedShare(queue.queue, request.priority);
            const replica_choices choices{routes->places, [&](std::size_t place) {
                                              const auto &route = routes->replicas[place];
                                              auto load = loadOf(route, request, reserved, now);
                                              load.isExcluded = load.isExcluded || now < rests.backoffUntil(route.leader);
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

    /// Why no replica could take a request even if all were idle; nothing where one could.
    std::optional<reason> whyNever(const admission_request &request) const
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
            const auto opensInTime
                = [&](const replica_route &route) { return isUntried(route) && rests.backoffUntil(route.leader) < request.deadline; };
            if (!std::any_of(routes->replicas.begin(), routes->replicas.end(), opensInTime)) {
                return reason{error_kind::overloaded, "all replicas of the model rest until after the deadline"};
            }
            return std::nullopt;
        });
    }

    /// Gives free places to those whose turn it is; the queue's lock is held.
    void serve(deployment_queue &queue, instant now)
    {
        for (const auto &expired : removeExpired(queue.queue, now)) {
            auto &thread = *queue.threads.at(expired.ticket);
            thread.isExpired = true;
            thread.wake.notify_one();
        }
        while (queue.queue.length > 0) {
            // A free place is looked for before the one whose turn it is leaves the queue.
            admission_request anyone = queue.threads.begin()->second->request;
            anyone.tried.clear();
            anyone.prefix = 0;
            anyone.priority = *nextPriority(queue.queue);
            const auto probe = choose(queue, anyone, now);
            if (!probe) {
                return;
            }
            probe->runtime->inFlight.fetch_sub(1);
            probe->runtime->sentSinceReport.fetch_sub(1);
            const auto next = dequeue(queue.queue, now);
            auto &thread = *queue.threads.at(next->ticket);
            thread.route = choose(queue, thread.request, now);
            thread.isExpired = !thread.route;
            thread.wake.notify_one();
        }
    }
};

admission::admission(const rcu_snapshot<routing_snapshot> &routing, const replica_rests &rests, metrics &counters)
    : d(std::make_unique<private_data>(routing, rests, counters))
{
}

admission::~admission() = default;

std::optional<replica_route> admission::acquire(const admission_request &request, reason &lastReason)
{
    if (auto never = d->whyNever(request)) {
        lastReason = *never;
        return std::nullopt;
    }
    auto &queue = d->queueOf(request.deployment);
    std::unique_lock lock(queue.mutex);
    const auto arrived = monotonicNow();
    if (request.tried.empty()) {
        recordFirstAttempt(queue.retries);
    }
    if (queue.queue.length == 0) {
        if (auto route = d->choose(queue, request, arrived)) {
            d->waits.observe(0);
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
    d->waits.observe(std::chrono::duration<double>(monotonicNow() - arrived).count());
    if (!thread.route) {
        lastReason = {error_kind::queue_deadline, "no replica had room before the deadline"};
    }
    return thread.route;
}

void admission::release(const deployment_id &deployment, const replica_route &route)
{
    route.runtime->inFlight.fetch_sub(1);
    auto &queue = d->queueOf(deployment);
    const std::lock_guard lock(queue.mutex);
    d->serve(queue, monotonicNow());
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
        d->serve(*queue, monotonicNow());
    }
}

std::optional<duration> admission::opensAfter(const deployment_id &deployment) const
{
    std::vector<endpoint> leaders;
    d->routing.read([&](const routing_snapshot &snapshot) {
        if (const auto *routes = snapshot.find(deployment)) {
            std::transform(routes->replicas.begin(), routes->replicas.end(), std::back_inserter(leaders), [](const replica_route &route) {
                return route.leader;
            });
        }
    });
    return d->rests.opensAfter(leaders);
}

bool admission::takeRetryFor(const deployment_id &deployment)
{
    auto &queue = d->queueOf(deployment);
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

void noteTrouble(const replica_route &route, duration avoidFor)
{
    const auto now = monotonicNow();
    route.runtime->avoidUntil = (now + avoidFor).time_since_epoch().count();
    const std::lock_guard lock(route.runtime->mutex);
    recordRefusal(route.runtime->limit, now);
}

} // namespace vetchpost
