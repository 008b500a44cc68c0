// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/cluster_state.h"

#include "Libraries/Base/log.h"
#include "Libraries/Daemon/instance_words.h"
#include "Libraries/Daemon/snapshot_builder.h"
#include "Libraries/Groups/replica_shares.h"

#include <algorithm>
#include <map>
#include <mutex>
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

/// How a group stood when it was last looked at, and since when.
struct seen_standing
{
    group_standing standing = group_standing::broken;
    instant since;
};

} // namespace

struct cluster_state::private_data
{
    daemon_settings settings;
    mutable std::mutex mutex;
    exchange_state exchange;
    about_daemon about;
    instance_tracker tracker;
    allotment allotted;
    configuration_head head;
    std::shared_ptr<const configuration> wanted;
    std::map<data_centre_id, data_centre_summary> summaries;
    /// When each other data centre was last heard of.
    std::map<data_centre_id, instant> heard;
    /// The daemons of the own data centre by its coordinator's summary.
    std::vector<summarised_member> neighbours;
    snapshot_builder builder;
    rcu_snapshot<routing_snapshot> snapshot;
    std::map<group_id, seen_standing> standings;
    std::map<instance_id, told_state> toldStates;
    /// When anybody's word on an instance was last known.
    std::map<instance_id, instant> lastWords;
    bool isDirty = true;
    instant lastMembershipCheck;
    /// The first beat of this run.
    std::optional<instant> startedAt;

    void publishAbout()
    {
        setFact(exchange, exchange_names::about, toText(about));
    }

    std::optional<about_daemon> aboutOf(const daemon_id &daemon) const
    {
        return aboutDaemonFrom(factOf(exchange, daemon, exchange_names::about));
    }

    void takeConfiguration(const shared_register &value)
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

    void takeAllotment(const shared_register &value)
    {
        if (auto next = allotmentFrom(value.value)) {
            allotted = std::move(*next);
        }
    }

    void takeSummary(const shared_register &value, instant now)
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

    void takeRegister(const std::string &name, instant now)
    {
        const auto &value = *findRegister(exchange, name);
        if (name == exchange_names::configuration) {
            takeConfiguration(value);
        } else if (name == exchange_names::allotment) {
            takeAllotment(value);
        } else if (name == exchange_names::instanceList) {
            takeList(tracker, instanceListFrom(value.value));
        } else if (name.starts_with(exchange_names::summaryPrefix)) {
            takeSummary(value, now);
        } else if (name.starts_with(exchange_names::alivePrefix)) {
            heard[data_centre_id(name.substr(std::string(exchange_names::alivePrefix).size()))] = now;
        }
        isDirty = true;
    }

    void takeWords(instant now)
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
            takeObservation(tracker, observation, now);
        }
    }

    /// Whether the groups are known and every member has been heard of.
    bool hasHeardOfGroups() const
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

    void noteStandings(instant now)
    {
        std::set<group_id> present;
        for (const auto &group : allotted.groups) {
            present.insert(group.id);
            const auto standing = standingOf(group, tracker);
            const auto [known, isNew] = standings.try_emplace(group.id, seen_standing{standing, now});
            if (!isNew && known->second.standing != standing) {
                clusterLog.info("A group changed its standing. group={} generation={} from={} to={}",
                                group.id.value(),
                                group.current.value(),
                                groupStandingName(known->second.standing),
                                groupStandingName(standing));
                known->second = {standing, now};
            }
        }
        std::erase_if(standings, [&](const auto &entry) { return !present.contains(entry.first); });
    }

    /// Shares are reckoned only with the own instances at hand, and after the other data centres had time to be heard of.
    bool areSharesKnown(instant now) const
    {
        return tracker.hasList && startedAt && now - *startedAt >= shareSettleTime;
    }

    int shareOf(const deployment &wantedDeployment, const data_centre_summary &own, instant now) const
    {
        const auto size = wantedDeployment.instancesPerReplica;
        std::vector<data_centre_offer> offers = {{own.dataCentre, wholeGroupRoom(own.domainSizes, size)}};
        for (const auto &[dataCentre, summary] : summaries) {
            if (!isLost(dataCentre, now)) {
                offers.push_back({dataCentre, wholeGroupRoom(summary.domainSizes, size)});
            }
        }
        for (const auto &share : shareReplicas(wantedDeployment.replicas, offers)) {
            if (share.dataCentre == own.dataCentre) {
                return share.replicas;
            }
        }
        return 0;
    }

    bool isLost(const data_centre_id &dataCentre, instant now) const
    {
        const auto known = heard.find(dataCentre);
        return known == heard.end() || now - known->second > lostDataCentreAfter;
    }
};

cluster_state::cluster_state(const daemon_settings &settings, incarnation run)
    : d(std::make_unique<private_data>())
{
    d->settings = settings;
    d->exchange = makeExchange(settings.daemon, run, liveness_limits());
    d->about = {settings.dataCentre, settings.callers, settings.operators, settings.peers, {}, false, false};
    d->publishAbout();
}

cluster_state::~cluster_state() = default;

