// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <vector>

namespace vetchpost {

/// How many replicas of one deployment fit into one data centre.
struct data_centre_capacity
{
    data_centre_id dataCentre;
    /// Number of whole replicas that fit into the domains of its listed instances.
    int capacity = 0;
};

/// How many replicas of one deployment one data centre should run.
struct data_centre_share
{
    data_centre_id dataCentre;
    int replicas = 0;
};

/// Returns how many whole groups of \a size instances fit into domains of these sizes.
int wholeGroupCapacity(const std::vector<int> &domainSizes, int size);

/// Splits the replicas of a deployment between data centres in proportion to their capacity and never above it. Every daemon that knows
/// the same capacities gets the same result. The sum is below \a replicas if the total capacity is.
std::vector<data_centre_share> shareReplicas(int replicas, std::vector<data_centre_capacity> capacities);

} // namespace vetchpost
