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

/// Drives the coordinator's state machine: performs its actions as calls and feeds the replies back as events. While this daemon is the
/// coordinator, it also reads the instance list and the weight store, and publishes the summary of its data centre.
class coordinator_runner
{
public:
    /// Orders are sent from \a orderWorkers and not from \a callWorkers, so that a frozen engine cannot delay the renewal of the lease.
    /// \a didChange is called when a change should be sent to the peers at once.
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

    /// Registers the periodic work; call once.
    void subscribeTo(timer_service &timers);
    /// The last decisions of this daemon's coordinator about groups, oldest first. Empty if this daemon has never coordinated.
    std::vector<planning_decision> decisions() const;
    /// Whether this daemon is the coordinator of its data centre at this moment.
    bool isCoordinating() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
