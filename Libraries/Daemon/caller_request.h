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

/// A caller's request, with its organisation and deployment resolved.
struct caller_request
{
    request_id id;
    organisation callerOrganisation;
    deployment target;
    std::string body;
    instant received;
    instant deadline;
    /// Value of the Idempotency-Key header; empty if there is none.
    std::string key;
    /// Whether the request may run more than once.
    bool isRepeatable = true;
};

/// Builds the record with which the daemon claims the request's idempotency key.
claim_record claimOf(const caller_request &request, const daemon_id &daemon);

} // namespace vetchpost
