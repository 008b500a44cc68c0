// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// Which part of the requests for one model a daemon takes on while most first events come late: a queue that stands makes every answer
/// late, and it goes only when less comes than is served.
struct load_shedding
{
    /// Of the requests, the part that is taken on.
    double share = 1;
    /// First events in time and late, since the last look.
    int inTime = 0;
    int late = 0;
    instant lookedAt;
    /// The part of first events that were late, smoothed over about the last sixteen.
    double lateness = 0;
};

/// Notes a first event, and changes the share once enough are known.
void noteFirstEvent(load_shedding &state, bool isLate, instant now);
/// Whether few first events are late: then every place has room.
bool isCalm(const load_shedding &state);
/// Whether to take on a request; \a draw is from 0 to 1. With nothing heard for a while all are taken on.
bool isAdmitted(const load_shedding &state, double draw, instant now);

} // namespace vetchpost
