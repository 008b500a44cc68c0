// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// How long the clients of one route are ready to wait when they come for the first time, learned from what their requests say is left.
struct client_patience
{
    /// The longest that was seen lately.
    duration longest{};
    instant seenAt;
};

/// Notes that a request left its replica \a patience.
void notePatience(client_patience &known, duration patience, instant now);

/// How long a client has waited before it sent a request that leaves \a patience: one that comes back brings what is left of its time.
duration waitedBefore(const client_patience &known, duration patience);

/// The priority with which a replica is asked (0 is the most urgent): one step behind where the answer can no longer be in time.
int priorityOf(int priority, bool isLate);

} // namespace vetchpost
