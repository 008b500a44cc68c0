// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/loss_watch.h"
#include "Libraries/Base/metrics.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace vetchpost {

/// The coordinator's figures of groups. Safe to use from several threads.
class assembly_figures
{
public:
    explicit assembly_figures(metrics &counters);

    void noteStandings(const service_id &service, const std::vector<model_standing> &standings, std::size_t free, instant now);
    /// A daemon tells that the group of \a head stands still.
    void noteTold(const instance_id &head, instant now);
    /// A member of the group of \a head does not answer.
    void noteFound(const instance_id &head, instant now);
    /// This daemon coordinates no more: all gauges stand at zero.
    void clear();

private:
    const gauge &gaugeOf(const std::string &name, const std::string &help, const std::vector<metric_label> &labels);

    metrics &m_counters;
    histogram m_detection;
    histogram m_repair;
    std::mutex m_mutex;
    /// By name and labels; models and services come with the configuration.
    std::map<std::string, gauge> m_gauges;
    std::map<service_id, loss_watch> m_losses;
    loss_watch m_told;
};

} // namespace vetchpost
