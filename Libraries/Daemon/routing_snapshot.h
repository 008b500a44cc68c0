// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Configuration/configuration.h"
#include "Libraries/Engines/engine_messages.h"
#include "Libraries/Requests/replica_limit.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace vetchpost {

/// State that this daemon keeps for one replica: its own requests there and the last load report. Shared by successive snapshots.
struct replica_runtime
{
    std::atomic<int> inFlight = 0;
    std::atomic<int> sentSinceReport = 0;
    std::atomic<double> firstTokenMilliseconds = 0;
    /// Monotonic time in milliseconds until which no new requests are sent after a failure.
    std::atomic<std::int64_t> avoidUntil = 0;
    /// Monotonic time in milliseconds at which the replica was first seen serving; its share of requests ramps up from then.
    std::int64_t servingSince = 0;
    std::mutex mutex;
    replica_limit limit;
    /// The engine's last load report, and the time at which it was last applied to the limit.
    engine_load reported;
    instant reportAppliedAt;
};

/// A model replica that requests can be routed to.
struct replica_route
{
    group_id group;
    generation expected;
    endpoint leader;
    /// Position on the consistent hash ring of prompt prefixes.
    std::uint64_t ringPosition = 0;
    engine_load reported;
    std::shared_ptr<replica_runtime> runtime;
};

/// An instance of a plain service that requests can be routed to.
struct service_route
{
    instance_id instance;
    endpoint address;
};

/// The replicas or service instances that serve one deployment.
struct deployment_routes
{
    deployment_id deployment;
    /// Sorted by position on the hash ring.
    std::vector<replica_route> replicas;
    /// Positions of the replicas on the consistent hash ring of prompt prefixes, in the same order.
    std::vector<std::uint64_t> ringPositions;
    std::vector<service_route> services;
};

/// Immutable routing state that requests are routed by: the configuration and the routes of each deployment.
struct routing_snapshot
{
    revision inForce;
    std::shared_ptr<const configuration> wanted;
    std::vector<deployment_routes> deployments;
    /// Whether the groups are known and every member has reported, so that the routes are complete.
    bool hasReceivedGroups = false;

    /// Returns the routes of a deployment, or null if the configuration does not contain it.
    const deployment_routes *find(const deployment_id &id) const
    {
        for (const auto &entry : deployments) {
            if (entry.deployment == id) {
                return &entry;
            }
        }
        return nullptr;
    }
};

} // namespace vetchpost
