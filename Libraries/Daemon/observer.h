// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Daemon/cluster_state.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// Asks this daemon's share of the instances for their state, once a period, and tells the others what changed.
class observer
{
public:
    /// \a didSeeChange is called when others should hear at once.
    observer(const daemon_settings &settings,
             cluster_state &cluster,
             metrics &counters,
             worker_pool &workers,
             std::function<void()> didSeeChange);
    ~observer();
    observer(const observer &) = delete;
    observer &operator=(const observer &) = delete;

    void subscribeTo(timer_service &timers);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
