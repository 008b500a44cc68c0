// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/circuit_breaking_service.h"

#include "Libraries/Platform/circuit_breaker.h"

#include <mutex>
#include <random>

namespace vetchpost {

struct circuit_breaking_service::private_data
{
    std::unique_ptr<key_value_service> service;
    std::string probeKey;
    std::mutex mutex;
    circuit_breaker breaker;
    std::mt19937 generator{std::random_device{}()};

    void recordFailure(call_decision decision, instant startedAt)
    {
        const std::lock_guard lock(mutex);
        const auto jitter = std::uniform_real_distribution<double>(0, 1)(generator);
        vetchpost::recordFailure(breaker, decision, startedAt, jitter, monotonicNow());
    }

    /// Whether a call may be sent. If the service did not answer before, it is probed first with a stale read, which costs a tenth as much
    /// and does not hold up the other calls as a waiting call would.
    bool admitCall(reason &lastReason)
    {
        const auto startedAt = monotonicNow();
        auto decision = call_decision::allow;
        {
            const std::lock_guard lock(mutex);
            decision = decideCall(breaker, startedAt);
        }
        if (decision == call_decision::allow) {
            return true;
        }
        if (decision == call_decision::reject) {
            lastReason = {error_kind::platform_unavailable, "the key-value service does not answer; it is probed again soon"};
            return false;
        }
        if (!service->get(probeKey, read_freshness::may_be_stale, lastReason)) {
            recordFailure(decision, startedAt);
            return false;
        }
        const std::lock_guard lock(mutex);
        recordProbeSuccess(breaker);
        return true;
    }

    void recordCallOutcome(bool hasAnswer, instant startedAt)
    {
        if (!hasAnswer) {
            recordFailure(call_decision::allow, startedAt);
            return;
        }
        const std::lock_guard lock(mutex);
        recordSuccess(breaker, monotonicNow());
    }

    /// Makes a call that returns an optional; nothing if the call was rejected or not answered.
    template <class Call>
    auto guarded(reason &lastReason, const Call &call) -> decltype(call())
    {
        if (!admitCall(lastReason)) {
            return std::nullopt;
        }
        const auto startedAt = monotonicNow();
        auto answer = call();
        recordCallOutcome(answer.has_value(), startedAt);
        return answer;
    }
};

circuit_breaking_service::circuit_breaking_service(std::unique_ptr<key_value_service> service, std::string probeKey)
    : d(std::make_unique<private_data>())
{
    d->service = std::move(service);
    d->probeKey = std::move(probeKey);
}

circuit_breaking_service::~circuit_breaking_service() = default;

std::optional<key_value_entry> circuit_breaking_service::get(const std::string &key, read_freshness freshness, reason &lastReason)
{
    return d->guarded(lastReason, [&] { return d->service->get(key, freshness, lastReason); });
}

std::optional<key_value_listing> circuit_breaking_service::list(const std::string &prefix, read_freshness freshness, reason &lastReason)
{
    return d->guarded(lastReason, [&] { return d->service->list(prefix, freshness, lastReason); });
}

swap_result
circuit_breaking_service::compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease)
{
    reason ignored;
    if (!d->admitCall(ignored)) {
        return {};
    }
    const auto startedAt = monotonicNow();
    const auto result = d->service->compareAndSwap(key, expected, value, lease);
    d->recordCallOutcome(result.outcome == swap_outcome::applied || result.outcome == swap_outcome::conflict, startedAt);
    return result;
}

std::optional<lease_number> circuit_breaking_service::grantLease(duration time, reason &lastReason)
{
    return d->guarded(lastReason, [&] { return d->service->grantLease(time, lastReason); });
}

std::optional<bool> circuit_breaking_service::renewLease(lease_number lease, reason &lastReason)
{
    return d->guarded(lastReason, [&] { return d->service->renewLease(lease, lastReason); });
}

void circuit_breaking_service::endLease(lease_number lease)
{
    // Not subject to the circuit breaker: it is called only once a term or at the end of the process, and a successor waits for it.
    d->service->endLease(lease);
}

std::optional<watch_result>
circuit_breaking_service::watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason)
{
    return d->guarded(lastReason, [&] { return d->service->watch(prefix, after, wait, lastReason); });
}

store_era circuit_breaking_service::era() const
{
    return d->service->era();
}

} // namespace vetchpost
