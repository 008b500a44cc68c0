// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Daemon/cluster_state.h"

#include <array>
#include <map>
#include <vector>

namespace vetchpost {

/// The metrics of the groups of a data centre, such as downtime, repair time and stranded accelerators. Updated on the coordinator.
class group_metrics
{
public:
    explicit group_metrics(metrics &counters);

    /// Sets the gauges to the current state, and adds the time since the last call to the downtime and stranded time counters.
    void update(const std::vector<group_status> &groups,
                const std::optional<std::vector<deployment_want>> &wants,
                const instance_tracker &tracker,
                instant now);

private:
    /// Records the repair time of each group that serves again, and when each other group stopped serving.
    void recordRepairs(const std::vector<group_status> &groups, instant now);

    std::array<gauge, 4> m_groups;
    gauge m_missing;
    gauge m_stranded;
    counter m_downtime;
    counter m_strandedTime;
    histogram m_repairs;
    gauge m_staleOrders;
    std::map<group_id, instant> m_downSince;
    std::optional<instant> m_lastUpdate;
};

} // namespace vetchpost
