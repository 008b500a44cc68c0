// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Engines/engine_messages.h"

#include <array>
#include <string_view>

namespace vetchpost {

namespace {

constexpr std::array<std::string_view, 4> phaseNames = {"idle", "loading", "ready", "failed"};

std::optional<engine_phase> phaseFrom(const std::string &name)
{
    for (std::size_t i = 0; i < phaseNames.size(); ++i) {
        if (phaseNames[i] == name) {
            return static_cast<engine_phase>(i);
        }
    }
    return std::nullopt;
}

} // namespace

Json::Value toJson(const model_choice &choice)
{
    Json::Value json;
    json["model"] = choice.model;
    json["adapter"] = choice.adapter;
    json["version"] = choice.version;
    return json;
}

model_choice modelChoiceFrom(const Json::Value &json)
{
    return {jsonString(json, "model"), jsonString(json, "adapter"), jsonString(json, "version")};
}

Json::Value toJson(const engine_order &order)
{
    Json::Value json;
    json["instance"] = order.instance.value();
    json["group"] = order.group.value();
    json["generation"] = Json::UInt64(order.ordered.value());
    json["rank"] = order.rank;
    json["choice"] = toJson(order.choice);
    json["members"] = Json::Value(Json::arrayValue);
    for (const auto &member : order.members) {
        json["members"].append(member.text());
    }
    return json;
}

std::optional<engine_order> engineOrderFrom(const Json::Value &json)
{
    engine_order order;
    order.instance = instance_id(jsonString(json, "instance"));
    order.group = group_id(jsonString(json, "group"));
    order.ordered = generation(jsonNumber(json, "generation"));
    order.rank = static_cast<int>(jsonNumber(json, "rank"));
    order.choice = modelChoiceFrom(json["choice"]);
    for (const auto &member : jsonArray(json, "members")) {
        const auto address = member.isString() ? parseEndpoint(member.asString()) : std::nullopt;
        if (!address) {
            return std::nullopt;
        }
        order.members.push_back(*address);
    }
    if (order.instance.isEmpty()) {
        return std::nullopt;
    }
    return order;
}

Json::Value toJson(const engine_state &state)
{
    Json::Value json;
    json["instance"] = state.instance.value();
    json["run"] = Json::UInt64(state.run.value());
    json["group"] = state.group.value();
    json["generation"] = Json::UInt64(state.confirmed.value());
    json["rank"] = state.rank;
    json["phase"] = std::string(phaseNames.at(static_cast<std::size_t>(state.phase)));
    json["choice"] = toJson(state.choice);
    json["leaving"] = state.isLeaving;
    json["running"] = state.load.running;
    json["queued"] = state.load.queued;
    json["cache_used_percent"] = state.load.cacheUsedPercent;
    return json;
}

std::optional<engine_state> engineStateFrom(const Json::Value &json)
{
    const auto phase = phaseFrom(jsonString(json, "phase"));
    engine_state state;
    state.instance = instance_id(jsonString(json, "instance"));
    if (!phase || state.instance.isEmpty()) {
        return std::nullopt;
    }
    state.phase = *phase;
    state.run = incarnation(jsonNumber(json, "run"));
    state.group = group_id(jsonString(json, "group"));
    state.confirmed = generation(jsonNumber(json, "generation"));
    state.rank = static_cast<int>(jsonNumber(json, "rank"));
    state.choice = modelChoiceFrom(json["choice"]);
    state.isLeaving = jsonFlag(json, "leaving");
    state.load.running = static_cast<int>(jsonNumber(json, "running"));
    state.load.queued = static_cast<int>(jsonNumber(json, "queued"));
    state.load.cacheUsedPercent = static_cast<int>(jsonNumber(json, "cache_used_percent"));
    return state;
}

} // namespace vetchpost
