// SPDX-License-Identifier: Apache-2.0
// Implements the queries of cluster_state.
#include "Libraries/Daemon/cluster_state_data.h"

#include <algorithm>
#include <set>

namespace vetchpost {

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
    result.isCoordinator = d->description.isCoordinator;
    std::set<endpoint> known = {d->settings.peers};
    for (const auto &[daemon, origin] : d->exchange.origins) {
        const auto description = daemon == d->settings.daemon ? std::nullopt : d->descriptionOf(daemon);
        if (!description) {
            continue;
        }
        known.insert(description->peers);
        const auto liveness = livenessOf(d->exchange, daemon, now);
        const bool isLive = liveness == peer_liveness::alive || liveness == peer_liveness::suspect;
        (isLive ? result.local : result.lost).push_back(description->peers);
    }
    for (const auto &[dataCentre, summary] : d->summaries) {
        auto &addresses = result.remote.emplace_back();
        for (const auto &member : summary.members) {
            addresses.push_back(member.description.peers);
            known.insert(member.description.peers);
        }
    }
    auto contacts = d->settings.seedPeers;
    for (const auto &member : d->localMembers) {
        contacts.push_back(member.description.peers);
    }
    for (const auto &address : contacts) {
        if (known.insert(address).second) {
            result.lost.push_back(address);
        }
    }
    return result;
}

std::vector<listed_instance> cluster_state::instancesToProbe(instant now) const
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
        if (const auto description = d->descriptionOf(daemon)) {
            result.push_back({daemon, *description, livenessOf(d->exchange, daemon, now)});
        }
    }
    for (const auto &[dataCentre, summary] : d->summaries) {
        for (const auto &member : summary.members) {
            result.push_back({member.daemon, member.description, static_cast<peer_liveness>(member.liveness)});
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
        status.state = groupStateOf(group, d->tracker);
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            if (!hasConfirmed(group, rank, d->tracker)) {
                const auto *tracked = findInstance(d->tracker, group.members[rank].instance);
                const bool isAnswering = tracked != nullptr && tracked->isAnswering();
                status.awaited.push_back(group.members[rank].instance.value() + (isAnswering ? ": to load and confirm" : ": to answer"));
            }
        }
        const auto since = d->groupStates.find(group.id);
        status.timeInState = since == d->groupStates.end() ? duration() : now - since->second.since;
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<endpoint> cluster_state::peerAddress(const daemon_id &daemon, instant now) const
{
    for (const auto &member : members(now)) {
        if (member.daemon == daemon) {
            return member.description.peers;
        }
    }
    return std::nullopt;
}

std::optional<configuration_head> cluster_state::head() const
{
    const std::lock_guard lock(d->mutex);
    return d->wanted ? std::optional(d->head) : std::nullopt;
}

allotment cluster_state::knownAllotment() const
{
    const std::lock_guard lock(d->mutex);
    return d->allotted;
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

bool cluster_state::hasOtherCoordinator(instant now) const
{
    const std::lock_guard lock(d->mutex);
    const auto live = liveMembers(d->exchange, now);
    return std::any_of(live.begin(), live.end(), [&](const daemon_id &daemon) {
        const auto description = d->descriptionOf(daemon);
        return daemon != d->settings.daemon && description && description->isCoordinator
            && livenessOf(d->exchange, daemon, now) == peer_liveness::alive;
    });
}

data_centre_summary cluster_state::ownSummary(instant now) const
{
    const std::lock_guard lock(d->mutex);
    data_centre_summary summary;
    summary.dataCentre = d->settings.dataCentre;
    for (const auto &[daemon, origin] : d->exchange.origins) {
        if (const auto description = d->descriptionOf(daemon)) {
            summary.members.push_back({daemon, *description, static_cast<int>(livenessOf(d->exchange, daemon, now))});
        }
    }
    for (const auto &group : d->allotted.groups) {
        if (groupStateOf(group, d->tracker) == group_state::serving) {
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
