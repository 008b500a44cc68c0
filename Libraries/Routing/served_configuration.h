// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration by which an entry daemon routes: routes, services, models and organisations, as an operator wrote them.
namespace vetchpost {

using service_id = identifier<struct service_tag>;

enum class route_kind {
    /// The answer is a stream of events. A request runs at most once unless the route is resumable.
    streaming,
    /// A request may run more than once.
    idempotent,
    /// A request runs at most once for each attempt of the client.
    non_idempotent
};

struct weighted_service
{
    service_id service;
    int weight = 0;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::non_idempotent;
    /// The longest time for which a request is held.
    duration timeout{};
    /// Latency objective for an answer or for a stream's first event.
    duration objective{};
    /// Latency objective for the pause between two events of a stream; zero if none is given.
    duration pauseLimit{};
    /// 0 is the most urgent.
    int priority = 0;
    /// The largest number of replicas that one attempt of a client may be sent to.
    int maximumAttempts = 1;
    /// Whether requests need no API key.
    bool isPublic = false;
    /// Whether another replica may continue a stream after the last event that was received.
    bool isResumable = false;
    std::vector<weighted_service> services;

    /// Whether a request of this route may run on a second replica although the first one may have run it.
    bool mayRunAgain() const
    {
        return kind == route_kind::idempotent || (kind == route_kind::streaming && isResumable);
    }
};

/// One model of a service whose replicas form groups.
struct group_model
{
    model_id id;
    /// Replicas in one group.
    int size = 1;
    /// Its fraction of the service's work when the service starts, from 0 to 1.
    double share = 0;
    /// Factor on all times of a group of this model.
    double pace = 1;
    /// How long a member takes to load the weights from the weight store.
    duration loadTime{};
    /// How long a member takes to load weights that are staged on its host.
    duration stagedLoadTime{};
};

/// An addition to the latency of requests from one data centre to replicas of one version.
struct path_delay
{
    /// The sender's data centre; empty for any.
    data_centre_id from;
    /// Empty for any.
    std::string targetVersion;
    duration delay{};
};

/// Properties of a service's model engines.
struct engine_description
{
    /// Number of requests that a group can run concurrently.
    int slots = 0;
    std::vector<group_model> models;
    /// Number of loads from the weight store that may begin each second.
    double loadsPerSecond = 0;
    /// Number of concurrent loads above which each takes proportionally longer.
    int concurrentLoads = 1;
    /// Number of models that a host keeps staged.
    int stagedPerHost = 1;
    /// Time from the order to open a group until it serves.
    duration formTime{};
    /// A pass writes one token of each running request. It takes stepMs + perSequenceMs x running requests, in milliseconds, times the
    /// model's pace. Zero if the description does not give it.
    double stepMs = 0;
    double perSequenceMs = 0;
    /// Tokens of prompts that a group reads per second, at pace 1, in chunks between the passes.
    double readPerSecond = 0;
    int chunkTokens = 0;
    /// Passes from one event of a stream to the next.
    int stride = 1;
    /// Tokens of a usual request.
    int usualPromptTokens = 0;
    int usualAnswerTokens = 0;
    std::vector<path_delay> delays;
};

struct served_service
{
    service_id id;
    std::string healthPath;
    /// Number of connections that one replica accepts from all daemons together.
    int maximumConnections = 0;
    /// Set only if the service runs models in groups.
    std::optional<engine_description> engine = {};
    /// How long a replica is cold after it started during traffic.
    duration coldTime{};
    /// Requests per second that a cold replica accepts; 0 if replicas are never cold.
    double coldPerSecond = 0;
};

/// Bounds on what a client may send and how long it may take.
struct client_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    duration headerTimeout{3000};
    duration idleTimeout{15000};
};

struct served_organisation
{
    organisation_id id;
    std::vector<std::string> keys;
    /// Replaces the route's priority, if set.
    std::optional<int> priority;
};

struct served_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<served_service> services;
    client_limits limits;
    /// Nothing if requests need no API keys.
    std::optional<std::vector<served_organisation>> organisations;
};

} // namespace vetchpost
