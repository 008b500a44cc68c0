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

/// Takes in the first-token time of a request that was sent while \a inFlight were there.
void noteFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now);
/// Takes in the replica's own report, some moments old: what queues there waits where this daemon can no longer choose. The
/// daemon takes back its part of it, \a ownShare of 1.
void noteReport(replica_limit &limit, int running, int queued, double ownShare, instant now);
/// Takes in that the replica refused for want of room.
void noteRefusal(replica_limit &limit, instant now);

} // namespace vetchpost
