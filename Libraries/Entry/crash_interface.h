// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Http/http_server.h"

namespace vetchpost {

/// Where operators see which requests are refused because replicas ended under them, and allow one again:
/// GET, and POST with the parameter "allow".
constexpr auto crashingRequestsPath = "/crashing-requests";

void answerCrashingRequests(http_exchange &exchange, shared_suspects &suspects);

} // namespace vetchpost
