// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/shared_parts.h"
#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Http/http_server.h"

namespace vetchpost {

/// The operators' HTTP resource for requests that are refused because replicas have crashed running them. GET lists them; POST with the
/// query parameter "allow" allows the request with this identity again.
constexpr auto crashingRequestsPath = "/crashing-requests";

/// Answers a request for crashingRequestsPath.
void answerCrashingRequests(http_exchange &exchange, shared_suspects &suspects, shared_parts &parts);

} // namespace vetchpost
