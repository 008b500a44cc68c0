// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/gateway_context.h"

namespace vetchpost {

request_counters::request_counters(metrics &counters)
    : accepted(counters.addCounter("vetchpost_requests_accepted_total", "Requests that were sent to a backend server."))
    , completed(counters.addCounter("vetchpost_requests_completed_total", "Requests whose whole answer was sent."))
    , tokens(counters.addCounter("vetchpost_tokens_total", "Tokens passed on to callers."))
    , retries(counters.addCounter("vetchpost_retries_total", "Further tries of requests.", {{"reason", "retry"}}))
    , resumes(counters.addCounter("vetchpost_retries_total", "Further tries of requests.", {{"reason", "resume"}}))
    , continuations(counters.addCounter("vetchpost_retries_total", "Further tries of requests.", {{"reason", "continue_elsewhere"}}))
    , foreignChunks(counters.addCounter("vetchpost_foreign_pieces_total", "Pieces of answers that were not the request's own."))
    , firstToken(counters.addTimeHistogram("vetchpost_first_token_seconds", "Time from a request's arrival to its first token."))
    , tokenGap(counters.addTimeHistogram("vetchpost_token_gap_seconds", "Time between two tokens of one answer."))
{
}

void countOutcome(metrics &counters, const organisation_id &organisation, const deployment_id &deployment, const std::string &outcome)
{
    counters
        .addCounter("vetchpost_outcomes_total",
                    "Requests by organisation, deployment and end.",
                    {{"organisation", organisation.value()}, {"deployment", deployment.value()}, {"outcome", outcome}})
        .increment();
}

} // namespace vetchpost
