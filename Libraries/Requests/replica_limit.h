// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// How many requests this daemon keeps at one replica at a time: learned, additive increase and multiplicative decrease.
struct replica_limit
{
    double value = 16;
    double least = 1;
    double most = 4096;
    /// A first token slower than this shows that the replica has too much work.
    duration slowFirstToken{550};
    instant lastDecrease;
    /// It has been lowered before: until then it doubles where it is used, afterwards it rises by one a round.
    bool hasBeenLowered = false;
};

/// What a replica said of itself, beside what this daemon has there.
struct replica_report
{
    int running = 0;
    int queued = 0;
    /// This daemon's part of it, from 0 to 1.
    double ownShare = 1;
    int inFlight = 0;
};

/// Takes in the first-token time of a request that was sent while \a inFlight were there.
void noteFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now);
/// Takes in the replica's own report, some moments old: what queues there waits where this daemon can no longer choose. The
/// daemon takes back its part of it, \a ownShare of 1.
/// Where nothing queues and the limit is used up, it rises by a tenth a report: long streams give first tokens too rarely to learn by.
void noteReport(replica_limit &limit, const replica_report &report, instant now);
/// Takes in that the replica refused for want of room.
void noteRefusal(replica_limit &limit, instant now);

} // namespace vetchpost
