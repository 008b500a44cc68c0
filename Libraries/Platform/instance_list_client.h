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

/// One backend server instance, as the platform's lagging list tells it.
struct listed_instance
{
    instance_id id;
    endpoint address;
    data_centre_id dataCentre;
    fabric_domain_id fabricDomain;
    /// The plain service that it runs; empty for an instance with a model engine.
    std::string service;
    int accelerators = 0;
    bool isLeaving = false;
};

/// The form of the platform's list; daemons pass instances on to each other in the same one.
Json::Value toJson(const listed_instance &instance);
/// Nothing where the entry is none.
std::optional<listed_instance> listedInstanceFrom(const Json::Value &json);

/// The platform's list of live and leaving instances. It lags: what the backend servers say themselves goes before it.
class instance_list_client
{
public:
    explicit instance_list_client(endpoint address);
    ~instance_list_client();
    instance_list_client(const instance_list_client &) = delete;
    instance_list_client &operator=(const instance_list_client &) = delete;

    /// The instances of one data centre. Errors: platform_unavailable.
    std::optional<std::vector<listed_instance>> instances(const data_centre_id &dataCentre, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
