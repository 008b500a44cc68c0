// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_metrics.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr auto groupsName = "vetchpost_groups";
constexpr auto groupsHelp = "Groups known to the coordinator by state, and the number wanted.";
constexpr auto freeName = "vetchpost_replicas_free";
constexpr auto freeHelp = "Usable replicas in no group.";
constexpr auto strandedName = "vetchpost_replicas_stranded";
constexpr auto strandedHelp = "Usable replicas in no group while a model has fewer groups than wanted.";

bool lacksGroups(const model_group_counts &model)
{
    return model.serving < model.wanted;
}

} // namespace

assembly_metrics::assembly_metrics(metrics &counters)
    : m_counters(counters)
    , m_detectionTime(counters.addTimeHistogram("vetchpost_group_detection_seconds",
                                                "From the first report of a stalled group until a probe finds a silent member."))
    , m_repairTime(counters.addTimeHistogram("vetchpost_group_repair_seconds",
                                             "From a model's first missing serving group until it has all wanted groups."))
{
}

void assembly_metrics::recordModels(const service_id &service, const std::vector<model_group_counts> &models, std::size_t free, instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &model : models) {
        const std::vector<std::pair<std::string, int>> counts
            = {{"wanted", model.wanted}, {"serving", model.serving}, {"forming", model.forming}, {"ending", model.ending}};
        for (const auto &[state, count] : counts) {
            findOrAddGauge(groupsName, groupsHelp, {{"service", service.value()}, {"model", model.model.value()}, {"state", state}})
                .set(count);
        }
    }
    const bool doesAnyLackGroups = std::any_of(models.begin(), models.end(), lacksGroups);
    const auto count = static_cast<double>(free);
    findOrAddGauge(freeName, freeHelp, {{"service", service.value()}}).set(count);
    findOrAddGauge(strandedName, strandedHelp, {{"service", service.value()}}).set(doesAnyLackGroups ? count : 0);
    for (const auto time : vetchpost::recordGroupCounts(m_repairTimers[service], models, now)) {
        m_repairTime.observe(secondsOf(time));
    }
}

void assembly_metrics::recordStallReport(const instance_id &head, instant now)
{
    const std::lock_guard lock(m_mutex);
    vetchpost::recordStallReport(m_stallTimer, head, now);
}

void assembly_metrics::recordSilentMember(const instance_id &head, instant now)
{
    const std::lock_guard lock(m_mutex);
    if (const auto time = vetchpost::recordDetection(m_stallTimer, head, now)) {
        m_detectionTime.observe(secondsOf(*time));
    }
}

void assembly_metrics::clear()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, value] : m_gauges) {
        value.set(0);
    }
    m_repairTimers.clear();
    m_stallTimer = loss_timer();
}

const gauge &assembly_metrics::findOrAddGauge(const std::string &name, const std::string &help, const std::vector<metric_label> &labels)
{
    auto key = name;
    for (const auto &label : labels) {
        key += '\n' + label.value;
    }
    const auto found = m_gauges.find(key);
    return found != m_gauges.end() ? found->second : m_gauges.emplace(key, m_counters.addGauge(name, help, labels)).first->second;
}

} // namespace vetchpost
