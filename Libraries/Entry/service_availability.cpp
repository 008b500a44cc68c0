// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_availability.h"

namespace vetchpost {

bool recordCall(service_availability &availability, bool hasAnswered, instant now)
{
    if (!hasAnswered && availability.isReachable) {
        const bool isSuccessive = availability.outageEnd && availability.lastAnswer - *availability.outageEnd < successiveOutages;
        availability.outageBegin = isSuccessive ? availability.outageBegin : availability.lastAnswer;
    }
    if (hasAnswered && !availability.isReachable) {
        availability.outageEnd = now;
    }
    if (hasAnswered) {
        availability.lastAnswer = now;
    }
    const bool hasChanged = hasAnswered != availability.isReachable;
    availability.isReachable = hasAnswered;
    return hasChanged;
}

// Entries of live replicas can be missing only after an outage. A service that has lost its history was available all the time; if that
// counted as an outage, all daemons would have to list the entries themselves.
duration outageDuration(const service_availability &availability, duration remembered, instant now)
{
    if (!availability.isReachable) {
        return now - availability.outageBegin;
    }
    const bool isRemembered = availability.outageEnd && now - *availability.outageEnd < remembered;
    return isRemembered ? *availability.outageEnd - availability.outageBegin : duration();
}

} // namespace vetchpost
