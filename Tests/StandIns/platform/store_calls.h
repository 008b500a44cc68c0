// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_server.h"
#include "Tests/StandIns/platform/store_model.h"

namespace vetchpost::test {

/// Applies a call of the store's protocol to the model, and returns the answer. A watch is answered at once, without waiting for changes.
store_answer applyCall(store_model &store, const http_exchange &exchange, const Json::Value &body, bool isPrivileged, instant now);
/// Sends an answer with the era of the store that made it.
void sendAnswer(http_exchange &exchange, const store_answer &answer, std::uint64_t era);

} // namespace vetchpost::test
