// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"

#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// A backend server instance as listed by the platform. The list lags behind the real state.
struct listed_instance
{
    instance_id id;
    endpoint address;
    data_centre_id dataCentre;
    fabric_domain_id fabricDomain;
    /// The name of the plain service that the instance runs; empty if it runs a model engine.
    std::string service;
    int accelerators = 0;
    bool isLeaving = false;
};

/// Encodes an instance in the format of the platform's list, which daemons also use to send instances to each other.
Json::Value toJson(const listed_instance &instance);
/// Decodes one entry of the list; nothing if its id or its address is missing or invalid.
std::optional<listed_instance> listedInstanceFrom(const Json::Value &json);

/// Client of the platform's list of live and leaving instances. The list lags, so reports from the backend servers themselves take
/// precedence.
class instance_list_client
{
public:
    explicit instance_list_client(endpoint address);
    ~instance_list_client();
    instance_list_client(const instance_list_client &) = delete;
    instance_list_client &operator=(const instance_list_client &) = delete;

    /// The instances in one data centre. Returns nothing on an error and sets \a lastReason to platform_unavailable.
    std::optional<std::vector<listed_instance>> instances(const data_centre_id &dataCentre, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
