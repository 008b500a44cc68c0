// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The rate at which a server reads requests. A new connection is accepted only if there is room for the request that will come on it;
/// requests on open connections are always read, and leave less room for new ones.
struct request_pace
{
    double perSecond = 0;
    /// Requests for which there is room now. Negative after more requests on open connections than there was room for.
    double room = 0;
    instant updatedAt;
};

/// Returns a pace at which a burst of half a second's requests may follow a quiet time.
request_pace makeRequestPace(double perSecond, instant now);
/// Takes room for the first request on a new connection. Returns false if there is none.
bool takeRoomForConnection(request_pace &pace, instant now);
/// Takes room for a request on an open connection.
void takeRoomForRequest(request_pace &pace, instant now);

} // namespace vetchpost
