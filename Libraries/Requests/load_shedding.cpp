// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/load_shedding.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr duration evaluationPeriod(500);
/// Number of first events that an evaluation needs.
constexpr int minEvents = 4;
/// The state is reset after this time without an evaluation.
constexpr duration resetTime(3000);
/// Above this share of late first events all groups have a queue, not only some of them.
constexpr double overloadLateShare = 0.6;
constexpr double recoveryLateShare = 0.3;
constexpr double shareDecrease = 0.15;
constexpr double shareIncrease = 0.05;
constexpr double minShare = 0.65;
/// The weight of one first event in the smoothed lateness. One of many daemons sees a few first events of a model per second.
constexpr double newestWeight = 0.06;
/// A few percent are late under normal load as well, because groups lose members.
constexpr double spareCapacityLateShare = 0.1;

} // namespace

// Engines have the same throughput with a queue as without one, so that the queue left by a burst persists under the normal load and makes
// all requests late. Refusing slightly more than the excess for some seconds lets the rest be served in time.
void recordFirstEvent(load_shedding &state, bool isLate, instant now)
{
    if (now - state.evaluatedAt > resetTime) {
        state = {1, 0, 0, now, state.lateness};
    }
    state.lateness += newestWeight * ((isLate ? 1.0 : 0.0) - state.lateness);
    ++(isLate ? state.late : state.inTime);
    const auto events = state.late + state.inTime;
    if (now - state.evaluatedAt < evaluationPeriod || events < minEvents) {
        return;
    }
    const auto lateShare = static_cast<double>(state.late) / events;
    if (lateShare > overloadLateShare) {
        state.admittedShare = std::max(minShare, state.admittedShare - shareDecrease);
    } else if (lateShare < recoveryLateShare) {
        state.admittedShare = std::min(1.0, state.admittedShare + shareIncrease);
    }
    state.inTime = 0;
    state.late = 0;
    state.evaluatedAt = now;
}

bool hasSpareCapacity(const load_shedding &state)
{
    return state.lateness < spareCapacityLateShare;
}

bool isShedding(const load_shedding &state, instant now)
{
    return state.admittedShare < 1 && now - state.evaluatedAt <= resetTime;
}

bool isAdmitted(const load_shedding &state, double draw, instant now)
{
    return draw < state.admittedShare || !isShedding(state, now);
}

} // namespace vetchpost
