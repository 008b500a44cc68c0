// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/cluster_state_data.h"

#include "Libraries/Base/log.h"
#include "Libraries/Groups/replica_shares.h"

#include <set>

namespace vetchpost {

namespace {

constexpr part_log clusterLog("cluster");
/// A data centre that is not heard of for so long gives its replicas to the others. Regions lose each other for minutes.
constexpr duration lostDataCentreAfter(900000);

/// An instance without any word is missing only after this time: its observer may have been started anew a moment ago.
constexpr duration wordGrace(5000);

/// A fresh daemon waits so long for word of other data centres before it reckons shares: three rounds of the exchange.
constexpr duration shareSettleTime(3000);

} // namespace

void cluster_state::private_data::publishAbout()
{
    setFact(exchange, exchange_names::about, toText(about));
}

std::optional<about_daemon> cluster_state::private_data::aboutOf(const daemon_id &daemon) const
{
    return aboutDaemonFrom(factOf(exchange, daemon, exchange_names::about));
}

void cluster_state::private_data::takeConfiguration(const shared_register &value)
{
    const auto next = configurationHeadFrom(value.value);
    if (!next || next->current <= head.current) {
        return;
    }
    std::vector<yaml_problem> problems;
    const auto read = readConfiguration(next->text, "configuration", problems);
    if (!read) {
        // Only a daemon of another version can have accepted it; the last good one stays in force.
        clusterLog.error(
            "The accepted configuration cannot be read. revision={} problem={}", next->current.value(), problems.front().text());
        return;
    }
    head = *next;
    wanted = std::make_shared<const configuration>(*read);
    about.inForce = head.current;
    publishAbout();
    clusterLog.info("A configuration is in force. revision={}", head.current.value());
}

void cluster_state::private_data::takeAllotment(const shared_register &value)
{
    if (auto next = allotmentFrom(value.value)) {
        allotted = std::move(*next);
    }
}

void cluster_state::private_data::takeSummary(const shared_register &value, instant now)
{
    auto summary = dataCentreSummaryFrom(value.value);
    if (!summary) {
        return;
    }
    if (summary->dataCentre == settings.dataCentre) {
        // It tells of daemons of the own data centre, which a daemon whose first contacts are elsewhere learns in no other way.
        neighbours = summary->members;
        return;
    }
    heard[summary->dataCentre] = now;
    summaries[summary->dataCentre] = std::move(*summary);
}

void cluster_state::private_data::takeRegister(const std::string &name, instant now)
{
    const auto &value = *findRegister(exchange, name);
    if (name == exchange_names::configuration) {
        takeConfiguration(value);
    } else if (name == exchange_names::allotment) {
        takeAllotment(value);
    } else if (name == exchange_names::instanceList) {
        applyInstanceList(tracker, instanceListFrom(value.value));
    } else if (name.starts_with(exchange_names::summaryPrefix)) {
        takeSummary(value, now);
    } else if (name.starts_with(exchange_names::alivePrefix)) {
        heard[data_centre_id(name.substr(std::string(exchange_names::alivePrefix).size()))] = now;
    }
    isDirty = true;
}

void cluster_state::private_data::takeWords(instant now)
{
    const auto live = liveMembers(exchange, now);
    std::vector<instance_observation> observations;
    for (const auto &[id, tracked] : tracker.instances) {
        if (toldStates.contains(id) && observerOf(id, live) == settings.daemon) {
            // What this daemon sees itself is newer than what it has told.
            continue;
        }
        if (auto word = wordOn(exchange, id, live, now)) {
            lastWords[id] = now;
            observations.push_back(std::move(*word));
        } else if (tracked.lastState && now - lastWords[id] > wordGrace) {
            // Whoever saw it last is gone, or was started anew, and nobody has seen it since.
            observations.push_back({id, std::nullopt});
        }
    }
    for (const auto &observation : observations) {
        applyObservation(tracker, observation, now);
    }
}

bool cluster_state::private_data::hasHeardOfGroups() const
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

void cluster_state::private_data::noteStandings(instant now)
{
    std::set<group_id> present;
    for (const auto &group : allotted.groups) {
        present.insert(group.id);
        const auto standing = groupStateOf(group, tracker);
        const auto [known, isNew] = standings.try_emplace(group.id, seen_standing{standing, now});
        if (!isNew && known->second.standing != standing) {
            clusterLog.info("A group changed its standing. group={} generation={} from={} to={}",
                            group.id.value(),
                            group.current.value(),
                            groupStateName(known->second.standing),
                            groupStateName(standing));
            known->second = {standing, now};
        }
    }
    std::erase_if(standings, [&](const auto &entry) { return !present.contains(entry.first); });
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
    const auto known = heard.find(dataCentre);
    return known == heard.end() || now - known->second > lostDataCentreAfter;
}

} // namespace vetchpost
