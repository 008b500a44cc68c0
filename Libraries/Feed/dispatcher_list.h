// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Routing/served_configuration.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// The daemons that decide which group runs a request (docs/design/SLOT-DISPATCH.md).
namespace vetchpost {

/// A daemon that may be, or is, a dispatcher.
struct named_dispatcher
{
    daemon_id daemon;
    /// Where it receives slot requests.
    endpoint address;

    bool operator==(const named_dispatcher &) const = default;
};

/// The dispatchers of one model. Their order decides which of them owns which group.
struct model_dispatchers
{
    service_id service;
    model_id model;
    std::vector<named_dispatcher> dispatchers;

    bool operator==(const model_dispatchers &) const = default;
};

/// The dispatchers of all models, as the source of the feed names them.
struct dispatcher_list
{
    std::vector<model_dispatchers> models;

    bool operator==(const dispatcher_list &) const = default;
};

/// A daemon that the source may name.
struct dispatcher_candidate
{
    named_dispatcher daemon;
    /// The share of a core that it may use; 0 if it is shutting down.
    double processorShare = 0;
};

/// Returns a value that differs between different lists; 0 for a list without models.
std::uint64_t digestOf(const dispatcher_list &list);
/// Returns the dispatchers of a model; nullptr if none are named.
const model_dispatchers *findDispatchers(const dispatcher_list &list, const service_id &service, const model_id &model);
/// Returns which of \a count dispatchers owns the group with this head. \a count must be positive.
std::size_t dispatcherIndex(const instance_id &head, std::size_t count);

} // namespace vetchpost
