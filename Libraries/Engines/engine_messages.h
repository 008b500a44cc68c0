// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/json.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// What a model engine is to load.
struct model_choice
{
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const model_choice &) const = default;
};

/// An order to one instance: become this rank of this group. An empty group releases the instance.
/// The generation is the fencing number: it rises over the whole data centre with every change.
struct engine_order
{
    instance_id instance;
    group_id group;
    generation ordered;
    int rank = 0;
    model_choice choice;
    /// The peers' addresses in rank order.
    std::vector<endpoint> members;
};

/// What became of an order.
enum class order_outcome {
    accepted,
    /// The engine has seen a higher fencing number.
    stale,
    /// The order never reached the engine.
    not_sent,
    /// The engine may act on the order, now or later.
    unknown
};

enum class engine_phase { idle, loading, ready, failed };

/// How busy an engine says it is; some moments old.
struct engine_load
{
    int running = 0;
    int queued = 0;
    /// Of its memory for the prompt cache, in per cent.
    int cacheUsedPercent = 0;

    auto operator<=>(const engine_load &) const = default;
};

/// What one instance says of itself.
struct engine_state
{
    instance_id instance;
    /// The number of this run of the engine's process.
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

Json::Value toJson(const engine_order &order);
std::optional<engine_order> engineOrderFrom(const Json::Value &json);
Json::Value toJson(const engine_state &state);
std::optional<engine_state> engineStateFrom(const Json::Value &json);
Json::Value toJson(const model_choice &choice);
model_choice modelChoiceFrom(const Json::Value &json);

} // namespace vetchpost
