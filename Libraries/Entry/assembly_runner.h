// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Settings/entry_settings.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// Assembles the groups while this daemon holds the coordination, and tries to take it over while nobody does.
class assembly_runner
{
public:
    /// \a didAnswer is called with each answer of a replica to an order or a look, on any thread.
    assembly_runner(const entry_settings &settings,
                    key_value_service &keyValue,
                    const entry_dialect &dialect,
                    store_follower &store,
                    peer_feed &feed,
                    metrics &counters,
                    std::function<std::vector<model_demand>()> heldHere,
                    const answer_listener &didAnswer);
    ~assembly_runner();
    assembly_runner(const assembly_runner &) = delete;
    assembly_runner &operator=(const assembly_runner &) = delete;

    void start();
    void stop();
    /// Plans again at once: what the replicas say has changed.
    void replan();
    /// A group's requests stand still. The coordinator looks at its members directly; other daemons pass it on.
    void noteStall(const instance_id &head);
    /// Another daemon tells of a group whose requests stand still.
    void hearStall(const stall_report &notice);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
