// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_figures.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr auto groupsName = "vetchpost_groups";
constexpr auto groupsHelp = "Groups, as the coordinator sees them, and how many are wanted.";
constexpr auto freeName = "vetchpost_replicas_free";
constexpr auto freeHelp = "Usable replicas in no group.";
constexpr auto strandedName = "vetchpost_replicas_stranded";
constexpr auto strandedHelp = "Usable replicas in no group while a model lacks groups.";

bool isLacking(const model_standing &standing)
{
    return standing.serving < standing.wanted;
}

} // namespace

assembly_figures::assembly_figures(metrics &counters)
    : m_counters(counters)
    , m_detection(counters.addTimeHistogram("vetchpost_group_detection_seconds",
                                            "From the first word that a group stands still to a member found silent."))
    , m_repair(counters.addTimeHistogram("vetchpost_group_repair_seconds",
                                         "From a model's lack of serving groups until it has all that are wanted."))
{
}

void assembly_figures::noteStandings(const service_id &service, const std::vector<model_standing> &standings, std::size_t free, instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &standing : standings) {
        const std::vector<std::pair<std::string, int>> counts
            = {{"wanted", standing.wanted}, {"serving", standing.serving}, {"forming", standing.forming}, {"ending", standing.ending}};
        for (const auto &[state, count] : counts) {
            gaugeOf(groupsName, groupsHelp, {{"service", service.value()}, {"model", standing.model.value()}, {"state", state}}).set(count);
        }
    }
    const bool isAnyLacking = std::any_of(standings.begin(), standings.end(), isLacking);
    const auto count = static_cast<double>(free);
    gaugeOf(freeName, freeHelp, {{"service", service.value()}}).set(count);
    gaugeOf(strandedName, strandedHelp, {{"service", service.value()}}).set(isAnyLacking ? count : 0);
    for (const auto time : vetchpost::noteStandings(m_losses[service], standings, now)) {
        m_repair.observe(secondsOf(time));
    }
}

void assembly_figures::noteTold(const instance_id &head, instant now)
{
    const std::lock_guard lock(m_mutex);
    vetchpost::noteTold(m_told, head, now);
}

void assembly_figures::noteFound(const instance_id &head, instant now)
{
    const std::lock_guard lock(m_mutex);
    if (const auto time = vetchpost::noteFound(m_told, head, now)) {
        m_detection.observe(secondsOf(*time));
    }
}

void assembly_figures::clear()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, value] : m_gauges) {
        value.set(0);
    }
    m_losses.clear();
    m_told = loss_watch();
}

/// The mutex is held.
const gauge &assembly_figures::gaugeOf(const std::string &name, const std::string &help, const std::vector<metric_label> &labels)
{
    auto key = name;
    for (const auto &label : labels) {
        key += '\n' + label.value;
    }
    const auto found = m_gauges.find(key);
    return found != m_gauges.end() ? found->second : m_gauges.emplace(key, m_counters.addGauge(name, help, labels)).first->second;
}

} // namespace vetchpost
