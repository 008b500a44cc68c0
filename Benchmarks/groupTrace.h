// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning.h"

#include <functional>
#include <vector>

namespace vetchpost::bench {

/// The size and the failures of one run.
struct trace_size
{
    int dataCentres = 3;
    int domainsPerDataCentre = 4;
    int instancesPerDomain = 18;
    int acceleratorsPerInstance = 8;
    int replicas = 48;
    int instancesPerReplica = 4;
    double failuresPerDay = 0;
    double restartsPerDay = 0;
    int racksPerMonth = 1;
    int dataCentreLosses = 0;
    double days = 30;
    /// Loads that one data centre's weight store feeds at full rate.
    int storeSlots = 16;
};

/// How the deployment weighs downtime against stranding.
struct trace_profile
{
    double downtimeWeight = 1;
    double strandedWeight = 1;
};

struct trace_result
{
    double downtimeGroupHours = 0;
    double strandedAcceleratorHours = 0;
    /// What no planner can go below: a load for each loss of a serving group, and whatever capacity is not there.
    double boundGroupHours = 0;
    double boundAcceleratorHours = 0;
    int losses = 0;
    int writes = 0;
    double planningSeconds = 0;
    int plans = 0;
    std::size_t largestAllotmentBytes = 0;
};

using planner = std::function<planning_result(const planning_input &)>;

/// Replays a seeded trace of losses and returns over one planner, in virtual time.
trace_result replayTrace(const trace_size &size, const trace_profile &profile, const planner &plan, std::uint64_t seed);

} // namespace vetchpost::bench
