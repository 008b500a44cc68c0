// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/group_metrics.h"

#include <algorithm>

namespace vetchpost {

namespace {

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

gauge stateGauge(metrics &counters, group_state state)
{
    return counters.addGauge("vetchpost_groups", "Groups of the data centre.", {{"standing", std::string(groupStateName(state))}});
}

/// The number of accelerators in instances that answer and are not members of a serving or draining group.
int idleAccelerators(const std::vector<group_status> &groups, const instance_tracker &tracker)
{
    int idle = 0;
    for (const auto &[id, tracked] : tracker.instances) {
        idle += tracked.isAnswering() && tracked.listed.service.empty() ? tracked.listed.accelerators : 0;
    }
    for (const auto &status : groups) {
        if (status.state != group_state::serving && status.state != group_state::draining) {
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
    : m_groups{stateGauge(counters, group_state::serving),
               stateGauge(counters, group_state::draining),
               stateGauge(counters, group_state::forming),
               stateGauge(counters, group_state::broken)}
    , m_missing(counters.addGauge("vetchpost_missing_replicas", "Wanted replicas that are not serving."))
    , m_stranded(counters.addGauge("vetchpost_stranded_accelerators", "Healthy idle accelerators while a wanted replica is missing."))
    , m_downtime(counters.addCounter("vetchpost_group_downtime_seconds_total", "Downtime of wanted replicas, in replica-seconds."))
    , m_strandedTime(
          counters.addCounter("vetchpost_stranded_accelerator_seconds_total", "Time of stranded accelerators, in accelerator-seconds."))
    , m_repairs(counters.addTimeHistogram("vetchpost_group_repair_seconds", "Time from when a group stops serving until it serves again."))
    , m_staleOrders(counters.addGauge("vetchpost_stale_orders_obeyed", "Number of times that an engine was seen to obey a stale order."))
{
}

void group_metrics::recordRepairs(const std::vector<group_status> &groups, instant now)
{
    for (const auto &status : groups) {
        const bool isUp = status.state == group_state::serving || status.state == group_state::draining;
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
    std::array<int, 4> groupCountByState{};
    std::map<deployment_id, int> serving;
    for (const auto &status : groups) {
        ++groupCountByState.at(static_cast<std::size_t>(status.state));
        serving[status.group.deployment] += status.state == group_state::serving ? 1 : 0;
    }
    int missing = 0;
    int missingInstances = 0;
    for (const auto &want : wants.value_or(std::vector<deployment_want>())) {
        // Deployments whose share is not known yet are not counted as missing replicas.
        const auto lacking = std::max(0, want.replicas.value_or(0) - serving[want.wanted.id]);
        missing += lacking;
        missingInstances += lacking * want.wanted.instancesPerReplica;
    }
    int acceleratorsPerInstance = 0;
    for (const auto &[id, tracked] : tracker.instances) {
        acceleratorsPerInstance = std::max(acceleratorsPerInstance, tracked.listed.accelerators);
    }
    const auto stranded = std::min(idleAccelerators(groups, tracker), missingInstances * acceleratorsPerInstance);
    for (std::size_t i = 0; i < groupCountByState.size(); ++i) {
        m_groups.at(i).set(groupCountByState.at(i));
    }
    m_missing.set(missing);
    m_stranded.set(stranded);
    m_staleOrders.set(tracker.staleOrdersObeyed);
    if (m_lastUpdate) {
        const auto seconds = secondsBetween(*m_lastUpdate, now);
        m_downtime.increment(missing * seconds);
        m_strandedTime.increment(stranded * seconds);
    }
    m_lastUpdate = now;
    recordRepairs(groups, now);
}

} // namespace vetchpost
