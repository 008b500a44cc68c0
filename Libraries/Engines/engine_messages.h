// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/json.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// Model, adapter and version that an engine should load.
struct model_choice
{
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const model_choice &) const = default;
};

/// An order to one instance to become a rank of a group. An order with an empty group releases the instance.
/// The generation is the fencing number: it increases with every change in the data centre.
struct engine_order
{
    instance_id instance;
    group_id group;
    generation ordered;
    int rank = 0;
    model_choice choice;
    /// Addresses of the group's members in rank order.
    std::vector<endpoint> members;
};

/// Result of sending an order.
enum class order_outcome {
    accepted,
    /// The engine has seen a higher fencing number.
    stale,
    /// The order did not reach the engine.
    not_sent,
    /// The engine may have accepted the order or may yet accept it.
    unknown
};

enum class engine_phase { idle, loading, ready, failed };

/// Load that an engine reports of itself; the report may be a few moments old.
struct engine_load
{
    int running = 0;
    int queued = 0;
    /// Used share of the memory for the prompt cache, in per cent.
    int cacheUsedPercent = 0;

    auto operator<=>(const engine_load &) const = default;
};

/// State that an instance reports of itself.
struct engine_state
{
    instance_id instance;
    /// Incarnation of the engine's process; it changes with every start.
    incarnation run;
    group_id group;
    generation confirmed;
    int rank = 0;
    engine_phase phase = engine_phase::idle;
    model_choice choice;
    bool isLeaving = false;
    engine_load load;

    auto operator<=>(const engine_state &) const = default;
};

/// Conversions from and to JSON; the functions that parse return nothing if the message is not valid.
Json::Value toJson(const engine_order &order);
std::optional<engine_order> engineOrderFrom(const Json::Value &json);
Json::Value toJson(const engine_state &state);
std::optional<engine_state> engineStateFrom(const Json::Value &json);
Json::Value toJson(const model_choice &choice);
model_choice modelChoiceFrom(const Json::Value &json);

} // namespace vetchpost
