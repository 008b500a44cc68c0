// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// What one daemon knows of whether the key-value service answers it, and when it may ask again while it does not.
struct service_pace
{
    /// Calls in a row without an answer.
    int unanswered = 0;
    /// Pauses in a row: each is longer than the one before, up to a bound.
    int pauses = 0;
    /// When the service last answered.
    instant lastAnswer;
    /// While it does not answer: not before this moment ...
    instant nextProbe;
    /// ... and one call at a time.
    bool isProbing = false;
};

enum class call_permit {
    /// The service answers: any call goes out.
    free,
    /// The service is away: this call finds out whether it is back.
    probe,
    /// The service is away, and another call finds out, or it is too soon.
    held
};

/// Whether a call may go out now.
call_permit permitCall(service_pace &pace, instant now);
/// A call, or the look before it, has an answer.
void noteAnswer(service_pace &pace, instant now);
/// The look before a call has an answer: calls go out, but one silence closes the way again.
void noteProbeAnswer(service_pace &pace);
/// A call that began at \a asked has no answer. \a draw, from 0 to 1, spreads the daemons' next looks.
void noteSilence(service_pace &pace, call_permit permit, instant asked, double draw, instant now);

} // namespace vetchpost
