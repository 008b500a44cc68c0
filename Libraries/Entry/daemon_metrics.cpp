// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_metrics.h"

namespace vetchpost {

namespace {

/// Exported as the configuration's age while no configuration has been read.
constexpr double unknownAge = -1;

gauge addConstrainedGauge(metrics &counters, const std::string &kind)
{
    return counters.addGauge("vetchpost_replicas_constrained",
                             "Replicas that asked this daemon for a backoff (rest), have a rate limit, or leave.",
                             {{"kind", kind}});
}

/// Sets a counter to a number that is counted elsewhere.
void raiseTo(const counter &exported, std::uint64_t count)
{
    exported.increment(static_cast<double>(count) - exported.value());
}

} // namespace

daemon_metrics::daemon_metrics(metrics &counters)
    : m_counters(counters)
    , m_configurationVersion(counters.addGauge("vetchpost_configuration_version", "Version of the configuration in force; 0 if none."))
    , m_configurationAge(counters.addGauge("vetchpost_configuration_age_seconds",
                                           "Time since the configuration was last known to be current; -1 if none was read."))
    , m_replicas(counters.addGauge("vetchpost_replicas_known", "Replicas in the directory."))
    , m_daemons(counters.addGauge("vetchpost_daemons_known", "Daemons known to the coordinator; 0 if unknown."))
    , m_connections(counters.addGauge("vetchpost_connections_open", "Open client connections."))
    , m_requests(counters.addGauge("vetchpost_requests_held", "Requests that are being served."))
    , m_connectionsClosedUnread(
          counters.addCounter("vetchpost_connections_closed_unread_total",
                              "New client connections that were closed unread since more requests came than this daemon can handle."))
    , m_incompleteHeads(counters.addCounter("vetchpost_incomplete_heads_total",
                                            "Requests that were not handled since their head did not arrive completely."))
    , m_connectionsInterrupted(
          counters.addCounter("vetchpost_connections_interrupted_total", "Client connections that were closed to make room for others."))
    , m_bodyBytes(counters.addGauge("vetchpost_bodies_bytes", "Bytes that requests hold of their bodies."))
    , m_bodiesGivenUp(counters.addCounter("vetchpost_bodies_given_up_total", "Bodies that were refused for lack of memory."))
    , m_crashingRequests(
          counters.addGauge("vetchpost_crashing_requests_refused", "Requests that are refused because replicas ended while they ran them."))
    , m_replicasInBackoff(addConstrainedGauge(counters, "rest"))
    , m_rateLimitedReplicas(addConstrainedGauge(counters, "limit"))
    , m_leavingReplicas(addConstrainedGauge(counters, "leaving"))
    , m_evacuatedDataCentres(counters.addGauge("vetchpost_evacuated_data_centres", "Evacuated data centres that have replicas."))
    , m_evacuatedRequests(counters.addGauge("vetchpost_evacuated_requests", "Requests of this daemon in flight in evacuated data centres."))
    , m_coldReplicas(counters.addGauge("vetchpost_cold_replicas", "Replicas that are cold."))
    , m_storeEra(counters.addGauge("vetchpost_key_value_era",
                                   "Rises each time that the key-value service comes back from an older copy; 0 if it does not tell."))
{
}

void daemon_metrics::update(const daemon_status &status)
{
    const auto age = status.configurationAge;
    m_configurationVersion.set(static_cast<double>(status.configurationVersion));
    m_configurationAge.set(age ? secondsOf(*age) : unknownAge);
    m_replicas.set(static_cast<double>(status.replicas));
    m_daemons.set(status.daemons);
    m_connections.set(static_cast<double>(status.connections));
    m_requests.set(static_cast<double>(status.requests));
    m_crashingRequests.set(static_cast<double>(status.crashingRequests));
    m_replicasInBackoff.set(status.replicasInBackoff);
    m_rateLimitedReplicas.set(status.rateLimitedReplicas);
    m_leavingReplicas.set(status.leavingReplicas);
    m_evacuatedDataCentres.set(status.evacuatedDataCentres);
    m_evacuatedRequests.set(status.evacuatedRequests);
    m_coldReplicas.set(status.coldReplicas);
    m_storeEra.set(static_cast<double>(status.storeEra));
    m_bodyBytes.set(static_cast<double>(status.bodyBytes));
    const std::lock_guard lock(m_mutex);
    raiseTo(m_connectionsInterrupted, status.connectionsInterrupted);
    raiseTo(m_bodiesGivenUp, status.bodiesGivenUp);
    raiseTo(m_connectionsClosedUnread, status.connectionsClosedUnread);
    raiseTo(m_incompleteHeads, status.incompleteHeads);
    for (const auto &[part, count] : status.droppedLinesByPart) {
        auto found = m_droppedLines.find(part);
        if (found == m_droppedLines.end()) {
            const auto droppedLines = m_counters.addCounter(
                "vetchpost_log_lines_left_out_total", "Log lines that were dropped, by part of the program.", {{"part", part}});
            found = m_droppedLines.emplace(part, droppedLines).first;
        }
        raiseTo(found->second, count);
    }
}

} // namespace vetchpost
