// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/loss_timer.h"
#include "Libraries/Base/metrics.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace vetchpost {

/// Metrics about the groups that this daemon coordinates. Safe to use from several threads.
class assembly_metrics
{
public:
    explicit assembly_metrics(metrics &counters);

    /// Updates the gauges of a service's groups and of its \a free replicas (usable, in no group), and records the repair time of each
    /// model that has all wanted groups again.
    void recordModels(const service_id &service, const std::vector<model_group_counts> &models, std::size_t free, instant now);
    /// Records that a daemon reported the group of \a head as stalled.
    void recordStallReport(const instance_id &head, instant now);
    /// Records that a member of the group of \a head did not answer a probe, and with it the detection time of a reported stall.
    void recordSilentMember(const instance_id &head, instant now);
    /// Sets all gauges to zero and discards running measurements, for a daemon that is no longer the coordinator.
    void clear();

private:
    /// Returns the gauge of this name and these labels, and adds it at its first use. Requires m_mutex to be held.
    const gauge &findOrAddGauge(const std::string &name, const std::string &help, const std::vector<metric_label> &labels);

    metrics &m_counters;
    histogram m_detectionTime;
    histogram m_repairTime;
    std::mutex m_mutex;
    /// Gauges by name and label values. Added at run time, since models and services come with the configuration.
    std::map<std::string, gauge> m_gauges;
    std::map<service_id, loss_timer> m_repairTimers;
    loss_timer m_stallTimer;
};

} // namespace vetchpost
