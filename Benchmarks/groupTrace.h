// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/planning.h"

#include <functional>
#include <vector>

namespace vetchpost::bench {

/// Size of the simulated fleet, number of losses and length of one run. Unless noted otherwise, losses are those of all data centres.
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
    /// Outages of a whole fabric domain during the run, over all data centres.
    int rackOutages = 1;
    /// Number of data centres that have one outage during the run.
    int dataCentreLosses = 0;
    double days = 30;
    /// Loads that one data centre's weight store serves at full rate.
    int storeSlots = 16;
};

/// Weights of downtime and of stranded instances in the deployment's repair costs.
struct trace_profile
{
    double downtimeWeight = 1;
    double strandedWeight = 1;
};

/// Totals of one run over all data centres.
struct trace_result
{
    double downtimeGroupHours = 0;
    /// Accelerator-hours of healthy instances outside serving groups that missing replicas could have used.
    double strandedAcceleratorHours = 0;
    /// Lower bounds for any planner: one load for each loss of a serving group, and for the group-hours also the replicas that the healthy
    /// instances could not hold.
    double minGroupHours = 0;
    double minAcceleratorHours = 0;
    /// Losses of members of serving groups.
    int losses = 0;
    /// Plans that changed the allotment.
    int writes = 0;
    double planningSeconds = 0;
    int plans = 0;
    std::size_t largestAllotmentBytes = 0;
};

using planner = std::function<planning_result(const planning_input &)>;

/// Replays a trace of losses and returns, generated from the seed, with one planner in virtual time.
trace_result replayTrace(const trace_size &size, const trace_profile &profile, const planner &plan, std::uint64_t seed);

} // namespace vetchpost::bench
