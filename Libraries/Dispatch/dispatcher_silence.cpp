// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/dispatcher_silence.h"

#include <algorithm>

namespace vetchpost {

bool mayAsk(dispatcher_silence &silence, instant now)
{
    if (!isSilent(silence)) {
        return true;
    }
    if (now < silence.nextRequest) {
        return false;
    }
    silence.nextRequest = now + silence.pause;
    return true;
}

bool recordTimeout(dispatcher_silence &silence, instant asked, instant now)
{
    if (isSilent(silence)) {
        // Requests that were sent before the dispatcher became silent time out during its pause, and tell nothing new.
        if (asked >= silence.since) {
            silence.pause = std::min(longestSilencePause, 2 * silence.pause);
            silence.nextRequest = now + silence.pause;
        }
        return false;
    }
    if (++silence.timeouts < timeoutsUntilSilent) {
        return false;
    }
    silence.pause = firstSilencePause;
    silence.since = now;
    silence.nextRequest = now + silence.pause;
    return true;
}

bool recordAnswer(dispatcher_silence &silence)
{
    const bool wasSilent = isSilent(silence);
    silence = {};
    return wasSilent;
}

} // namespace vetchpost
