// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/service_pace.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// One lost answer is no outage: the next call may be answered.
constexpr int silencesOfOutage = 2;
constexpr duration firstPause(150);
/// How late a daemon may notice that the service is back: a quarter of the two seconds that lapsed entries have to come back, and of the
/// shortest time within which a configuration has to be in force.
constexpr duration longestPause(500);
/// Of a pause, to either side.
constexpr double pauseSpread = 0.25;

bool isAway(const service_pace &pace)
{
    return pace.unanswered >= (pace.pauses == 0 ? silencesOfOutage : 1);
}

} // namespace

call_permit permitCall(service_pace &pace, instant now)
{
    if (!isAway(pace)) {
        return call_permit::free;
    }
    if (pace.isProbing || now < pace.nextProbe) {
        return call_permit::held;
    }
    pace.isProbing = true;
    return call_permit::probe;
}

void noteAnswer(service_pace &pace, instant now)
{
    pace = service_pace();
    pace.lastAnswer = now;
}

void noteProbeAnswer(service_pace &pace)
{
    pace.isProbing = false;
    pace.unanswered = 0;
}

void noteSilence(service_pace &pace, call_permit permit, instant asked, double draw, instant now)
{
    if (permit == call_permit::probe) {
        pace.isProbing = false;
    }
    if (asked < pace.lastAnswer) {
        // The service has answered another call since.
        return;
    }
    const bool wasAway = isAway(pace);
    ++pace.unanswered;
    if (!isAway(pace) || (wasAway && permit != call_permit::probe)) {
        return;
    }
    const auto pause = std::min(longestPause, firstPause * (1 << std::min(pace.pauses, 4)));
    ++pace.pauses;
    pace.nextProbe = now + std::chrono::duration_cast<duration>(pause * (1 + pauseSpread * (2 * draw - 1)));
}

} // namespace vetchpost
