// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// Load shedding for one model: the share of requests that a daemon admits while most first events are late. A standing queue makes every
/// answer late, and it drains only if fewer requests arrive than are served.
struct load_shedding
{
    /// The share of requests to admit, from 0 to 1.
    double admittedShare = 1;
    /// Number of first events in time and late since the last evaluation.
    int inTime = 0;
    int late = 0;
    instant evaluatedAt;
    /// The share of late first events, smoothed over about the last sixteen.
    double lateness = 0;
};

/// Records a request's first event, and adjusts the share once enough events have been recorded.
void recordFirstEvent(load_shedding &state, bool isLate, instant now);
/// Returns whether few first events are late, which means that every replica has spare capacity.
bool hasSpareCapacity(const load_shedding &state);
/// Returns whether requests are refused now because most first events are late, which means that all replicas have a queue.
bool isShedding(const load_shedding &state, instant now);
/// Returns whether to admit a request, given a random number \a draw from 0 to 1. Without a recent first event all are admitted.
bool isAdmitted(const load_shedding &state, double draw, instant now);

} // namespace vetchpost
