// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Daemon/gateway_context.h"

#include <memory>
#include <string>

namespace vetchpost {

/// Reverse proxy for plain services.
class service_gateway
{
public:
    explicit service_gateway(gateway_context &context);
    ~service_gateway();
    service_gateway(const service_gateway &) = delete;
    service_gateway &operator=(const service_gateway &) = delete;

    /// Serves one request up to its answer or an error. \a target is the path and query to request from the service.
    void answer(http_exchange &exchange, const caller_request &request, const std::string &target);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
