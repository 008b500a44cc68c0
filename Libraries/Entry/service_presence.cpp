// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_presence.h"

namespace vetchpost {

bool noteCall(service_presence &presence, bool hasAnswered, instant now)
{
    if (hasAnswered && !presence.isReachable) {
        presence.absence = now - presence.lastAnswer;
        presence.absenceEnd = now;
    }
    if (hasAnswered) {
        presence.lastAnswer = now;
    }
    const bool hasChanged = hasAnswered != presence.isReachable;
    presence.isReachable = hasAnswered;
    return hasChanged;
}

// Only after an absence may entries be missing whose replicas live. A service that has forgotten its history was there all the time: if
// that counted as an absence, all daemons would have to list for themselves.
duration absenceBefore(const service_presence &presence, duration remembered, instant now)
{
    if (!presence.isReachable) {
        return now - presence.lastAnswer;
    }
    const bool isRemembered = presence.absenceEnd && now - *presence.absenceEnd < remembered;
    return isRemembered ? presence.absence : duration();
}

} // namespace vetchpost
