// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/replica_rests.h"

#include "Libraries/Base/log.h"
#include "Libraries/Requests/replica_constraints.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace vetchpost {

namespace {

constexpr part_log restLog("rest");
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

/// These interfaces tell no lives of an engine apart; a rest is over after its time in any case.
replica_key keyOf(const endpoint &address)
{
    return {instance_id(address.text()), {}};
}

} // namespace

struct replica_rests::private_data
{
    mutable std::mutex mutex;
    replica_constraints table;
    std::atomic<bool> hasAny = false;
};

replica_rests::replica_rests()
    : d(std::make_unique<private_data>())
{
}

replica_rests::~replica_rests() = default;

void replica_rests::noteAnswer(const endpoint &from, int status, const std::vector<http_header> &headers)
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
        restLog.info("A backend server asks for rest. address={} rest_ms={}", from.text(), notice.backoff->count());
    }
    d->hasAny = true;
}

instant replica_rests::backoffUntil(const endpoint &address) const
{
    if (!d->hasAny) {
        return {};
    }
    const std::lock_guard lock(d->mutex);
    const auto *known = findConstraint(d->table, keyOf(address));
    return known == nullptr ? instant() : known->backoffUntil;
}

std::optional<duration> replica_rests::opensAfter(const std::vector<endpoint> &addresses) const
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
