// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Daemon/gateway_context.h"

namespace vetchpost {

/// Serves one request for a model up to its complete answer or an error, on the thread of the connection.
void answerModelRequest(gateway_context &context, http_exchange &exchange, const caller_request &request, const Json::Value &body);

} // namespace vetchpost
