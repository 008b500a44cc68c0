// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Daemon/cluster_state.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// Probes the state of this daemon's share of the instances once per observation period and publishes the results.
class observer
{
public:
    /// \a didChange is called when a change should be sent to the other daemons at once.
    observer(
        const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers, std::function<void()> didChange);
    ~observer();
    observer(const observer &) = delete;
    observer &operator=(const observer &) = delete;

    /// Registers the periodic probes; call once.
    void subscribeTo(timer_service &timers);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
