// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/snapshot_builder.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Groups/group_state.h"

#include <algorithm>

namespace vetchpost {

namespace {

void addServiceRoutes(deployment_routes &routes, const deployment &wanted, const snapshot_input &input)
{
    for (const auto &[id, tracked] : input.tracker.instances) {
        if (tracked.listed.service == wanted.service && !tracked.isLeaving()) {
            routes.services.push_back({id, tracked.listed.address});
        }
    }
    for (const auto &summary : input.remote) {
        for (const auto &instance : summary.services) {
            if (instance.service == wanted.service) {
                routes.services.push_back({instance.id, instance.address});
            }
        }
    }
}

/// Applies an engine's load report to the replica's limit: a changed report at once, an unchanged one once a second.
void applyEngineReport(replica_runtime &runtime, const engine_load &report, instant now)
{
    constexpr duration reportPeriod(1000);
    const std::lock_guard lock(runtime.mutex);
    const bool isNew = report != runtime.reported;
    if (!isNew && now - runtime.reportAppliedAt < reportPeriod) {
        return;
    }
    runtime.sentSinceReport = isNew ? 0 : runtime.sentSinceReport.load();
    runtime.reported = report;
    runtime.reportAppliedAt = now;
    const auto totalLoad = std::max(1, report.running + report.queued);
    const auto inFlight = runtime.inFlight.load();
    const auto ownShare = std::min(1.0, static_cast<double>(inFlight) / totalLoad);
    applyReport(runtime.limit, {report.running, report.queued, ownShare, inFlight}, now);
}

void sortByRingPosition(deployment_routes &routes)
{
    std::sort(routes.replicas.begin(), routes.replicas.end(), [](const replica_route &left, const replica_route &right) {
        return left.ringPosition < right.ringPosition;
    });
    for (const auto &route : routes.replicas) {
        routes.ringPositions.push_back(route.ringPosition);
    }
}

} // namespace

std::shared_ptr<replica_runtime> snapshot_builder::findOrAddRuntime(const group_id &group, generation expected, instant now)
{
    auto &runtime = m_runtimes[{group, expected}];
    if (!runtime) {
        runtime = std::make_shared<replica_runtime>();
        runtime->servingSince = now.time_since_epoch().count();
    }
    return runtime;
}

void snapshot_builder::addModelRoutes(deployment_routes &routes, const snapshot_input &input)
{
    for (const auto &group : input.allotted.groups) {
        // Requests go only to groups of which every member has confirmed the current generation.
        if (group.deployment != routes.deployment || groupStateOf(group, input.tracker) != group_state::serving) {
            continue;
        }
        replica_route route{group.id, group.current, group.members.front().address, hashOf(group.id.value()), {}, nullptr};
        route.reported = findInstance(input.tracker, group.members.front().instance)->lastState->load;
        route.runtime = findOrAddRuntime(group.id, group.current, input.now);
        applyEngineReport(*route.runtime, route.reported, input.now);
        routes.replicas.push_back(std::move(route));
    }
    for (const auto &summary : input.remote) {
        for (const auto &group : summary.groups) {
            if (group.deployment == routes.deployment) {
                routes.replicas.push_back({group.group,
                                           group.expected,
                                           group.leader,
                                           hashOf(group.group.value()),
                                           {},
                                           findOrAddRuntime(group.group, group.expected, input.now)});
            }
        }
    }
}

routing_snapshot snapshot_builder::build(const snapshot_input &input)
{
    routing_snapshot snapshot;
    snapshot.inForce = input.inForce;
    snapshot.wanted = input.wanted;
    if (!input.wanted) {
        return snapshot;
    }
    for (const auto &wanted : input.wanted->deployments) {
        deployment_routes routes;
        routes.deployment = wanted.id;
        if (wanted.kind == deployment_kind::model) {
            addModelRoutes(routes, input);
            sortByRingPosition(routes);
        } else {
            addServiceRoutes(routes, wanted, input);
        }
        snapshot.deployments.push_back(std::move(routes));
    }
    // Runtime state that no snapshot and no request uses is removed.
    std::erase_if(m_runtimes, [&](const auto &entry) { return entry.second.use_count() == 1 && entry.second->inFlight == 0; });
    return snapshot;
}

} // namespace vetchpost
