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

/// What this daemon has learned of one replica by its own requests. Outlives the snapshots that name the replica.
struct replica_runtime
{
    std::atomic<int> inFlight = 0;
    std::atomic<int> sentSinceReport = 0;
    std::atomic<double> firstTokenMilliseconds = 0;
    /// Monotonic milliseconds until which no new work is sent, after a failure.
    std::atomic<std::int64_t> avoidUntil = 0;
    /// When it began to serve, for the ramp.
    std::int64_t servingSince = 0;
    std::mutex mutex;
    replica_limit limit;
    /// The engine's last report, and when it was last taken in.
    engine_load reported;
    instant reportTaken;
};

/// One replica that may be sent work.
struct replica_route
{
    group_id group;
    generation expected;
    endpoint leader;
    std::uint64_t place = 0;
    engine_load reported;
    std::shared_ptr<replica_runtime> runtime;
};

/// One instance of a plain service that may be sent work.
struct service_route
{
    instance_id instance;
    endpoint address;
};

struct deployment_routes
{
    deployment_id deployment;
    /// In the order of their places.
    std::vector<replica_route> replicas;
    /// The replicas' places on the ring of prefixes.
    std::vector<std::uint64_t> places;
    std::vector<service_route> services;
};

/// All that a request needs to know, in one value.
struct routing_snapshot
{
    revision inForce;
    std::shared_ptr<const configuration> wanted;
    std::vector<deployment_routes> deployments;
    /// The groups are known, and every member has been heard of: these routes are all there are.
    bool hasHeardOfGroups = false;

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
