// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Daemon/gateway_context.h"
#include "Libraries/Http/http_server.h"

#include <optional>

namespace vetchpost {

/// What a keyed request may do after its key was looked at.
struct claim_permission
{
    /// It may run, once.
    bool mayRun = false;
    /// The first asker's answer, where it is still kept.
    std::optional<kept_answer> earlier;
    /// The refusal, where neither holds.
    reason why;
};

/// Claims a request's key, and finds the first asker's answer where it already ran.
claim_permission claimKey(const caller_request &request, const claim_record &record, gateway_context &context);

/// Claims the key of a request that has one. False where the request must not run; its caller has been answered then.
bool admitClaim(gateway_context &context, http_exchange &exchange, const caller_request &request, const claim_record &record);

/// How a request that was let run ended.
struct run_end
{
    /// Its whole answer; nothing where there is none.
    std::optional<kept_answer> answer;
    bool mayHaveRun = false;
};

/// Records the end of a request under its key.
void settleClaim(gateway_context &context, const caller_request &request, const claim_record &record, const run_end &end);

/// Adds the method by which a daemon gives other daemons the answers that it keeps.
void offerKeptAnswers(claim_service &claims, peer_service &peers);

} // namespace vetchpost
