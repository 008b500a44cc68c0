// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/load_shedding.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr duration lookPeriod(500);
/// Fewer first events than this say little.
constexpr int leastEvents = 4;
/// What was learned is forgotten after so long without a first event.
constexpr duration forgetting(3000);
/// From this part of late first events on there is a queue everywhere, not at some groups.
constexpr double lateShareOfOverload = 0.6;
constexpr double lateShareOfCalm = 0.3;
constexpr double stepDown = 0.15;
constexpr double stepUp = 0.05;
constexpr double leastShare = 0.65;
/// Of a first event in the smoothed part of late ones: a daemon among many hears a few a second of a model.
constexpr double newestWeight = 0.06;
/// A few in a hundred are late on calm days too, where groups lose members one after the other.
constexpr double mostLateInCalm = 0.1;

} // namespace

// Engines serve as much with a queue as without one: the queue that a burst has left is kept up by what comes, and all are late. To refuse
// a little more than the excess for some seconds serves the rest in time.
void noteFirstEvent(load_shedding &state, bool isLate, instant now)
{
    if (now - state.lookedAt > forgetting) {
        state = {1, 0, 0, now, state.lateness};
    }
    state.lateness += newestWeight * ((isLate ? 1.0 : 0.0) - state.lateness);
    ++(isLate ? state.late : state.inTime);
    const auto events = state.late + state.inTime;
    if (now - state.lookedAt < lookPeriod || events < leastEvents) {
        return;
    }
    const auto lateShare = static_cast<double>(state.late) / events;
    if (lateShare > lateShareOfOverload) {
        state.share = std::max(leastShare, state.share - stepDown);
    } else if (lateShare < lateShareOfCalm) {
        state.share = std::min(1.0, state.share + stepUp);
    }
    state.inTime = 0;
    state.late = 0;
    state.lookedAt = now;
}

bool isCalm(const load_shedding &state)
{
    return state.lateness < mostLateInCalm;
}

bool isAdmitted(const load_shedding &state, double draw, instant now)
{
    return draw < state.share || now - state.lookedAt > forgetting;
}

} // namespace vetchpost
