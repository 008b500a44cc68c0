// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/request_pace.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr duration burstTime(500);

double maxRoom(const request_pace &pace)
{
    return std::max(1.0, pace.perSecond * secondsOf(burstTime));
}

void refill(request_pace &pace, instant now)
{
    pace.room = std::min(maxRoom(pace), pace.room + pace.perSecond * secondsOf(now - pace.updatedAt));
    pace.updatedAt = now;
}

} // namespace

request_pace makeRequestPace(double perSecond, instant now)
{
    request_pace pace{perSecond, 0, now};
    pace.room = maxRoom(pace);
    return pace;
}

bool takeRoomForConnection(request_pace &pace, instant now)
{
    refill(pace, now);
    if (pace.room < 1) {
        return false;
    }
    pace.room -= 1;
    return true;
}

// The debt is bounded, so that new connections are accepted again soon after many requests on open ones.
void takeRoomForRequest(request_pace &pace, instant now)
{
    refill(pace, now);
    pace.room = std::max(-maxRoom(pace), pace.room - 1);
}

} // namespace vetchpost
