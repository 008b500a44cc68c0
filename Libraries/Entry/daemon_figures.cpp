// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_figures.h"

namespace vetchpost {

namespace {

/// Of a daemon that has not read any configuration.
constexpr double unknownAge = -1;

gauge addConstrainedGauge(metrics &counters, const std::string &kind)
{
    return counters.addGauge(
        "vetchpost_replicas_constrained", "Replicas that asked this daemon for rest, have named a limit, or leave.", {{"kind", kind}});
}

} // namespace

daemon_figures::daemon_figures(metrics &counters)
    : m_counters(counters)
    , m_configurationVersion(counters.addGauge("vetchpost_configuration_version", "Version of the configuration in force; 0: none."))
    , m_configurationAge(counters.addGauge("vetchpost_configuration_age_seconds",
                                           "Since when the configuration may have changed unseen; -1: none was read."))
    , m_replicas(counters.addGauge("vetchpost_replicas_known", "Replicas in the directory."))
    , m_daemons(counters.addGauge("vetchpost_daemons_known", "Daemons that the coordinator hears; 0: not known."))
    , m_connections(counters.addGauge("vetchpost_connections_open", "Clients' connections."))
    , m_requests(counters.addGauge("vetchpost_requests_held", "Requests that are being served."))
    , m_crashingRequests(
          counters.addGauge("vetchpost_crashing_requests_refused", "Requests that are refused now, since replicas ended under them."))
    , m_restingReplicas(addConstrainedGauge(counters, "rest"))
    , m_limitedReplicas(addConstrainedGauge(counters, "limit"))
    , m_leavingReplicas(addConstrainedGauge(counters, "leaving"))
{
}

void daemon_figures::show(const daemon_standing &standing)
{
    const auto age = standing.configurationAge;
    m_configurationVersion.set(static_cast<double>(standing.configurationVersion));
    m_configurationAge.set(age ? secondsOf(*age) : unknownAge);
    m_replicas.set(static_cast<double>(standing.replicas));
    m_daemons.set(standing.daemons);
    m_connections.set(static_cast<double>(standing.connections));
    m_requests.set(static_cast<double>(standing.requests));
    m_crashingRequests.set(static_cast<double>(standing.crashingRequests));
    m_restingReplicas.set(standing.restingReplicas);
    m_limitedReplicas.set(standing.limitedReplicas);
    m_leavingReplicas.set(standing.leavingReplicas);
    const std::lock_guard lock(m_mutex);
    for (const auto &[part, count] : standing.linesLeftOut) {
        auto found = m_linesLeftOut.find(part);
        if (found == m_linesLeftOut.end()) {
            const auto lines = m_counters.addCounter(
                "vetchpost_log_lines_left_out_total", "Lines that the log left out, by its part.", {{"part", part}});
            found = m_linesLeftOut.emplace(part, lines).first;
        }
        found->second.increment(static_cast<double>(count) - found->second.value());
    }
}

} // namespace vetchpost
