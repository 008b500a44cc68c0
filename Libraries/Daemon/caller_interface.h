// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/gateway_context.h"
#include "Libraries/Daemon/service_gateway.h"
#include "Libraries/Http/http_server.h"

#include <atomic>
#include <memory>

namespace vetchpost {

/// HTTP interface for callers: authenticates and validates requests, and passes them to the gateway of their deployment.
class caller_interface
{
public:
    caller_interface(gateway_context &context, incarnation run);
    ~caller_interface();
    caller_interface(const caller_interface &) = delete;
    caller_interface &operator=(const caller_interface &) = delete;

    /// Answers one HTTP request.
    void handle(http_exchange &exchange);
    /// Makes the readiness check fail from now on.
    void setNotReady();
    /// Refuses new requests from now on, health and readiness checks excepted.
    void refuseNewRequests();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
