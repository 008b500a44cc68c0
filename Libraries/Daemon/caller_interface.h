// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/gateway_context.h"
#include "Libraries/Daemon/service_gateway.h"
#include "Libraries/Http/http_server.h"

#include <atomic>
#include <memory>

namespace vetchpost {

/// The listener of the callers: who asks, for what, and whether they may.
class caller_interface
{
public:
    caller_interface(gateway_context &context, incarnation run);
    ~caller_interface();
    caller_interface(const caller_interface &) = delete;
    caller_interface &operator=(const caller_interface &) = delete;

    void handle(http_exchange &exchange);
    /// Says from now on that this daemon is not ready.
    void setNotReady();
    /// Refuses new requests from now on.
    void refuseNew();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
