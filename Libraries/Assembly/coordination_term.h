// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_service.h"

#include <optional>
#include <string>

namespace vetchpost {

/// One daemon's hold on the coordination: a key that lives as long as a lease. The revision at which the key was created numbers the term.
struct coordination_term
{
    std::uint64_t number = 0;
    lease_number lease;
    /// Counted from before the call that granted or renewed the lease.
    instant leaseUntil;
};

/// How far two clocks may drift apart over a lease, and how late a thread may wake.
constexpr duration leaseMargin(200);

/// Whether the term is still held for so long.
inline bool isHeldFor(const std::optional<coordination_term> &term, duration time, instant now)
{
    return term && now + time + leaseMargin < term->leaseUntil;
}

/// Whether the lease should be renewed: a third of it is over.
inline bool isRenewalDue(const coordination_term &term, duration leaseTime, instant now)
{
    constexpr int renewalsPerLease = 3;
    return now >= term.leaseUntil - leaseTime + leaseTime / renewalsPerLease;
}

/// Whether the lease was not renewed for half of its time: the key-value service does not answer, or too late.
inline bool isRenewalLate(const coordination_term &term, duration leaseTime, instant now)
{
    return now >= term.leaseUntil - leaseTime / 2;
}

} // namespace vetchpost
