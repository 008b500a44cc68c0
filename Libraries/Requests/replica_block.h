// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/cold_pacing.h"
#include "Libraries/Requests/rate_permits.h"

#include <optional>

namespace vetchpost {

/// Why a replica must not be sent a request now.
enum class block_cause {
    none,
    /// The replica asked this daemon to back off.
    backoff,
    /// The replica has a rate limit, and this daemon holds no permit.
    limit,
    /// The replica is about to terminate.
    leaving,
    /// The replica is cold, and this daemon may not send it the next request yet.
    cold
};

/// Whether and how long a replica must not be sent a request.
struct replica_block
{
    block_cause cause = block_cause::none;
    /// When it may be sent a request; nothing if it is leaving or not blocked.
    std::optional<instant> until;
};

/// Returns the block of a replica; its cause is none if a request may be sent.
replica_block blockOf(const replica_constraints &table, const permit_holder &holder, const replica_key &replica, instant now);
/// Returns the block of a replica by its cold time alone.
replica_block blockOf(const cold_pacing &pacing, const replica_key &replica, instant now);

} // namespace vetchpost
