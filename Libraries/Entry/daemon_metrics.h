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

/// A snapshot of the values that a daemon exports as metrics.
struct daemon_status
{
    /// Version of the configuration in force; 0 before the first one.
    std::uint64_t configurationVersion = 0;
    /// Time since the configuration was last known to be current; nothing before the first one.
    std::optional<duration> configurationAge;
    /// Replicas in the directory.
    std::size_t replicas = 0;
    /// Daemons known to the coordinator; 0 while unknown.
    int daemons = 0;
    /// Open client connections.
    std::size_t connections = 0;
    /// Requests that are being served.
    std::size_t requests = 0;
    /// Requests that are refused because replicas ended while they ran them.
    std::size_t crashingRequests = 0;
    /// Replicas that asked this daemon for a backoff.
    int replicasInBackoff = 0;
    /// Replicas with a rate limit.
    int rateLimitedReplicas = 0;
    /// Replicas that announced that they leave.
    int leavingReplicas = 0;
    /// Data centres that are evacuated and have replicas.
    int evacuatedDataCentres = 0;
    /// Requests of this daemon that are in flight in evacuated data centres.
    int evacuatedRequests = 0;
    /// Replicas that are cold.
    int coldReplicas = 0;
    /// The latest era that the key-value service has named; 0 if it names none.
    std::uint64_t storeEra = 0;
    /// Log lines dropped since the start, by the part of the program that wrote them.
    std::map<std::string, std::uint64_t> droppedLinesByPart;
    /// Client connections that were closed unread since the start.
    std::uint64_t connectionsClosedUnread = 0;
    /// Requests of clients since the start whose head did not arrive completely.
    std::uint64_t incompleteHeads = 0;
    /// Client connections since the start that were closed to make room for others.
    std::uint64_t connectionsInterrupted = 0;
    /// Bytes that requests hold of their bodies.
    std::size_t bodyBytes = 0;
    /// Bodies since the start that were refused for lack of memory.
    std::uint64_t bodiesGivenUp = 0;
};

/// Metrics that are computed when they are scraped. Safe to use from several threads.
class daemon_metrics
{
public:
    explicit daemon_metrics(metrics &counters);

    void update(const daemon_status &status);

private:
    metrics &m_counters;
    gauge m_configurationVersion;
    gauge m_configurationAge;
    gauge m_replicas;
    gauge m_daemons;
    gauge m_connections;
    gauge m_requests;
    counter m_connectionsClosedUnread;
    counter m_incompleteHeads;
    counter m_connectionsInterrupted;
    gauge m_bodyBytes;
    counter m_bodiesGivenUp;
    gauge m_crashingRequests;
    gauge m_replicasInBackoff;
    gauge m_rateLimitedReplicas;
    gauge m_leavingReplicas;
    gauge m_evacuatedDataCentres;
    gauge m_evacuatedRequests;
    gauge m_coldReplicas;
    gauge m_storeEra;
    std::mutex m_mutex;
    std::map<std::string, counter> m_droppedLines;
};

} // namespace vetchpost
