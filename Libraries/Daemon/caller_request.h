// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Configuration/configuration.h"
#include "Libraries/Daemon/claim_service.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Requests/claim_shard.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// One request of a caller, after its organisation and deployment are known.
struct caller_request
{
    request_id id;
    organisation owner;
    deployment target;
    std::string body;
    instant received;
    instant deadline;
    /// The caller's Idempotency-Key; empty for none.
    std::string key;
    bool isRepeatable = true;
};

/// The claim that this request makes under its key.
claim_record claimOf(const caller_request &request, const daemon_id &daemon);

} // namespace vetchpost
