// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/allotment.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

Json::Value toJson(const allotted_group &group)
{
    Json::Value json;
    json["id"] = group.id.value();
    json["deployment"] = group.deployment.value();
    json["generation"] = Json::UInt64(group.current.value());
    json["choice"] = toJson(group.choice);
    json["checks_fencing"] = group.enginesCheckFencing;
    json["draining_since"] = Json::UInt64(static_cast<std::uint64_t>(group.drainingSince));
    json["members"] = Json::Value(Json::arrayValue);
    for (const auto &member : group.members) {
        Json::Value memberFields(Json::arrayValue);
        memberFields.append(member.instance.value());
        memberFields.append(member.address.text());
        memberFields.append(member.domain.value());
        json["members"].append(memberFields);
    }
    return json;
}

std::optional<allotted_group> groupFrom(const Json::Value &json)
{
    allotted_group group;
    group.id = group_id(jsonString(json, "id"));
    group.deployment = deployment_id(jsonString(json, "deployment"));
    group.current = generation(jsonNumber(json, "generation"));
    group.choice = modelChoiceFrom(json["choice"]);
    group.enginesCheckFencing = jsonFlag(json, "checks_fencing");
    group.drainingSince = static_cast<std::int64_t>(jsonNumber(json, "draining_since"));
    for (const auto &memberFields : jsonArray(json, "members")) {
        constexpr Json::ArrayIndex fields = 3;
        const auto address
            = memberFields.isArray() && memberFields.size() == fields ? parseEndpoint(memberFields[1].asString()) : std::nullopt;
        if (!address) {
            return std::nullopt;
        }
        group.members.push_back({instance_id(memberFields[0].asString()), *address, fabric_domain_id(memberFields[2].asString())});
    }
    return group;
}

} // namespace

const allotted_group *allotment::findGroup(const group_id &id) const
{
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const allotted_group &group) { return group.id == id; });
    return found == groups.end() ? nullptr : &*found;
}

std::string allotmentKey(const data_centre_id &dataCentre)
{
    return "vetchpost/allotment/" + dataCentre.value();
}

std::string toText(const allotment &value)
{
    Json::Value json;
    json["epoch"] = Json::UInt64(value.current.value());
    json["coordinator"] = value.coordinator.value();
    json["last_generation"] = Json::UInt64(value.lastGeneration.value());
    json["groups"] = Json::Value(Json::arrayValue);
    for (const auto &group : value.groups) {
        json["groups"].append(toJson(group));
    }
    json["withheld"] = Json::Value(Json::arrayValue);
    for (const auto &entry : value.withheld) {
        Json::Value pair(Json::arrayValue);
        pair.append(entry.instance.value());
        pair.append(Json::UInt64(entry.since.value()));
        json["withheld"].append(pair);
    }
    return toJsonText(json);
}

std::optional<allotment> allotmentFrom(const std::string &text)
{
    if (text.empty()) {
        return allotment();
    }
    const auto json = parseJson(text);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    allotment value;
    value.current = epoch(jsonNumber(*json, "epoch"));
    value.coordinator = daemon_id(jsonString(*json, "coordinator"));
    value.lastGeneration = generation(jsonNumber(*json, "last_generation"));
    for (const auto &entry : jsonArray(*json, "groups")) {
        auto group = groupFrom(entry);
        if (!group) {
            return std::nullopt;
        }
        value.groups.push_back(std::move(*group));
    }
    for (const auto &entry : jsonArray(*json, "withheld")) {
        if (entry.isArray() && entry.size() == 2 && entry[0].isString() && entry[1].isUInt64()) {
            value.withheld.push_back({instance_id(entry[0].asString()), epoch(entry[1].asUInt64())});
        }
    }
    return value;
}

const allotment &newestOf(const allotment &stored, const allotment &known)
{
    return std::pair(known.current, known.lastGeneration) > std::pair(stored.current, stored.lastGeneration) ? known : stored;
}

std::optional<std::string> allotmentProblem(const allotment &value)
{
    std::set<instance_id> placed;
    std::set<group_id> names;
    for (const auto &group : value.groups) {
        if (!names.insert(group.id).second) {
            return fmt::format("group {} is listed twice", group.id.value());
        }
        if (group.members.empty()) {
            return fmt::format("group {} has no members", group.id.value());
        }
        if (group.current > value.lastGeneration) {
            return fmt::format("the generation of group {} is above the last generation", group.id.value());
        }
        for (const auto &member : group.members) {
            if (!placed.insert(member.instance).second) {
                return fmt::format("instance {} has more than one membership", member.instance.value());
            }
        }
    }
    return std::nullopt;
}

} // namespace vetchpost
