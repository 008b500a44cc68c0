// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/instance_tracker.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// Whether two states of an instance differ in more than the load.
bool differsBeyondLoad(const engine_state &left, const engine_state &right)
{
    auto other = right;
    other.load = left.load;
    return left != other;
}

void recordLoss(tracked_instance &tracked, const tracker_limits &limits, instant now)
{
    tracked.missingSince = now;
    std::erase_if(tracked.losses, [&](instant loss) { return now - loss > limits.flapWindow; });
    tracked.losses.push_back(now);
}

} // namespace

void applyInstanceList(instance_tracker &tracker, const std::vector<listed_instance> &list)
{
    tracker.hasInstanceList = true;
    for (auto &[id, tracked] : tracker.instances) {
        tracked.isListed = false;
    }
    for (const auto &listed : list) {
        auto &tracked = tracker.instances[listed.id];
        tracked.listed = listed;
        tracked.isListed = true;
    }
    std::erase_if(tracker.instances, [](const auto &entry) {
        const auto &tracked = entry.second;
        return !tracked.isListed && !tracked.isAnswering();
    });
}

bool applyObservation(instance_tracker &tracker, const instance_observation &observation, instant now)
{
    const auto found = tracker.instances.find(observation.instance);
    if (found == tracker.instances.end()) {
        return false;
    }
    auto &tracked = found->second;
    if (!observation.state) {
        if (tracked.missingSince) {
            return false;
        }
        recordLoss(tracked, tracker.limits, now);
        return true;
    }
    const bool isSameRun = tracked.lastState && tracked.lastState->run == observation.state->run;
    if (isSameRun && observation.state->confirmed < tracked.lastState->confirmed) {
        ++tracker.staleOrdersObeyed;
    }
    if (tracked.missingSince) {
        tracked.missingSince.reset();
        tracked.returnedAt = now;
    } else if (tracked.lastState && tracked.lastState->run != observation.state->run) {
        // A restart between two observations counts as a loss too.
        recordLoss(tracked, tracker.limits, now);
        tracked.missingSince.reset();
        tracked.returnedAt = now;
    } else if (tracked.lastState && !differsBeyondLoad(*tracked.lastState, *observation.state)) {
        tracked.lastState->load = observation.state->load;
        return false;
    }
    tracked.lastState = observation.state;
    return true;
}

bool needsImmediateReport(const engine_state &reported, const engine_state &newer)
{
    const auto isIdle = [](const engine_state &state) { return state.load.running == 0 && state.load.queued == 0; };
    // A draining group may be changed as soon as it is idle, so that transition is reported at once.
    return differsBeyondLoad(reported, newer) || isIdle(reported) != isIdle(newer);
}

const tracked_instance *findInstance(const instance_tracker &tracker, const instance_id &id)
{
    const auto found = tracker.instances.find(id);
    return found == tracker.instances.end() ? nullptr : &found->second;
}

bool isHeldDown(const tracked_instance &tracked, const tracker_limits &limits, instant now)
{
    const auto recent
        = std::count_if(tracked.losses.begin(), tracked.losses.end(), [&](instant loss) { return now - loss <= limits.flapWindow; });
    return recent >= limits.flapThreshold && tracked.returnedAt && now - *tracked.returnedAt < limits.holdDownTime;
}

bool isPlaceable(const tracked_instance &tracked, const tracker_limits &limits, instant now)
{
    return tracked.isAnswering() && !tracked.isLeaving() && tracked.listed.service.empty() && !isHeldDown(tracked, limits, now);
}

} // namespace vetchpost
