// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Daemon/gateway_context.h"

namespace vetchpost {

/// Runs one request for a model to its final answer, on the thread of its connection.
void answerModelRequest(gateway_context &context, http_exchange &exchange, const caller_request &request, const Json::Value &body);

} // namespace vetchpost
