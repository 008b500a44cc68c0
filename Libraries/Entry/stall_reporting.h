// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/coordination.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_prober.h"

#include <memory>

namespace vetchpost {

/// What a daemon does about a group that has stalled: the coordinator probes its members, another daemon sends a report to the coordinator.
/// Thread-safe.
class stall_reporting
{
public:
    stall_reporting(const daemon_id &daemon, const coordination &coordinator, replica_prober &prober, peer_feed &feed);
    ~stall_reporting();
    stall_reporting(const stall_reporting &) = delete;
    stall_reporting &operator=(const stall_reporting &) = delete;

    /// Limits the rate of reports for one group. Returns whether one may be processed now, and counts it.
    bool admit(const instance_id &head);
    /// Probes the group's members, or sends a report. May wait for the members.
    void process(const instance_id &head);
    /// Handles the report of another daemon.
    void handle(const stall_report &report);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