void cluster_state::beatNow(instant now)
{
    const std::lock_guard lock(d->mutex);
    beat(d->exchange, now);
    if (!d->startedAt) {
        d->startedAt = now;
    }
    forgetDead(d->exchange, now);
}

bool cluster_state::setOwnFact(const std::string &name, const std::string &value)
{
    const std::lock_guard lock(d->mutex);
    return setFact(d->exchange, name, value);
}

bool cluster_state::publishRegister(const shared_register &value)
{
    const std::lock_guard lock(d->mutex);
    if (!setRegister(d->exchange, value)) {
        return false;
    }
    d->takeRegister(value.name, monotonicNow());
    return true;
}

void cluster_state::takeDigest(const exchange_digest &digest, instant now)
{
    const std::lock_guard lock(d->mutex);
    applyDigest(d->exchange, digest, now);
}

bool cluster_state::takeDelta(const exchange_delta &delta, instant now)
{
    const std::lock_guard lock(d->mutex);
    const auto changes = applyDelta(d->exchange, delta, now);
    for (const auto &name : changes.registers) {
        d->takeRegister(name, now);
    }
    d->isDirty = d->isDirty || changes.haveFactsChanged;
    return !changes.registers.empty();
}

bool cluster_state::observe(const instance_observation &observation, instant now)
{
    const std::lock_guard lock(d->mutex);
    const bool hasChanged = takeObservation(d->tracker, observation, now);
    tellObservation(d->exchange, d->toldStates, observation, now);
    d->isDirty = true;
    return hasChanged;
}

void cluster_state::setCoordinator(bool isCoordinator)
{
    const std::lock_guard lock(d->mutex);
    d->about.isCoordinator = isCoordinator;
    d->publishAbout();
}

void cluster_state::setStopping()
{
    const std::lock_guard lock(d->mutex);
    d->about.isStopping = true;
    d->publishAbout();
}

void cluster_state::refreshSnapshot(instant now)
{
    // Members that die change nothing by themselves, so that the words are gone through once a second in any case.
    constexpr duration membershipPeriod(1000);
    routing_snapshot next;
    {
        const std::lock_guard lock(d->mutex);
        if (!d->isDirty && now - d->lastMembershipCheck < membershipPeriod) {
            return;
        }
        d->isDirty = false;
        d->lastMembershipCheck = now;
        d->takeWords(now);
        d->noteStandings(now);
        std::vector<data_centre_summary> remote;
        for (const auto &[dataCentre, summary] : d->summaries) {
            remote.push_back(summary);
        }
        next = d->builder.build({d->head.current, d->wanted, d->allotted, d->tracker, remote, now});
        next.hasHeardOfGroups = d->hasHeardOfGroups();
    }
    d->snapshot.replace(std::move(next));
}

const rcu_snapshot<routing_snapshot> &cluster_state::routing() const
{
    return d->snapshot;
}

exchange_digest cluster_state::digest(exchange_scope scope) const
{
    const std::lock_guard lock(d->mutex);
    return digestOf(d->exchange, scope);
}

exchange_delta cluster_state::delta(const exchange_digest &theirs, exchange_scope scope) const
{
    const std::lock_guard lock(d->mutex);
    return deltaFor(d->exchange, theirs, scope);
}

bool cluster_state::isBehindOf(const exchange_digest &theirs) const
{
    const std::lock_guard lock(d->mutex);
    return isBehind(d->exchange, theirs);
}

peer_candidates cluster_state::candidates(instant now) const
{
    const std::lock_guard lock(d->mutex);
    peer_candidates result;
    result.isCoordinator = d->about.isCoordinator;
    std::set<endpoint> known = {d->settings.peers};
    for (const auto &[daemon, origin] : d->exchange.origins) {
        const auto about = daemon == d->settings.daemon ? std::nullopt : d->aboutOf(daemon);
        if (!about) {
            continue;
        }
        known.insert(about->peers);
        const auto liveness = livenessOf(d->exchange, daemon, now);
        const bool isLive = liveness == peer_liveness::alive || liveness == peer_liveness::suspect;
        (isLive ? result.local : result.lost).push_back(about->peers);
    }
    for (const auto &[dataCentre, summary] : d->summaries) {
        auto &addresses = result.remote.emplace_back();
        for (const auto &member : summary.members) {
            addresses.push_back(member.about.peers);
            known.insert(member.about.peers);
        }
    }
    auto contacts = d->settings.firstPeers;
    for (const auto &member : d->neighbours) {
        contacts.push_back(member.about.peers);
    }
    for (const auto &address : contacts) {
        if (known.insert(address).second) {
            result.lost.push_back(address);
        }
    }
    return result;
}

std::vector<listed_instance> cluster_state::observedShare(instant now) const
{
    const std::lock_guard lock(d->mutex);
    const auto live = liveMembers(d->exchange, now);
    std::vector<listed_instance> share;
    for (const auto &[id, tracked] : d->tracker.instances) {
        if (tracked.listed.service.empty() && observerOf(id, live) == d->settings.daemon) {
            share.push_back(tracked.listed);
        }
    }
    return share;
}

