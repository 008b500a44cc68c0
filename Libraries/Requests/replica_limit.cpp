// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr double decrease = 0.85;
/// Nearly all of it: what is kept for higher priorities must not let the limit rise for the lower ones.
constexpr double usedShare = 0.95;
/// One decrease covers all the answers of the work that caused it.
constexpr duration decreasePause(1000);

void lower(replica_limit &limit, instant now)
{
    if (now - limit.lastDecrease < decreasePause) {
        return;
    }
    limit.lastDecrease = now;
    limit.hasBeenLowered = true;
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
        limit.value = std::min(limit.most, limit.value + (limit.hasBeenLowered ? 1 / limit.value : 1));
    }
}

void noteReport(replica_limit &limit, int running, int queued, double ownShare, instant now)
{
    if (queued <= 0 || now - limit.lastDecrease < decreasePause) {
        return;
    }
    limit.lastDecrease = now;
    limit.hasBeenLowered = true;
    // Never below what runs there: the same queue shows in several reports while it drains.
    limit.value = std::max({limit.least, running * ownShare, limit.value - queued * ownShare});
}

void noteRefusal(replica_limit &limit, instant now)
{
    lower(limit, now);
}

} // namespace vetchpost
