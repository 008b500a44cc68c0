// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_paths.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Settings/entry_settings.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// Plans and assembles the groups while this daemon is the coordinator, and tries to become the coordinator while there is none.
class assembly_runner
{
public:
    /// \a localDemand returns the number of requests for each model that this daemon holds. \a didAnswer is called with each answer of a
    /// replica to an order or a probe, on any thread.
    assembly_runner(const entry_settings &settings,
                    key_value_service &keyValue,
                    const entry_dialect &dialect,
                    store_follower &store,
                    peer_feed &feed,
                    replica_paths &paths,
                    metrics &counters,
                    std::function<std::vector<model_demand>()> localDemand,
                    const answer_listener &didAnswer);
    ~assembly_runner();
    assembly_runner(const assembly_runner &) = delete;
    assembly_runner &operator=(const assembly_runner &) = delete;

    void start();
    /// Stops planning, and ends this daemon's term so that a successor need not wait for its lease to expire.
    void stop();
    /// Triggers planning at once, for changes of the replicas or the configuration.
    void replan();
    /// Reports that requests at the group of \a head are stalled. The coordinator probes the group's members; other daemons send a report
    /// to the coordinator.
    void reportStall(const instance_id &head);
    /// Handles a stall report of another daemon. Ignored unless this daemon is the coordinator.
    void handleStallReport(const stall_report &report);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
