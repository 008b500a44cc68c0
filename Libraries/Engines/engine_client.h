// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Engines/engine_messages.h"
#include "Libraries/Http/http_client.h"

#include <optional>
#include <string>

namespace vetchpost {

/// One streamed completion, as the engine is asked for it.
struct completion_call
{
    endpoint leader;
    request_id request;
    group_id group;
    generation expected;
    int priority = 0;
    /// The caller's body, a JSON object.
    Json::Value body;
    /// The text that the caller already has; the engine goes on after it.
    std::string deliveredText;
    /// The index that the next token gets.
    std::uint64_t firstIndex = 0;
};

/// Sends an order on a connection of its own, so that none waits in a kept one. \a timeout bounds how long it may be
/// on its way as far as this side can tell.
order_outcome sendEngineOrder(const endpoint &to, const engine_order &order, duration timeout);
/// The present state of one instance. Errors: backend_unreachable, backend_lost, deadline_exceeded, backend_mismatch.
std::optional<engine_state> fetchEngineState(http_connection_pool &connections, const endpoint &from, duration timeout, reason &lastReason);
/// The call that starts a streamed completion.
http_call makeCompletionCall(const completion_call &completion, duration receiveTimeout);
/// The call that takes up a stream whose connection was lost, from the token \a firstIndex on.
http_call makeResumeCall(const endpoint &leader, const request_id &request, std::uint64_t firstIndex, duration receiveTimeout);
/// Tells the engine that nobody waits for this request any more. A lost call only costs the engine work.
void cancelCompletion(const endpoint &leader, const request_id &request);

} // namespace vetchpost
