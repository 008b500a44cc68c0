// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/plan_pacing.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// What comes together is planned together.
constexpr duration leastGatherTime(10);
/// Nobody waits longer for an order that has become due.
constexpr duration longestGatherTime(100);
/// Of a small instance's processor a plan for thousands of replicas takes tens of milliseconds, and each answer asks for another one: with
/// so many times a plan's time between two, most of the processor is left for sending what was planned.
constexpr int timesThePlan = 3;

} // namespace

duration gatherTimeAfter(duration planTime)
{
    return std::clamp(planTime * timesThePlan, leastGatherTime, longestGatherTime);
}

} // namespace vetchpost
