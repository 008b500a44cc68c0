// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/service_gateway.h"

#include "Libraries/Base/json.h"
#include "Libraries/Base/log.h"
#include "Libraries/Daemon/claimed_run.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Requests/recovery.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace vetchpost {

namespace {

constexpr part_log serviceLog("service");
constexpr auto requestIdHeader = "X-Request-Id";
constexpr duration avoidAfterFailure(2000);
constexpr duration connectTimeout(1000);
constexpr std::size_t maxReplySize = 16U << 20U;
constexpr int serviceUnavailable = 503;
constexpr int recentFailureCost = 100000;

/// State that this daemon keeps for one instance of a service.
struct service_runtime
{
    int inFlight = 0;
    instant avoidUntil;
};

http_call makeCall(const http_exchange &exchange, const caller_request &request, const std::string &target, const service_route &route)
{
    http_call call;
    call.to = route.address;
    call.method = exchange.method();
    call.target = target;
    call.borrowedBody = request.body;
    call.connectTimeout = connectTimeout;
    call.receiveTimeout = std::max(duration(1), request.deadline - monotonicNow());
    call.maximumReplySize = maxReplySize;
    call.headers = {{requestIdHeader, request.id.value()}, {"X-Organisation", request.callerOrganisation.id.value()}};
    for (const auto *name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        if (const auto value = exchange.header(name); !value.empty()) {
            call.headers.push_back({name, value});
        }
    }
    return call;
}

/// Returns whether the instance reports that it did not run the request, as an instance does while it is leaving.
bool reportsNotRun(const http_reply &reply)
{
    if (reply.status != serviceUnavailable) {
        return false;
    }
    return reply.header("X-Request-Ran") == "no";
}

/// Returns whether a reply carries the id of another request.
bool isForeign(const http_reply &reply, const caller_request &request)
{
    const auto id = reply.header(requestIdHeader);
    return !id.empty() && id != request.id.value();
}

} // namespace

struct service_gateway::private_data
{
    gateway_context &context;
    std::mutex mutex;
    std::map<instance_id, service_runtime> runtimes;
    std::mt19937_64 random{std::random_device()()};

