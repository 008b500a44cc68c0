// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The time limit with which the clients of one route send their first attempt, learned from the remaining time that requests carry.
struct client_patience
{
    /// The longest remaining time of a recent request.
    duration longest{};
    instant seenAt;
};

/// Records a request whose client waits for another \a patience.
void recordPatience(client_patience &known, duration patience, instant now);

/// Estimates how long a client had been waiting when it sent a request with \a patience left: a client that retries sends the rest of its
/// original time limit.
duration priorWait(const client_patience &known, duration patience);

/// Returns the priority with which a request is sent to a replica (0 is the most urgent): one step less urgent if its answer can no longer
/// arrive in time.
int replicaPriority(int priority, bool isLate);

} // namespace vetchpost
