// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/plan_pacing.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// Changes that arrive within this time are planned together.
constexpr duration minBatchDelay(10);
/// The longest time for which an order that has become due waits for the next plan.
constexpr duration maxBatchDelay(100);
/// Factor between a plan's duration and the delay after it. On a small instance a plan for thousands of replicas takes tens of milliseconds
/// of processor time, and each answer triggers another one; the delay leaves most of the processor for sending the planned orders.
constexpr int planTimeMultiple = 3;

} // namespace

duration batchDelayAfter(duration planTime)
{
    return std::clamp(planTime * planTimeMultiple, minBatchDelay, maxBatchDelay);
}

} // namespace vetchpost
