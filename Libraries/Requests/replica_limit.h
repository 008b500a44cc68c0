// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// How many requests this daemon keeps at one replica at a time: learned, additive increase and multiplicative decrease.
struct replica_limit
{
    double value = 8;
    double least = 1;
    double most = 512;
    /// A first token slower than this shows that the replica has too much work.
    duration slowFirstToken{550};
    instant lastDecrease;
};

/// Takes in the first-token time of a request that was sent while \a inFlight were there.
void noteFirstToken(replica_limit &limit, duration firstToken, int inFlight, instant now);
/// Takes in that the replica refused for want of room.
void noteRefusal(replica_limit &limit, instant now);

} // namespace vetchpost
