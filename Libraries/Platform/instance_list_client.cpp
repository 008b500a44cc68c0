// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/instance_list_client.h"

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"

namespace vetchpost {

struct instance_list_client::private_data
{
    endpoint address;
    http_connection_pool connections;
};

Json::Value toJson(const listed_instance &instance)
{
    Json::Value json;
    json["id"] = instance.id.value();
    json["address"] = instance.address.text();
    json["data_centre"] = instance.dataCentre.value();
    json["fabric_domain"] = instance.fabricDomain.value();
    json["service"] = instance.service;
    json["accelerators"] = instance.accelerators;
    json["state"] = instance.isLeaving ? "leaving" : "live";
    return json;
}

std::optional<listed_instance> listedInstanceFrom(const Json::Value &json)
{
    const auto address = parseEndpoint(jsonString(json, "address"));
    if (!address || jsonString(json, "id").empty()) {
        return std::nullopt;
    }
    listed_instance instance;
    instance.id = instance_id(jsonString(json, "id"));
    instance.address = *address;
    instance.dataCentre = data_centre_id(jsonString(json, "data_centre"));
    instance.fabricDomain = fabric_domain_id(jsonString(json, "fabric_domain"));
    instance.service = jsonString(json, "service");
    instance.accelerators = static_cast<int>(jsonNumber(json, "accelerators"));
    instance.isLeaving = jsonString(json, "state") == "leaving";
    return instance;
}

instance_list_client::instance_list_client(endpoint address)
    : d(std::make_unique<private_data>())
{
    d->address = std::move(address);
}

instance_list_client::~instance_list_client() = default;

std::optional<std::vector<listed_instance>> instance_list_client::instances(const data_centre_id &dataCentre, reason &lastReason)
{
    http_call call;
    call.to = d->address;
    call.target = "/v1/instances?data_centre=" + dataCentre.value();
    const auto reply = d->connections.send(call, lastReason);
    const auto json = reply && reply->isSuccess() ? parseJson(reply->body) : std::nullopt;
    if (!json) {
        lastReason.kind = error_kind::platform_unavailable;
        return std::nullopt;
    }
    std::vector<listed_instance> result;
    for (const auto &entry : jsonArray(*json, "instances")) {
        if (auto instance = listedInstanceFrom(entry)) {
            result.push_back(std::move(*instance));
        }
    }
    return result;
}

} // namespace vetchpost
