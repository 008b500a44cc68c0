// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/weight_store_client.h"

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"

namespace vetchpost {

struct weight_store_client::private_data
{
    endpoint address;
    http_connection_pool connections;
};

weight_store_client::weight_store_client(endpoint address)
    : d(std::make_unique<private_data>())
{
    d->address = std::move(address);
}

weight_store_client::~weight_store_client() = default;

std::optional<weight_store_state> weight_store_client::state(reason &lastReason)
{
    http_call call;
    call.to = d->address;
    call.target = "/v1/state";
    const auto reply = d->connections.send(call, lastReason);
    const auto json = reply && reply->isSuccess() ? parseJson(reply->body) : std::nullopt;
    if (!json) {
        lastReason.kind = error_kind::platform_unavailable;
        return std::nullopt;
    }
    weight_store_state result;
    result.concurrentLoads = static_cast<int>(jsonNumber(*json, "concurrent_loads"));
    result.activeLoads = static_cast<int>(jsonNumber(*json, "active_loads"));
    return result;
}

} // namespace vetchpost
