// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstdint>

namespace vetchpost {

/// The extent of the cause for which a request was refused before it ran. It alone determines when the client should retry.
enum class refusal_scope {
    /// Only this daemon is affected: any other can serve the request immediately.
    this_daemon,
    /// This daemon has just started, and others may have started at the same time: some daemon can serve the request shortly.
    starting,
    /// The replicas that were tried have no free slot; slots become free continuously.
    full_slots,
    /// The model has no slot or too few, because its groups are being repaired.
    whole_model,
    /// All daemons are affected.
    all_daemons,
    count
};

/// Returns the time after which a refused client should retry: the likely duration of the cause, with jitter from the random number
/// \a draw, so that clients refused at the same time do not retry at the same time.
duration retryAfterFor(refusal_scope scope, std::uint64_t draw);

/// Returns the time after which a client should retry that was refused because all replicas are blocked, the first of them for
/// \a blockedFor: no less than that, with jitter from the random number \a draw.
duration retryAfterWhenBlocked(duration blockedFor, std::uint64_t draw);

/// Returns how many daemons presumably lack a configuration that is known to be current, as this daemon does. Only this one is affected if
/// another daemon has reported that it has one (\a isBehindPeers), or if the key-value service answers and this daemon has an old
/// configuration (\a hasAny). If the service does not answer, all are. If it answers and this daemon has no configuration, the daemons have
/// probably just started.
refusal_scope scopeOfStaleConfiguration(bool hasAny, bool isServiceAnswering, bool isBehindPeers);

} // namespace vetchpost
