// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/group_metrics.h"

#include <algorithm>

namespace vetchpost {

namespace {

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

gauge standingGauge(metrics &counters, group_state standing)
{
    return counters.addGauge("vetchpost_groups", "Groups of the data centre.", {{"standing", std::string(groupStateName(standing))}});
}

/// The accelerators of instances that answer and are not part of a serving group.
int idleAccelerators(const std::vector<group_status> &groups, const instance_tracker &tracker)
{
    int idle = 0;
    for (const auto &[id, tracked] : tracker.instances) {
        idle += tracked.isAnswering() && tracked.listed.service.empty() ? tracked.listed.accelerators : 0;
    }
    for (const auto &status : groups) {
        if (status.standing != group_state::serving && status.standing != group_state::draining) {
            continue;
        }
        for (const auto &member : status.group.members) {
            const auto *tracked = findInstance(tracker, member.instance);
            idle -= tracked != nullptr ? tracked->listed.accelerators : 0;
        }
    }
    return std::max(0, idle);
}

} // namespace

group_metrics::group_metrics(metrics &counters)
    : m_groups{standingGauge(counters, group_state::serving),
               standingGauge(counters, group_state::draining),
               standingGauge(counters, group_state::forming),
               standingGauge(counters, group_state::broken)}
    , m_missing(counters.addGauge("vetchpost_missing_replicas", "Wanted replicas that do not serve."))
    , m_stranded(counters.addGauge("vetchpost_stranded_accelerators", "Healthy idle accelerators while a wanted replica is missing."))
    , m_downtime(counters.addCounter("vetchpost_group_downtime_seconds_total", "Seconds of wanted replicas that did not serve."))
    , m_strandedTime(counters.addCounter("vetchpost_stranded_accelerator_seconds_total", "Seconds of stranded accelerators."))
    , m_repairs(counters.addTimeHistogram("vetchpost_group_repair_seconds", "From a group's loss of service to its return."))
    , m_staleOrders(counters.addGauge("vetchpost_stale_orders_obeyed", "Times that an engine was seen to obey an order of the past."))
{
}

void group_metrics::noteRepairs(const std::vector<group_status> &groups, instant now)
{
    for (const auto &status : groups) {
        const bool isUp = status.standing == group_state::serving || status.standing == group_state::draining;
        const auto down = m_downSince.find(status.group.id);
        if (isUp && down != m_downSince.end()) {
            m_repairs.observe(secondsBetween(down->second, now));
            m_downSince.erase(down);
        } else if (!isUp) {
            m_downSince.try_emplace(status.group.id, now);
        }
    }
}

void group_metrics::update(const std::vector<group_status> &groups,
                           const std::optional<std::vector<deployment_want>> &wants,
                           const instance_tracker &tracker,
                           instant now)
{
    std::array<int, 4> standings{};
    std::map<deployment_id, int> serving;
    for (const auto &status : groups) {
        ++standings.at(static_cast<std::size_t>(status.standing));
        serving[status.group.deployment] += status.standing == group_state::serving ? 1 : 0;
    }
    int missing = 0;
    int missingInstances = 0;
    for (const auto &want : wants.value_or(std::vector<deployment_want>())) {
        // A share that is not known yet lacks nothing that could be counted.
        const auto lacking = std::max(0, want.replicas.value_or(0) - serving[want.wanted.id]);
        missing += lacking;
        missingInstances += lacking * want.wanted.instancesPerReplica;
    }
    int perInstance = 0;
    for (const auto &[id, tracked] : tracker.instances) {
        perInstance = std::max(perInstance, tracked.listed.accelerators);
    }
    const auto stranded = std::min(idleAccelerators(groups, tracker), missingInstances * perInstance);
    for (std::size_t i = 0; i < standings.size(); ++i) {
        m_groups.at(i).set(standings.at(i));
    }
    m_missing.set(missing);
    m_stranded.set(stranded);
    m_staleOrders.set(tracker.staleOrdersObeyed);
    if (m_last) {
        const auto seconds = secondsBetween(*m_last, now);
        m_downtime.increment(missing * seconds);
        m_strandedTime.increment(stranded * seconds);
    }
    m_last = now;
    noteRepairs(groups, now);
}

} // namespace vetchpost
