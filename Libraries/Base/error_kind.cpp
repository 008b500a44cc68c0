// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/error_kind.h"

namespace vetchpost {

using std::chrono::seconds;

namespace {

constexpr auto never = seconds(0);

constexpr std::array<error_answer, errorKindCount> table = {{
    {error_kind::malformed_request, "malformed_request", 400, run_state::not_run, never},
    {error_kind::body_too_large, "body_too_large", 413, run_state::not_run, never},
    {error_kind::head_too_large, "head_too_large", 431, run_state::not_run, never},
    {error_kind::slow_sender, "slow_sender", 408, run_state::not_run, seconds(1)},
    {error_kind::unauthorised, "unauthorised", 401, run_state::not_run, never},
    {error_kind::forbidden, "forbidden", 403, run_state::not_run, never},
    {error_kind::unknown_path, "unknown_path", 404, run_state::not_run, never},
    {error_kind::unknown_model, "unknown_model", 404, run_state::not_run, never},
    {error_kind::method_not_allowed, "method_not_allowed", 405, run_state::not_run, never},
    {error_kind::invalid_configuration, "invalid_configuration", 422, run_state::not_run, never},
    {error_kind::edit_conflict, "edit_conflict", 412, run_state::not_run, never},
    {error_kind::precondition_required, "precondition_required", 428, run_state::not_run, never},
    {error_kind::no_configuration, "no_configuration", 503, run_state::not_run, seconds(2)},
    {error_kind::overloaded, "overloaded", 503, run_state::not_run, seconds(2)},
    {error_kind::organisation_limit, "organisation_limit", 429, run_state::not_run, seconds(2)},
    {error_kind::queue_deadline, "queue_deadline", 503, run_state::not_run, seconds(2)},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, run_state::may_have_run, never},
    {error_kind::no_serving_group, "no_serving_group", 503, run_state::not_run, seconds(5)},
    {error_kind::backend_refused, "backend_refused", 503, run_state::not_run, seconds(1)},
    {error_kind::backend_unreachable, "backend_unreachable", 503, run_state::not_run, seconds(1)},
    {error_kind::backend_lost, "backend_lost", 502, run_state::may_have_run, never},
    {error_kind::backend_mismatch, "backend_mismatch", 502, run_state::may_have_run, never},
    {error_kind::backend_truncated, "backend_truncated", 502, run_state::may_have_run, never},
    {error_kind::crashing_request, "crashing_request", 503, run_state::not_run, seconds(600)},
    {error_kind::claim_unavailable, "claim_unavailable", 503, run_state::not_run, seconds(5)},
    {error_kind::claim_running, "claim_running", 409, run_state::may_have_run, seconds(2)},
    {error_kind::claim_ran, "claim_ran", 409, run_state::ran, never},
    {error_kind::claim_unknown, "claim_unknown", 409, run_state::may_have_run, never},
    {error_kind::claim_reused, "claim_reused", 422, run_state::not_run, never},
    {error_kind::caller_left, "caller_left", 499, run_state::may_have_run, never},
    {error_kind::stopping, "stopping", 503, run_state::not_run, seconds(1)},
    {error_kind::platform_unavailable, "platform_unavailable", 503, run_state::not_run, seconds(5)},
    {error_kind::internal, "internal", 500, run_state::may_have_run, never},
}};

} // namespace

const error_answer &errorAnswer(error_kind kind)
{
    return table.at(static_cast<std::size_t>(kind));
}

const std::array<error_answer, errorKindCount> &errorAnswers()
{
    return table;
}

std::string_view runStateName(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::may_have_run:
        return "may_have_run";
    case run_state::ran:
        return "ran";
    }
    return "may_have_run";
}

} // namespace vetchpost
