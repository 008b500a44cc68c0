// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/configuration_service.h"
#include "Libraries/Daemon/coordinator_runner.h"
#include "Libraries/Daemon/gateway_context.h"
#include "Libraries/Http/http_server.h"

#include <memory>

namespace vetchpost {

/// Handles the requests of the operators' interface: configuration, status, groups, decisions and metrics.
class operator_interface
{
public:
    operator_interface(gateway_context &context, configuration_service &configurations, coordinator_runner &coordinator);
    ~operator_interface();
    operator_interface(const operator_interface &) = delete;
    operator_interface &operator=(const operator_interface &) = delete;

    /// Handles one request. All paths except /metrics require the operators' token.
    void handle(http_exchange &exchange);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
