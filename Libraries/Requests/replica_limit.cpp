// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr double decrease = 0.85;
constexpr double usedShare = 0.8;
/// One decrease covers all the answers of the work that caused it.
constexpr duration decreasePause(1000);

void lower(replica_limit &limit, instant now)
{
    if (now - limit.lastDecrease < decreasePause) {
        return;
    }
    limit.lastDecrease = now;
    limit.value = std::max(limit.least, limit.value * decrease);
}

} // namespace

void noteFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now)
{
    if (firstToken > limit.slowFirstToken) {
        lower(limit, now);
        return;
    }
    // A limit that is not used proves nothing about a higher one.
    if (inFlight >= usedShare * limit.value) {
        limit.value = std::min(limit.most, limit.value + 1 / limit.value);
    }
}

void noteRefusal(replica_limit &limit, instant now)
{
    lower(limit, now);
}

} // namespace vetchpost