std::vector<member_status> cluster_state::members(instant now) const
{
    const std::lock_guard lock(d->mutex);
    std::vector<member_status> result;
    for (const auto &[daemon, origin] : d->exchange.origins) {
        if (const auto about = d->aboutOf(daemon)) {
            result.push_back({daemon, *about, livenessOf(d->exchange, daemon, now)});
        }
    }
    for (const auto &[dataCentre, summary] : d->summaries) {
        for (const auto &member : summary.members) {
            result.push_back({member.daemon, member.about, static_cast<peer_liveness>(member.liveness)});
        }
    }
    return result;
}

std::vector<group_status> cluster_state::groups(instant now) const
{
    const std::lock_guard lock(d->mutex);
    std::vector<group_status> result;
    for (const auto &group : d->allotted.groups) {
        group_status status;
        status.group = group;
        status.standing = standingOf(group, d->tracker);
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            if (!hasConfirmed(group, rank, d->tracker)) {
                const auto *tracked = findInstance(d->tracker, group.members[rank].instance);
                const bool isAnswering = tracked != nullptr && tracked->isAnswering();
                status.awaited.push_back(group.members[rank].instance.value() + (isAnswering ? ": to load and confirm" : ": to answer"));
            }
        }
        const auto since = d->standings.find(group.id);
        status.standingFor = since == d->standings.end() ? duration() : now - since->second.since;
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<endpoint> cluster_state::peerAddress(const daemon_id &daemon, instant now) const
{
    for (const auto &member : members(now)) {
        if (member.daemon == daemon) {
            return member.about.peers;
        }
    }
    return std::nullopt;
}

std::optional<configuration_head> cluster_state::head() const
{
    const std::lock_guard lock(d->mutex);
    return d->wanted ? std::optional(d->head) : std::nullopt;
}

std::shared_ptr<const configuration> cluster_state::wanted() const
{
    const std::lock_guard lock(d->mutex);
    return d->wanted;
}

instance_tracker cluster_state::tracker() const
{
    const std::lock_guard lock(d->mutex);
    return d->tracker;
}

bool cluster_state::isAnotherCoordinator(instant now) const
{
    const std::lock_guard lock(d->mutex);
    const auto live = liveMembers(d->exchange, now);
    return std::any_of(live.begin(), live.end(), [&](const daemon_id &daemon) {
        const auto about = d->aboutOf(daemon);
        return daemon != d->settings.daemon && about && about->isCoordinator
            && livenessOf(d->exchange, daemon, now) == peer_liveness::alive;
    });
}

data_centre_summary cluster_state::ownSummary(instant now) const
{
    const std::lock_guard lock(d->mutex);
    data_centre_summary summary;
    summary.dataCentre = d->settings.dataCentre;
    for (const auto &[daemon, origin] : d->exchange.origins) {
        if (const auto about = d->aboutOf(daemon)) {
            summary.members.push_back({daemon, *about, static_cast<int>(livenessOf(d->exchange, daemon, now))});
        }
    }
    for (const auto &group : d->allotted.groups) {
        if (standingOf(group, d->tracker) == group_standing::serving) {
            summary.groups.push_back({group.id, group.deployment, group.current, group.members.front().address});
        }
    }
    std::map<fabric_domain_id, int> sizes;
    for (const auto &[id, tracked] : d->tracker.instances) {
        if (!tracked.listed.service.empty()) {
            if (!tracked.isLeaving()) {
                summary.services.push_back(tracked.listed);
            }
        } else if (!tracked.isLeaving()) {
            ++sizes[tracked.listed.fabricDomain];
        }
    }
    for (const auto &[domain, size] : sizes) {
        summary.domainSizes.push_back(size);
    }
    return summary;
}

std::optional<std::vector<deployment_want>> cluster_state::wants(instant now) const
{
    const auto own = ownSummary(now);
    const std::lock_guard lock(d->mutex);
    if (!d->wanted) {
        return std::nullopt;
    }
    const bool areSharesKnown = d->areSharesKnown(now);
    std::vector<deployment_want> result;
    for (const auto &deployment : d->wanted->deployments) {
        if (deployment.kind == deployment_kind::model) {
            result.push_back({deployment, areSharesKnown ? std::optional(d->shareOf(deployment, own, now)) : std::nullopt});
        }
    }
    return result;
}

std::vector<double> cluster_state::demands(const organisation_id &organisation, instant now) const
{
    const std::lock_guard lock(d->mutex);
    std::vector<double> result;
    const auto demandOf = [&](const daemon_id &daemon) {
        const auto json = parseJson(factOf(d->exchange, daemon, exchange_names::demand));
        return json && json->isObject() ? static_cast<double>(jsonNumber(*json, organisation.value().c_str())) : 0.0;
    };
    result.push_back(demandOf(d->settings.daemon));
    for (const auto &daemon : liveMembers(d->exchange, now)) {
        if (daemon != d->settings.daemon) {
            result.push_back(demandOf(daemon));
        }
    }
    return result;
}

std::size_t cluster_state::dataCentreCount() const
{
    const std::lock_guard lock(d->mutex);
    return d->summaries.size() + 1;
}

} // namespace vetchpost
