// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/cluster_state_data.h"

#include "Libraries/Base/log.h"
#include "Libraries/Groups/replica_shares.h"

#include <set>

namespace vetchpost {

namespace {

constexpr part_log clusterLog("cluster");
/// The replicas of a data centre that has been silent for this time are given to the others. It is much longer than a partition between
/// regions, which can last for minutes.
constexpr duration lostDataCentreAfter(900000);

/// An instance that no daemon reports on is treated as missing only after this time, as its observer may have just restarted.
constexpr duration unobservedGrace(5000);

/// How long a daemon that has just started waits for the other data centres' summaries before it computes shares: three rounds of the
/// exchange.
constexpr duration shareSettleTime(3000);

} // namespace

void cluster_state::private_data::publishDescription()
{
    setFact(exchange, exchange_names::description, toText(description));
}

std::optional<daemon_description> cluster_state::private_data::descriptionOf(const daemon_id &daemon) const
{
    return daemonDescriptionFrom(factOf(exchange, daemon, exchange_names::description));
}

void cluster_state::private_data::applyConfiguration(const shared_register &value)
{
    const auto next = configurationHeadFrom(value.value);
    if (!next || next->current <= head.current) {
        return;
    }
    std::vector<yaml_problem> problems;
    const auto read = readConfiguration(next->text, "configuration", problems);
    if (!read) {
        // Only a daemon of another version can have accepted this text. The last readable configuration stays in force.
        clusterLog.error("Cannot read the accepted configuration. revision={} problem={}", next->current.value(), problems.front().text());
        return;
    }
    head = *next;
    wanted = std::make_shared<const configuration>(*read);
    description.inForce = head.current;
    publishDescription();
    clusterLog.info("Put a configuration in force. revision={}", head.current.value());
}

void cluster_state::private_data::applyAllotment(const shared_register &value)
{
    if (auto next = allotmentFrom(value.value)) {
        allotted = std::move(*next);
    }
}

void cluster_state::private_data::applySummary(const shared_register &value, instant now)
{
    auto summary = dataCentreSummaryFrom(value.value);
    if (!summary) {
        return;
    }
    if (summary->dataCentre == settings.dataCentre) {
        // The summary lists the daemons of this data centre. A daemon with seed peers only in other data centres has no other way to
        // find them.
        localMembers = summary->members;
        return;
    }
    dataCentreReportedAt[summary->dataCentre] = now;
    summaries[summary->dataCentre] = std::move(*summary);
}

void cluster_state::private_data::applyRegister(const std::string &name, instant now)
{
    const auto &value = *findRegister(exchange, name);
    if (name == exchange_names::configuration) {
        applyConfiguration(value);
    } else if (name == exchange_names::allotment) {
        applyAllotment(value);
    } else if (name == exchange_names::instanceList) {
        applyInstanceList(tracker, instanceListFrom(value.value));
    } else if (name.starts_with(exchange_names::summaryPrefix)) {
        applySummary(value, now);
    } else if (name.starts_with(exchange_names::alivePrefix)) {
        dataCentreReportedAt[data_centre_id(name.substr(std::string(exchange_names::alivePrefix).size()))] = now;
    }
    isDirty = true;
}

void cluster_state::private_data::mergeObservations(instant now)
{
    const auto live = liveMembers(exchange, now);
    std::vector<instance_observation> observations;
    for (const auto &[id, tracked] : tracker.instances) {
        if (publishedStates.contains(id) && observerOf(id, live) == settings.daemon) {
            // This daemon's own probes are newer than what it has published.
            continue;
        }
        if (auto reported = selectObservation(exchange, id, live, now)) {
            lastObservedAt[id] = now;
            observations.push_back(std::move(*reported));
        } else if (tracked.lastState && now - lastObservedAt[id] > unobservedGrace) {
            // The daemon that last observed the instance has died or restarted, and no other daemon has observed it since.
            observations.push_back({id, std::nullopt});
        }
    }
    for (const auto &observation : observations) {
        applyObservation(tracker, observation, now);
    }
}

bool cluster_state::private_data::hasReceivedGroups() const
{
    if (findRegister(exchange, exchange_names::allotment) == nullptr) {
        return false;
    }
    for (const auto &group : allotted.groups) {
        for (const auto &member : group.members) {
            const auto *tracked = findInstance(tracker, member.instance);
            if (tracked == nullptr || (!tracked->lastState && !tracked->missingSince)) {
                return false;
            }
        }
    }
    return true;
}

void cluster_state::private_data::recordGroupStates(instant now)
{
    std::set<group_id> present;
    for (const auto &group : allotted.groups) {
        present.insert(group.id);
        const auto state = groupStateOf(group, tracker);
        const auto [known, isNew] = groupStates.try_emplace(group.id, recorded_group_state{state, now});
        if (!isNew && known->second.state != state) {
            clusterLog.info("The state of a group changed. group={} generation={} from={} to={}",
                            group.id.value(),
                            group.current.value(),
                            groupStateName(known->second.state),
                            groupStateName(state));
            known->second = {state, now};
        }
    }
    std::erase_if(groupStates, [&](const auto &entry) { return !present.contains(entry.first); });
}

bool cluster_state::private_data::areSharesKnown(instant now) const
{
    return tracker.hasInstanceList && startedAt && now - *startedAt >= shareSettleTime;
}

int cluster_state::private_data::shareOf(const deployment &wantedDeployment, const data_centre_summary &own, instant now) const
{
    const auto size = wantedDeployment.instancesPerReplica;
    std::vector<data_centre_capacity> offers = {{own.dataCentre, wholeGroupCapacity(own.domainSizes, size)}};
    for (const auto &[dataCentre, summary] : summaries) {
        if (!isLost(dataCentre, now)) {
            offers.push_back({dataCentre, wholeGroupCapacity(summary.domainSizes, size)});
        }
    }
    for (const auto &share : shareReplicas(wantedDeployment.replicas, offers)) {
        if (share.dataCentre == own.dataCentre) {
            return share.replicas;
        }
    }
    return 0;
}

bool cluster_state::private_data::isLost(const data_centre_id &dataCentre, instant now) const
{
    const auto known = dataCentreReportedAt.find(dataCentre);
    return known == dataCentreReportedAt.end() || now - known->second > lostDataCentreAfter;
}

} // namespace vetchpost
