// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/replica_backoffs.h"

#include "Libraries/Base/log.h"
#include "Libraries/Requests/replica_constraints.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace vetchpost {

namespace {

constexpr part_log backoffLog("rest");
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

/// Makes a key without an incarnation, as these interfaces do not distinguish incarnations of an engine; a backoff expires in any case.
replica_key keyOf(const endpoint &address)
{
    return {instance_id(address.text()), {}};
}

} // namespace

struct replica_backoffs::private_data
{
    mutable std::mutex mutex;
    replica_constraints table;
    std::atomic<bool> hasAny = false;
};

replica_backoffs::replica_backoffs()
    : d(std::make_unique<private_data>())
{
}

replica_backoffs::~replica_backoffs() = default;

void replica_backoffs::recordBackoff(const endpoint &from, int status, const std::vector<http_header> &headers)
{
    if (status != tooManyRequests && status != serviceUnavailable) {
        return;
    }
    replica_notice notice;
    notice.backoff = parseBackoff(headerValue(headers, "Retry-After"));
    if (!notice.backoff) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    expireEntries(d->table, now);
    if (vetchpost::applyNotice(d->table, keyOf(from), notice, now).hasBackoff) {
        backoffLog.info("A backend server asks for a backoff. address={} rest_ms={}", from.text(), notice.backoff->count());
    }
    d->hasAny = true;
}

instant replica_backoffs::backoffUntil(const endpoint &address) const
{
    if (!d->hasAny) {
        return {};
    }
    const std::lock_guard lock(d->mutex);
    const auto *known = findConstraint(d->table, keyOf(address));
    return known == nullptr ? instant() : known->backoffUntil;
}

std::optional<duration> replica_backoffs::timeUntilAvailable(const std::vector<endpoint> &addresses) const
{
    std::optional<instant> first;
    for (const auto &address : addresses) {
        const auto until = backoffUntil(address);
        first = std::min(first.value_or(until), until);
    }
    const auto now = monotonicNow();
    return first && *first > now ? std::optional(*first - now) : std::nullopt;
}

} // namespace vetchpost
