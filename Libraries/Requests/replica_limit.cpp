// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr double decreaseFactor = 0.85;
constexpr double growthFactor = 1.1;
/// The share of the limit from which on it counts as used up. It is high because slots reserved for higher priorities must not make the
/// limit rise for lower ones.
constexpr double usedShare = 0.95;
/// The answers to one burst of work cause one decrease.
constexpr duration minDecreaseInterval(1000);

void decreaseLimit(replica_limit &limit, instant now)
{
    if (now - limit.lastDecrease < minDecreaseInterval) {
        return;
    }
    limit.lastDecrease = now;
    limit.hasBeenLowered = true;
    limit.value = std::max(limit.minimum, limit.value * decreaseFactor);
}

} // namespace

void recordFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now)
{
    if (firstToken > limit.slowFirstToken) {
        decreaseLimit(limit, now);
        return;
    }
    // A limit that is not used up gives no evidence that a higher one would work.
    if (inFlight >= usedShare * limit.value) {
        limit.value = std::min(limit.maximum, limit.value + (limit.hasBeenLowered ? 1 / limit.value : 1));
    }
}

void applyReport(replica_limit &limit, const replica_report &report, instant now)
{
    if (report.queued <= 0) {
        const bool isUsed = report.inFlight >= usedShare * limit.value;
        limit.value = isUsed ? std::min(limit.maximum, limit.value * growthFactor) : limit.value;
        return;
    }
    if (now - limit.lastDecrease < minDecreaseInterval) {
        return;
    }
    limit.lastDecrease = now;
    limit.hasBeenLowered = true;
    // The limit does not fall below the running requests, because the same queue appears in several reports while it drains.
    limit.value = std::max({limit.minimum, report.running * report.ownShare, limit.value - report.queued * report.ownShare});
}

void recordRefusal(replica_limit &limit, instant now)
{
    decreaseLimit(limit, now);
}

} // namespace vetchpost
