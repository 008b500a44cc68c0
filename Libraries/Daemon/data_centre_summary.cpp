// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/data_centre_summary.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

Json::Value toJson(const daemon_description &description)
{
    Json::Value json;
    json["data_centre"] = description.dataCentre.value();
    json["callers"] = description.callers.text();
    json["operators"] = description.operators.text();
    json["peers"] = description.peers.text();
    json["in_force"] = Json::UInt64(description.inForce.value());
    json["coordinates"] = description.isCoordinator;
    json["stopping"] = description.isStopping;
    return json;
}

std::optional<daemon_description> descriptionFrom(const Json::Value &json)
{
    const auto callers = parseEndpoint(jsonString(json, "callers"));
    const auto operators = parseEndpoint(jsonString(json, "operators"));
    const auto peers = parseEndpoint(jsonString(json, "peers"));
    if (!callers || !operators || !peers) {
        return std::nullopt;
    }
    daemon_description description;
    description.dataCentre = data_centre_id(jsonString(json, "data_centre"));
    description.callers = *callers;
    description.operators = *operators;
    description.peers = *peers;
    description.inForce = revision(jsonNumber(json, "in_force"));
    description.isCoordinator = jsonFlag(json, "coordinates");
    description.isStopping = jsonFlag(json, "stopping");
    return description;
}

Json::Value listJson(const std::vector<listed_instance> &list)
{
    Json::Value json(Json::arrayValue);
    for (const auto &instance : list) {
        json.append(toJson(instance));
    }
    return json;
}

std::vector<listed_instance> listFrom(const Json::Value &json)
{
    std::vector<listed_instance> list;
    for (const auto &entry : json) {
        if (auto instance = listedInstanceFrom(entry)) {
            list.push_back(std::move(*instance));
        }
    }
    return list;
}

} // namespace

std::string toText(const daemon_description &description)
{
    return toJsonText(toJson(description));
}

std::optional<daemon_description> daemonDescriptionFrom(const std::string &text)
{
    const auto json = parseJson(text);
    return json ? descriptionFrom(*json) : std::nullopt;
}

std::string toText(const data_centre_summary &summary)
{
    Json::Value json;
    json["data_centre"] = summary.dataCentre.value();
    json["members"] = Json::Value(Json::arrayValue);
    for (const auto &member : summary.members) {
        auto entry = toJson(member.description);
        entry["daemon"] = member.daemon.value();
        entry["liveness"] = member.liveness;
        json["members"].append(entry);
    }
    json["groups"] = Json::Value(Json::arrayValue);
    for (const auto &group : summary.groups) {
        Json::Value entry;
        entry["id"] = group.group.value();
        entry["deployment"] = group.deployment.value();
        entry["generation"] = Json::UInt64(group.expected.value());
        entry["leader"] = group.leader.text();
        json["groups"].append(entry);
    }
    json["services"] = listJson(summary.services);
    json["domain_sizes"] = Json::Value(Json::arrayValue);
    for (const auto size : summary.domainSizes) {
        json["domain_sizes"].append(size);
    }
    return toJsonText(json);
}

std::optional<data_centre_summary> dataCentreSummaryFrom(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    data_centre_summary summary;
    summary.dataCentre = data_centre_id(jsonString(*json, "data_centre"));
    for (const auto &entry : jsonArray(*json, "members")) {
        if (auto description = descriptionFrom(entry)) {
            summary.members.push_back(
                {daemon_id(jsonString(entry, "daemon")), std::move(*description), static_cast<int>(jsonNumber(entry, "liveness"))});
        }
    }
    for (const auto &entry : jsonArray(*json, "groups")) {
        if (const auto leader = parseEndpoint(jsonString(entry, "leader"))) {
            summary.groups.push_back({group_id(jsonString(entry, "id")),
                                      deployment_id(jsonString(entry, "deployment")),
                                      generation(jsonNumber(entry, "generation")),
                                      *leader});
        }
    }
    summary.services = listFrom(jsonArray(*json, "services"));
    for (const auto &size : jsonArray(*json, "domain_sizes")) {
        summary.domainSizes.push_back(size.isInt() ? size.asInt() : 0);
    }
    return summary;
}

std::string instanceListText(const std::vector<listed_instance> &list)
{
    return toJsonText(listJson(list));
}

std::vector<listed_instance> instanceListFrom(const std::string &text)
{
    const auto json = parseJson(text);
    return json && json->isArray() ? listFrom(*json) : std::vector<listed_instance>();
}

} // namespace vetchpost
