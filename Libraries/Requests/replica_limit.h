// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The adaptive limit of concurrent requests of this daemon at one replica, by additive increase and multiplicative decrease.
struct replica_limit
{
    double value = 16;
    double minimum = 1;
    double maximum = 4096;
    /// A first token that takes longer than this shows that the replica is overloaded.
    duration slowFirstToken{550};
    instant lastDecrease;
    /// Whether the limit has been decreased before. Until then it doubles per round trip while it is used up, afterwards it rises by one.
    bool hasBeenLowered = false;
};

/// A replica's load report, with this daemon's share of the load.
struct replica_report
{
    int running = 0;
    int queued = 0;
    /// This daemon's share of that load, from 0 to 1.
    double ownShare = 1;
    /// Requests of this daemon at the replica.
    int inFlight = 0;
};

/// Adjusts the limit to the first-token time of a request that was sent while \a inFlight requests of this daemon were at the replica.
void recordFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now);
/// Adjusts the limit to a replica's load report, which is slightly outdated. Requests queued at the replica can no longer be sent
/// elsewhere, so the limit falls by this daemon's share of them. If nothing is queued and the limit is used up, it rises by a tenth per
/// report, because long streams produce first tokens too rarely to adapt by.
void applyReport(replica_limit &limit, const replica_report &report, instant now);
/// Decreases the limit because the replica refused a request for lack of capacity.
void recordRefusal(replica_limit &limit, instant now);

} // namespace vetchpost
