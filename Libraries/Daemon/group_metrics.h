// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Daemon/cluster_state.h"

#include <array>
#include <map>
#include <vector>

namespace vetchpost {

/// What the users measure, counted by the coordinator of a data centre: group downtime and stranded accelerators.
class group_metrics
{
public:
    explicit group_metrics(metrics &counters);

    /// Takes in how things stand now; what held since the last call is added up.
    void update(const std::vector<group_status> &groups,
                const std::optional<std::vector<deployment_want>> &wants,
                const instance_tracker &tracker,
                instant now);

private:
    void noteRepairs(const std::vector<group_status> &groups, instant now);

    std::array<gauge, 4> m_groups;
    gauge m_missing;
    gauge m_stranded;
    counter m_downtime;
    counter m_strandedTime;
    histogram m_repairs;
    gauge m_staleOrders;
    std::map<group_id, instant> m_downSince;
    std::optional<instant> m_last;
};

} // namespace vetchpost
