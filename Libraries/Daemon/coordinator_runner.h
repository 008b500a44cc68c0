// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Groups/coordinator.h"
#include "Libraries/Platform/key_value_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace vetchpost {

/// Runs the coordinator's decisions: turns its actions into calls and their answers into events. While it is active it also
/// reads the instance list and the weight store, and speaks for its data centre.
class coordinator_runner
{
public:
    /// Orders go out on threads of their own: a frozen engine must not hold up the renewal of the lease.
    coordinator_runner(const daemon_settings &settings,
                       cluster_state &cluster,
                       key_value_client &keyValue,
                       metrics &counters,
                       worker_pool &callWorkers,
                       worker_pool &orderWorkers,
                       std::function<void()> didChange);
    ~coordinator_runner();
    coordinator_runner(const coordinator_runner &) = delete;
    coordinator_runner &operator=(const coordinator_runner &) = delete;

    void subscribeTo(timer_service &timers);
    /// The last decisions on groups, for operators; empty while another daemon coordinates.
    std::vector<planning_decision> decisions() const;
    bool isCoordinating() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
