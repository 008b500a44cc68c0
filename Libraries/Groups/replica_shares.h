// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <vector>

namespace vetchpost {

/// What one data centre offers to one deployment.
struct data_centre_offer
{
    data_centre_id dataCentre;
    /// How many whole replicas its listed instances have room for.
    int room = 0;
};

struct data_centre_share
{
    data_centre_id dataCentre;
    int replicas = 0;
};

/// How many whole groups of \a size instances fit into domains of these sizes.
int wholeGroupRoom(const std::vector<int> &domainSizes, int size);

/// Splits the replicas of a deployment between data centres in proportion to their room, never above it. The same on every
/// daemon that knows the same offers. The sum is below \a replicas where the room is.
std::vector<data_centre_share> shareReplicas(int replicas, std::vector<data_centre_offer> offers);

} // namespace vetchpost
