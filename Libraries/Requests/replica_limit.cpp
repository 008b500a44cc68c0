// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr double decrease = 0.85;
constexpr double growth = 1.1;
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

void noteReport(replica_limit &limit, const replica_report &report, instant now)
{
    if (report.queued <= 0) {
        const bool isUsed = report.inFlight >= usedShare * limit.value;
        limit.value = isUsed ? std::min(limit.most, limit.value * growth) : limit.value;
        return;
    }
    if (now - limit.lastDecrease < decreasePause) {
        return;
    }
    limit.lastDecrease = now;
    limit.hasBeenLowered = true;
    // Never below what runs there: the same queue shows in several reports while it drains.
    limit.value = std::max({limit.least, report.running * report.ownShare, limit.value - report.queued * report.ownShare});
}

void noteRefusal(replica_limit &limit, instant now)
{
    lower(limit, now);
}

} // namespace vetchpost
