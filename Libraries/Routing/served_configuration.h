// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What an entry daemon routes by: routes, services, models and organisations, as an operator wrote them.
namespace vetchpost {

using service_id = identifier<struct service_tag>;
using model_id = identifier<struct model_tag>;

enum class route_kind {
    /// A series of events. Runs at most once unless it may be resumed.
    streaming,
    /// May run more than once.
    idempotent,
    /// Runs at most once for each attempt of the client.
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
    /// The longest that a request is held.
    duration timeout{};
    /// The time within which an answer, or a stream's first event, has its full value.
    duration objective{};
    /// The longest pause between two events that keeps a stream in time; zero where none is given.
    duration pauseLimit{};
    /// 0 is the most urgent.
    int priority = 0;
    /// The largest number of replicas that one attempt of a client may be sent to.
    int maximumAttempts = 1;
    /// Needs no key.
    bool isPublic = false;
    /// Another replica may go on with a stream after the last event that was received.
    bool isResumable = false;
    std::vector<weighted_service> services;

    /// Whether a request of this route may run on a second replica after it may have run on the first.
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
    /// Its part of the service's work when the service starts, from 0 to 1.
    double share = 0;
    /// Factor on all times of a group of this model.
    double pace = 1;
    /// How long a member takes to load the weights from the weight store ...
    duration loadTime{};
    /// ... and from its own host, where they are staged.
    duration stagedLoadTime{};
};

/// How the model engines of a service work.
struct engine_description
{
    /// Requests that a group runs at once.
    int slots = 0;
    std::vector<group_model> models;
    /// Loads from the weight store that may begin each second.
    double loadsPerSecond = 0;
    /// Loads beyond which each takes proportionally longer.
    int concurrentLoads = 1;
    /// Models that a host keeps staged.
    int stagedPerHost = 1;
    /// Between the order to open a group and its serving.
    duration formTime{};
};

struct served_service
{
    service_id id;
    std::string healthPath;
    /// Connections that one replica accepts from all daemons together.
    int maximumConnections = 0;
    /// Only where the service runs models in groups.
    std::optional<engine_description> engine;
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
    /// Takes the place of the route's priority; nothing where the organisation has none.
    std::optional<int> priority;
};

struct served_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<served_service> services;
    client_limits limits;
    /// Nothing where requests carry no keys.
    std::optional<std::vector<served_organisation>> organisations;
};

} // namespace vetchpost
