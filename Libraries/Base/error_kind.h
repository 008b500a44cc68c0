// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace vetchpost {

/// The closed list of what can go wrong. errorAnswer() gives the answer to each.
enum class error_kind {
    malformed_request,
    body_too_large,
    slow_sender,
    unauthorised,
    forbidden,
    unknown_path,
    unknown_model,
    method_not_allowed,
    invalid_configuration,
    edit_conflict,
    precondition_required,
    no_configuration,
    overloaded,
    organisation_limit,
    queue_deadline,
    deadline_exceeded,
    no_serving_group,
    backend_refused,
    backend_unreachable,
    backend_lost,
    backend_mismatch,
    backend_truncated,
    crashing_request,
    claim_unavailable,
    claim_running,
    claim_ran,
    claim_unknown,
    claim_reused,
    caller_left,
    stopping,
    platform_unavailable,
    internal,
    count
};

constexpr std::size_t errorKindCount = static_cast<std::size_t>(error_kind::count);

/// Whether the request that met an error has been acted on by a backend server.
enum class run_state { not_run, may_have_run, ran };

/// What a caller is told for one kind of error.
struct error_answer
{
    error_kind kind;
    /// The name in the answer's body and in the counter's label.
    std::string_view name;
    int httpStatus;
    run_state ran;
    /// Zero where coming back makes no sense.
    std::chrono::seconds retryAfter;
};

/// The answer to one kind of error.
const error_answer &errorAnswer(error_kind kind);
/// The whole table, for counters and documentation.
const std::array<error_answer, errorKindCount> &errorAnswers();
/// The word for a run state in answers: "not_run", "may_have_run" or "ran".
std::string_view runStateName(run_state state);

/// Why the last call gave no value.
struct reason
{
    error_kind kind = error_kind::internal;
    std::string text;
};

} // namespace vetchpost
