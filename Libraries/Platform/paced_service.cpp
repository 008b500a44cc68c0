// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/paced_service.h"

#include "Libraries/Platform/service_pace.h"

#include <mutex>
#include <random>

namespace vetchpost {

struct paced_service::private_data
{
    std::unique_ptr<key_value_service> service;
    std::string probeKey;
    std::mutex mutex;
    service_pace pace;
    std::mt19937 generator{std::random_device{}()};

    void noteSilence(call_permit permit, instant asked)
    {
        const std::lock_guard lock(mutex);
        const auto draw = std::uniform_real_distribution<double>(0, 1)(generator);
        vetchpost::noteSilence(pace, permit, asked, draw, monotonicNow());
    }

    /// Whether a call may go out. Where the service was away, a cheap read finds out first: it costs a tenth, and no waiting call stands
    /// in the way of the others.
    bool mayCall(reason &lastReason)
    {
        const auto asked = monotonicNow();
        auto permit = call_permit::free;
        {
            const std::lock_guard lock(mutex);
            permit = permitCall(pace, asked);
        }
        if (permit == call_permit::free) {
            return true;
        }
        if (permit == call_permit::held) {
            lastReason = {error_kind::platform_unavailable, "the key-value service does not answer; it is asked again soon"};
            return false;
        }
        if (!service->get(probeKey, read_freshness::may_be_stale, lastReason)) {
            noteSilence(permit, asked);
            return false;
        }
        const std::lock_guard lock(mutex);
        noteProbeAnswer(pace);
        return true;
    }

    void noteCall(bool hasAnswer, instant asked)
    {
        if (!hasAnswer) {
            noteSilence(call_permit::free, asked);
            return;
        }
        const std::lock_guard lock(mutex);
        noteAnswer(pace, monotonicNow());
    }

    /// Makes a call whose answer is empty where there was none.
    template <class Call>
    auto paced(reason &lastReason, const Call &call) -> decltype(call())
    {
        if (!mayCall(lastReason)) {
            return std::nullopt;
        }
        const auto asked = monotonicNow();
        auto answer = call();
        noteCall(answer.has_value(), asked);
        return answer;
    }
};

paced_service::paced_service(std::unique_ptr<key_value_service> service, std::string probeKey)
    : d(std::make_unique<private_data>())
{
    d->service = std::move(service);
    d->probeKey = std::move(probeKey);
}

paced_service::~paced_service() = default;

std::optional<key_value_entry> paced_service::get(const std::string &key, read_freshness freshness, reason &lastReason)
{
    return d->paced(lastReason, [&] { return d->service->get(key, freshness, lastReason); });
}

std::optional<key_value_listing> paced_service::list(const std::string &prefix, read_freshness freshness, reason &lastReason)
{
    return d->paced(lastReason, [&] { return d->service->list(prefix, freshness, lastReason); });
}

swap_result paced_service::compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease)
{
    reason ignored;
    if (!d->mayCall(ignored)) {
        return {};
    }
    const auto asked = monotonicNow();
    const auto result = d->service->compareAndSwap(key, expected, value, lease);
    d->noteCall(result.outcome == swap_outcome::applied || result.outcome == swap_outcome::conflict, asked);
    return result;
}

std::optional<lease_number> paced_service::grantLease(duration time, reason &lastReason)
{
    return d->paced(lastReason, [&] { return d->service->grantLease(time, lastReason); });
}

std::optional<bool> paced_service::renewLease(lease_number lease, reason &lastReason)
{
    return d->paced(lastReason, [&] { return d->service->renewLease(lease, lastReason); });
}

void paced_service::endLease(lease_number lease)
{
    // Once a term or at the end of the process: a successor waits for it.
    d->service->endLease(lease);
}

std::optional<watch_result> paced_service::watch(const std::string &prefix, std::uint64_t after, duration wait, reason &lastReason)
{
    return d->paced(lastReason, [&] { return d->service->watch(prefix, after, wait, lastReason); });
}

} // namespace vetchpost