    /// Chooses the instance with the fewest in-flight requests of this daemon, at random among equals, and counts the request there.
    /// Returns nothing if every instance was tried or is in backoff.
    std::optional<service_route> chooseInstance(const deployment_id &deployment, const std::set<instance_id> &tried)
    {
        const auto now = monotonicNow();
        const std::lock_guard lock(mutex);
        std::vector<service_route> best;
        int least = 0;
        context.cluster.routing().read([&](const routing_snapshot &snapshot) {
            const auto *routes = snapshot.find(deployment);
            for (const auto &route : routes == nullptr ? std::vector<service_route>() : routes->services) {
                if (tried.contains(route.instance) || now < context.backoffs.backoffUntil(route.address)) {
                    continue;
                }
                // An instance that failed recently is used only if there is no other.
                const auto &runtime = runtimes[route.instance];
                const auto cost = runtime.inFlight + (runtime.avoidUntil > now ? recentFailureCost : 0);
                if (best.empty() || cost < least) {
                    best.clear();
                    least = cost;
                }
                if (cost == least) {
                    best.push_back(route);
                }
            }
        });
        if (best.empty()) {
            return std::nullopt;
        }
        const auto chosen = best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(random)];
        ++runtimes[chosen.instance].inFlight;
        return chosen;
    }

    /// Returns the time until the first of the service's instances ends its backoff, or nothing if some instance is not in backoff.
    std::optional<duration> timeUntilAvailable(const deployment_id &deployment)
    {
        std::vector<endpoint> addresses;
        context.cluster.routing().read([&](const routing_snapshot &snapshot) {
            if (const auto *routes = snapshot.find(deployment)) {
                std::transform(routes->services.begin(),
                               routes->services.end(),
                               std::back_inserter(addresses),
                               [](const service_route &route) { return route.address; });
            }
        });
        return context.backoffs.timeUntilAvailable(addresses);
    }

    void release(const service_route &route, bool hasFailed)
    {
        const std::lock_guard lock(mutex);
        auto &runtime = runtimes[route.instance];
        --runtime.inFlight;
        if (hasFailed) {
            runtime.avoidUntil = monotonicNow() + avoidAfterFailure;
        }
    }

    /// Attempts the request on instances until one replies. Returns nothing on failure, with the reason in \a why; \a progress records
    /// whether the request may have run.
    std::optional<http_reply>
    run(const http_exchange &exchange, const caller_request &request, const std::string &target, request_progress &progress, reason &why)
    {
        std::set<instance_id> tried;
        for (;;) {
            const auto route = chooseInstance(request.target.id, tried);
            if (!route) {
                why = {progress.mayHaveRun ? error_kind::backend_lost : error_kind::backend_unreachable,
                       "no instance of the service is left to try"};
                return std::nullopt;
            }
            ++progress.attempts;
            context.requests.accepted.increment();
            // A kept connection that the server is just closing would leave the outcome unknown, so each call opens its own.
            auto reply = sendOnFreshConnection(makeCall(exchange, request, target, *route), why);
            if (reply) {
                context.backoffs.recordBackoff(route->address, reply->status, reply->headers);
            }
            const bool isUsable = reply && !reportsNotRun(*reply) && !isForeign(*reply, request);
            release(*route, !isUsable);
            if (isUsable) {
                return reply;
            }
            tried.insert(route->instance);
            const auto next = planRecovery(progress, failureOf(reply, request, why), true, monotonicNow());
            serviceLog.info("An attempt failed. request={} instance={} why=\"{}\"", request.id.value(), route->instance.value(), why.text);
            if (next.step != recovery_step::retry || !context.admissions.spendRetryFor(request.target.id)) {
                why.kind = next.step == recovery_step::retry
                    ? planRecovery(progress, failureOf(reply, request, why), false, monotonicNow()).kind
                    : next.kind;
                return std::nullopt;
            }
            context.requests.retries.increment();
        }
    }

    static attempt_failure failureOf(const std::optional<http_reply> &reply, const caller_request &request, const reason &why)
    {
        if (reply) {
            return isForeign(*reply, request) ? attempt_failure::foreign : attempt_failure::refused;
        }
        switch (why.kind) {
        case error_kind::backend_unreachable:
            return attempt_failure::not_sent;
        case error_kind::backend_truncated:
            return attempt_failure::broke_off;
        default:
            return attempt_failure::no_answer;
        }
    }

    void send(http_exchange &exchange, const http_reply &reply)
    {
        context.requests.completed.increment();
        exchange.send(reply.status, reply.header("Content-Type"), reply.body);
    }
};

service_gateway::service_gateway(gateway_context &context)
    : d(new private_data{context, {}, {}})
{
}

service_gateway::~service_gateway() = default;

void service_gateway::answer(http_exchange &exchange, const caller_request &request, const std::string &target)
{
    auto &context = d->context;
    const auto record = claimOf(request, context.settings.daemon);
    if (!admitClaim(context, exchange, request, record)) {
        return;
    }
    request_progress progress;
    progress.isRepeatable = request.isRepeatable;
    progress.deadline = request.deadline;
    reason why;
    const auto reply = d->run(exchange, request, target, progress, why);
    run_outcome runOutcome;
    runOutcome.mayHaveRun = progress.mayHaveRun;
    if (reply) {
        runOutcome.answer = cached_answer{reply->status, reply->header("Content-Type"), reply->body};
    }
    settleClaim(context, request, record, runOutcome);
    const auto outcome = reply ? std::string("completed") : std::string(errorAnswer(why.kind).name);
    countOutcome(context.counters, request.callerOrganisation.id, request.target.id, outcome);
    if (reply) {
        d->send(exchange, *reply);
        return;
    }
    context.counters.countRefusal(why.kind);
    exchange.sendError(why, request.id.value(), progress.mayHaveRun ? std::nullopt : d->timeUntilAvailable(request.target.id));
}

} // namespace vetchpost
