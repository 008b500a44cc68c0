// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/client_patience.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// The longest patience is discarded after this time without a client as patient, since clients may change. The time exceeds the longest
/// deadlines, so that clients who retry after an outage are not taken for new ones.
constexpr duration patienceLifetime(10000);
constexpr int lowestPriority = 9;

} // namespace

void recordPatience(client_patience &known, duration patience, instant now)
{
    if (patience >= known.longest || now - known.seenAt > patienceLifetime) {
        known = {patience, now};
    }
}

duration priorWait(const client_patience &known, duration patience)
{
    return std::max(duration(), known.longest - patience);
}

// After an outage of all daemons for some seconds, more clients retry at once than new ones arrive in a second. A client that has waited
// for longer than the objective is late in any case; served in the order of arrival, these clients would make all others late for seconds.
// Served behind the others they get their answers later, and some of them miss their deadline.
int replicaPriority(int priority, bool isLate)
{
    return std::min(lowestPriority, priority + (isLate ? 1 : 0));
}

} // namespace vetchpost
