// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_retries.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Requests/retry_limit.h"

#include <map>
#include <mutex>
#include <utility>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");
/// How often the use of the retries is logged at most.
constexpr duration usePeriod(1000);

/// The part of one service, and the need for retries since the last log line.
struct service_part
{
    limited_retries retries;
    int firstAttempts = 0;
    int sent = 0;
    int denied = 0;
};

} // namespace

struct service_retries::private_data
{
    const retry_limit limit;
    const std::function<std::optional<counted_daemons>()> daemons;
    const instant startedAt = monotonicNow();
    counter denied;
    std::mutex mutex;
    std::map<service_id, service_part> parts;
    instant nextUseLog;

    /// Returns the part of a service, adjusted to the current number of daemons. Requires the mutex to be held.
    service_part &partOf(const service_id &service)
    {
        const auto known = daemons();
        const auto sharing = known ? std::optional(known->daemons) : std::nullopt;
        const auto heldFor = monotonicNow() - (known ? known->knownSince : startedAt);
        auto &part = parts[service];
        const auto &budget = part.retries.budget;
        const auto before = budget.maximum;
        const bool wasGranted = part.retries.isSlackGranted;
        updateRetries(part.retries, limit, sharing, heldFor);
        if (budget.maximum != before || part.retries.isSlackGranted != wasGranted) {
            requestLog.write("repeats_shared",
                             {{"service", service.value()},
                              {"daemons", sharing.value_or(0)},
                              {"most", budget.maximum},
                              {"available", budget.available}});
        }
        return part;
    }
};

service_retries::service_retries(const entry_settings &settings, std::function<std::optional<counted_daemons>()> daemons, metrics &counters)
    : d(new private_data{{settings.retryShare, settings.retrySlack, settings.retryWindow},
                         std::move(daemons),
                         monotonicNow(),
                         counters.addCounter("vetchpost_retries_denied_total", "Retries that this daemon's part did not allow."),
                         {},
                         {},
                         {}})
{
}

service_retries::~service_retries() = default;

void service_retries::recordFirstAttempt(const service_id &service)
{
    const std::lock_guard lock(d->mutex);
    auto &part = d->partOf(service);
    vetchpost::recordFirstAttempt(part.retries);
    ++part.firstAttempts;
}

bool service_retries::consume(const service_id &service, double reservedShare)
{
    const std::lock_guard lock(d->mutex);
    auto &part = d->partOf(service);
    auto &budget = part.retries.budget;
    // What is left after this retry: a small budget may hold half of its maximum and yet less than one retry more.
    const bool isAllowed = budget.available - 1 >= reservedShare * budget.maximum && spendRetry(budget);
    ++(isAllowed ? part.sent : part.denied);
    if (!isAllowed) {
        d->denied.increment();
    }
    return isAllowed;
}

void service_retries::logUse()
{
    const std::lock_guard lock(d->mutex);
    if (monotonicNow() < d->nextUseLog) {
        return;
    }
    d->nextUseLog = monotonicNow() + usePeriod;
    for (auto &[service, part] : d->parts) {
        if (part.sent > 0 || part.denied > 0) {
            requestLog.write("repeats_used",
                             {{"service", service.value()},
                              {"requests", std::exchange(part.firstAttempts, 0)},
                              {"sent", std::exchange(part.sent, 0)},
                              {"denied", std::exchange(part.denied, 0)},
                              {"available", part.retries.budget.available},
                              {"most", part.retries.budget.maximum}});
        }
    }
}

} // namespace vetchpost
