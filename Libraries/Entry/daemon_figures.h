// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Base/metrics.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace vetchpost {

/// What a daemon knows and holds at one moment.
struct daemon_standing
{
    /// Of the configuration in force; 0 before the first.
    std::uint64_t configurationVersion = 0;
    /// Since when it may have changed unseen.
    std::optional<duration> configurationAge;
    std::size_t replicas = 0;
    int daemons = 0;
    std::size_t connections = 0;
    std::size_t requests = 0;
    /// Refused now, since replicas ended under them.
    std::size_t crashingRequests = 0;
    /// Replicas that rest, have a limit, leave by their own word.
    int restingReplicas = 0;
    int limitedReplicas = 0;
    int leavingReplicas = 0;
    /// By part, since the start.
    std::map<std::string, std::uint64_t> linesLeftOut;
};

/// Figures that are worked out when somebody asks for them. Safe to use from several threads.
class daemon_figures
{
public:
    explicit daemon_figures(metrics &counters);

    void show(const daemon_standing &standing);

private:
    metrics &m_counters;
    gauge m_configurationVersion;
    gauge m_configurationAge;
    gauge m_replicas;
    gauge m_daemons;
    gauge m_connections;
    gauge m_requests;
    gauge m_crashingRequests;
    gauge m_restingReplicas;
    gauge m_limitedReplicas;
    gauge m_leavingReplicas;
    std::mutex m_mutex;
    std::map<std::string, counter> m_linesLeftOut;
};

} // namespace vetchpost
