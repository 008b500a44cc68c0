// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/client_patience.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// Clients may change: what was seen is forgotten after so long without anybody as patient. Longer than the longest deadlines, so that the
/// clients who come back after an outage are not taken for new ones.
constexpr duration forgetting(10000);
constexpr int leastUrgent = 9;

} // namespace

void notePatience(client_patience &known, duration patience, instant now)
{
    if (patience >= known.longest || now - known.seenAt > forgetting) {
        known = {patience, now};
    }
}

duration waitedBefore(const client_patience &known, duration patience)
{
    return std::max(duration(), known.longest - patience);
}

// The load: all daemons have been away for some seconds, and more clients come back at once than new ones come in a second. Whoever has
// waited for longer than the objective is late whatever happens; served first come, first served, they make all others late for seconds.
// Behind the others they are served later, and some of them not in their time.
int priorityOf(int priority, bool isLate)
{
    return std::min(leastUrgent, priority + (isLate ? 1 : 0));
}

} // namespace vetchpost
