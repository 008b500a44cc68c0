// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/data_centre_summary.h"
#include "Libraries/Daemon/routing_snapshot.h"
#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/instance_tracker.h"

#include <map>
#include <memory>
#include <vector>

namespace vetchpost {

/// State from which a routing snapshot is built.
struct snapshot_input
{
    revision inForce;
    std::shared_ptr<const configuration> wanted;
    const allotment &allotted;
    const instance_tracker &tracker;
    const std::vector<data_centre_summary> &remote;
    instant now;
};

/// Builds routing snapshots, and carries the runtime state of each replica over from one snapshot to the next.
class snapshot_builder
{
public:
    routing_snapshot build(const snapshot_input &input);

private:
    std::shared_ptr<replica_runtime> findOrAddRuntime(const group_id &group, generation expected, instant now);
    void addModelRoutes(deployment_routes &routes, const snapshot_input &input);

    using runtime_key = std::pair<group_id, generation>;
    std::map<runtime_key, std::shared_ptr<replica_runtime>> m_runtimes;
};

} // namespace vetchpost
