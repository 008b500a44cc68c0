// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Engines/engine_messages.h"
#include "Libraries/Http/http_client.h"

#include <optional>
#include <string>

namespace vetchpost {

/// Parameters of a streamed completion.
struct completion_call
{
    endpoint leader;
    request_id request;
    group_id group;
    generation expected;
    int priority = 0;
    /// The caller's body, a JSON object.
    Json::Value body;
    /// Text that the caller has received already; the engine continues after it.
    std::string deliveredText;
    /// Index of the next token.
    std::uint64_t firstIndex = 0;
};

/// Sends an order on a new connection, so that it cannot wait behind others on a kept one. \a timeout bounds the time to connect and to
/// receive the reply; the order may still take effect later.
order_outcome sendEngineOrder(const endpoint &to, const engine_order &order, duration timeout);
/// Fetches the current state of one instance. Errors: backend_unreachable, backend_lost, deadline_exceeded, backend_mismatch.
std::optional<engine_state> fetchEngineState(http_connection_pool &connections, const endpoint &from, duration timeout, reason &lastReason);
/// Builds the call that starts a streamed completion.
http_call makeCompletionCall(const completion_call &completion, duration receiveTimeout);
/// Builds the call that resumes a stream whose connection was lost, from the token \a firstIndex on.
http_call makeResumeCall(const endpoint &leader, const request_id &request, std::uint64_t firstIndex, duration receiveTimeout);
/// Cancels a completion whose caller has disconnected. Failures are ignored, as a lost call only costs the engine work.
void cancelCompletion(const endpoint &leader, const request_id &request);

} // namespace vetchpost
