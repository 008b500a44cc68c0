// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Daemon/gateway_context.h"
#include "Libraries/Http/http_server.h"

#include <optional>

namespace vetchpost {

/// Outcome of claiming a request's idempotency key: run, replay an earlier answer, or refuse.
struct claim_permission
{
    /// Whether the request may run, once.
    bool mayRun = false;
    /// Answer to the first request with this key, if it is still cached.
    std::optional<cached_answer> earlier;
    /// Reason of the refusal, if the request may not run and there is no earlier answer.
    reason why;
};

/// Claims a request's idempotency key, and fetches the earlier answer if a request with this key ran or is running.
claim_permission claimKey(const caller_request &request, const claim_record &record, gateway_context &context);

/// Claims the idempotency key of a request that has one. Returns false if the request must not run; the caller has then been sent an
/// earlier answer or an error.
bool admitClaim(gateway_context &context, http_exchange &exchange, const caller_request &request, const claim_record &record);

/// How an admitted request ended.
struct run_outcome
{
    /// The whole answer; nothing if the request failed.
    std::optional<cached_answer> answer;
    /// Whether a backend server may have run the request.
    bool mayHaveRun = false;
};

/// Records how a request ended under its idempotency key and caches its answer. Does nothing if the request has no key.
void settleClaim(gateway_context &context, const caller_request &request, const claim_record &record, const run_outcome &outcome);

/// Registers the peer method with which other daemons fetch answers cached by this daemon.
void registerCachedAnswerMethod(claim_service &claims, peer_service &peers);

} // namespace vetchpost
