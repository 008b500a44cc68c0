// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_service.h"

#include <optional>
#include <string>

namespace vetchpost {

/// A term of one daemon as coordinator: it holds a key that is bound to a lease.
struct coordination_term
{
    /// The revision at which the key was created. The term ends with its era, since its lease may be among what the service has lost.
    store_revision created;
    lease_number lease;
    /// When the lease ends, counted from before the call that granted or renewed it.
    instant leaseUntil;
};

/// Returns the number of a term, which increases with each term, also after the service has come back from an older copy.
inline std::uint64_t termNumber(const coordination_term &term)
{
    return risingNumber(term.created);
}

/// Allowance for the drift of two clocks over a lease and for the delay with which a thread wakes.
constexpr duration leaseMargin(200);

/// Whether the term is held for at least \a time from \a now.
inline bool isHeldFor(const std::optional<coordination_term> &term, duration time, instant now)
{
    return term && now + time + leaseMargin < term->leaseUntil;
}

/// Whether the lease should be renewed: a third of its time has passed.
inline bool isRenewalDue(const coordination_term &term, duration leaseTime, instant now)
{
    constexpr int renewalsPerLease = 3;
    return now >= term.leaseUntil - leaseTime + leaseTime / renewalsPerLease;
}

/// Whether the lease has not been renewed for half of its time, since the key-value service does not answer or answers too late.
inline bool isRenewalLate(const coordination_term &term, duration leaseTime, instant now)
{
    return now >= term.leaseUntil - leaseTime / 2;
}

} // namespace vetchpost
