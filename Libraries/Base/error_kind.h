// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace vetchpost {

/// All kinds of errors. errorAnswer() returns the answer that belongs to each.
enum class error_kind {
    malformed_request,
    body_too_large,
    head_too_large,
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

/// Whether a backend server has executed a request that failed.
enum class run_state { not_run, may_have_run, ran };

/// The answer that a client receives for one kind of error.
struct error_answer
{
    error_kind kind;
    /// The name of the error in the body of the answer and in the label of the metric.
    std::string_view name;
    int httpStatus;
    run_state ran;
    /// The time after which the client should retry; zero if a retry is of no use.
    std::chrono::seconds retryAfter;
};

/// Returns the answer to an error of kind \a kind.
const error_answer &errorAnswer(error_kind kind);
/// Returns the answers to all kinds of errors, in the order of error_kind, for metrics and documentation.
const std::array<error_answer, errorKindCount> &errorAnswers();
/// Returns the name of a run state as it stands in answers: "not_run", "may_have_run" or "ran".
std::string_view runStateName(run_state state);

/// The reason why a call returned no value.
struct reason
{
    error_kind kind = error_kind::internal;
    std::string text;
};

} // namespace vetchpost
