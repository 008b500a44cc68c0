// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/coordination.h"

#include "Libraries/Assembly/store_restoration.h"
#include "Libraries/Entry/replica_entries.h"

#include <mutex>
#include <utility>

namespace vetchpost {

namespace {

constexpr auto coordinatorKey = "vetchpost/coordinator";

} // namespace

struct coordination::private_data
{
    const entry_settings &settings;
    key_value_service &keyValue;
    mutable std::mutex mutex;
    std::optional<coordination_term> term;
    store_restoration restoration;

    bool isOfPresentEra(const coordination_term &held) const
    {
        return held.created.era() == keyValue.era();
    }

    /// Requires the mutex to be held.
    bool isHeld(duration time, instant now) const
    {
        return isHeldFor(term, time, now) && isOfPresentEra(*term);
    }
};

coordination::coordination(const entry_settings &settings, key_value_service &keyValue)
    : d(new private_data{settings, keyValue, {}, {}, {}})
{
}

coordination::~coordination() = default;

std::optional<coordination_term> coordination::term() const
{
    const std::lock_guard lock(d->mutex);
    return d->term;
}

bool coordination::isHeld(duration time, instant now) const
{
    const std::lock_guard lock(d->mutex);
    return d->isHeld(time, now);
}

bool coordination::isHeld(store_revision created, duration time, instant now) const
{
    const std::lock_guard lock(d->mutex);
    return d->isHeld(time, now) && d->term->created == created;
}

bool coordination::isOfPresentEra(const coordination_term &term) const
{
    return d->isOfPresentEra(term);
}

bool coordination::isRenewalLate(instant now) const
{
    const std::lock_guard lock(d->mutex);
    return d->term && vetchpost::isRenewalLate(*d->term, d->settings.leaseTime, now);
}

bool coordination::hasServiceSettled(instant now) const
{
    const std::lock_guard lock(d->mutex);
    return hasSettled(d->restoration, planningDelay(d->settings.leaseTime, orderTimeout, lapsedGrace), now);
}

void coordination::recordEra(instant now)
{
    const std::lock_guard lock(d->mutex);
    vetchpost::recordEra(d->restoration, d->keyValue.era(), d->settings.isFirstStart, now);
}

std::optional<std::string> coordination::tryToBegin()
{
    reason why;
    // A stale read costs a tenth of a current one, but only a current one proves that there is no coordinator.
    for (const auto freshness : {read_freshness::may_be_stale, read_freshness::current}) {
        const auto entry = d->keyValue.get(coordinatorKey, freshness, why);
        if (!entry) {
            return std::nullopt;
        }
        if (!entry->changed.isNone()) {
            return entry->value;
        }
    }
    const auto asked = monotonicNow();
    const auto lease = d->keyValue.grantLease(d->settings.leaseTime, why);
    if (!lease) {
        return std::nullopt;
    }
    const auto result = d->keyValue.compareAndSwap(coordinatorKey, key_revision(), announcedPeers(d->settings).text(), *lease);
    if (result.outcome != swap_outcome::applied) {
        // If a write without an answer was applied, its key is removed with the lease.
        d->keyValue.endLease(*lease);
        return std::nullopt;
    }
    const std::lock_guard lock(d->mutex);
    d->term = coordination_term{result.changed, *lease, asked + d->settings.leaseTime};
    return std::nullopt;
}

bool coordination::renewIfDue(instant now)
{
    const auto current = term();
    if (!current || !isRenewalDue(*current, d->settings.leaseTime, now)) {
        return true;
    }
    reason why;
    const auto isRenewed = d->keyValue.renewLease(current->lease, why);
    if (!isRenewed || !*isRenewed) {
        return !isRenewed;
    }
    const std::lock_guard lock(d->mutex);
    // A lease that is part of an older copy can be renewed, but the key that was bound to it may be gone.
    if (d->term && d->isOfPresentEra(*d->term)) {
        d->term->leaseUntil = now + d->settings.leaseTime;
    }
    return true;
}

std::optional<coordination_term> coordination::forget()
{
    const std::lock_guard lock(d->mutex);
    return std::exchange(d->term, std::nullopt);
}

void coordination::endLease(const coordination_term &term) const
{
    d->keyValue.endLease(term.lease);
}

} // namespace vetchpost
