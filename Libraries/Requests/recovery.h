// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <cstdint>

namespace vetchpost {

/// How one attempt of a request ended without a complete answer.
enum class attempt_failure {
    /// Nothing was sent.
    not_sent,
    /// The backend server reported that it did not run the request.
    refused,
    /// The request was sent, and no answer was received.
    no_answer,
    /// The answer ended before it was complete.
    broke_off,
    /// The answer belonged to another request, or parts of it were missing.
    foreign,
    /// The backend server reported that the request failed while it ran.
    failed
};

/// The state of a request between two attempts.
struct request_progress
{
    /// Whether the request may run more than once.
    bool isRepeatable = true;
    /// Whether the engine can resume a stream that it still has.
    bool isResumable = false;
    /// Whether any attempt may have run.
    bool mayHaveRun = false;
    int attempts = 0;
    /// Number of resumptions since the last one that delivered a token.
    int resumes = 0;
    /// The value of delivered at the last resumption.
    std::uint64_t deliveredAtResume = 0;
    /// Number of tokens delivered to the client.
    std::uint64_t delivered = 0;
    instant deadline;
};

enum class recovery_step {
    /// Try again from the start; nothing has been delivered.
    retry,
    /// Resume the stream at the same engine.
    resume,
    /// Let another replica continue after the delivered text.
    continue_elsewhere,
    give_up
};

struct recovery
{
    recovery_step step = recovery_step::give_up;
    /// The kind of error to answer with if the step is give_up.
    error_kind kind = error_kind::internal;
};

constexpr int maxAttempts = 4;
/// Maximum number of consecutive resumptions that deliver nothing.
constexpr int maxIdleResumes = 2;

/// Records how an attempt ended, and returns the next step. \a hasBudget is whether the deployment's retry budget allows one more attempt.
/// The error kind never implies that a request did not run if any of its attempts may have run.
recovery planRecovery(request_progress &progress, attempt_failure failure, bool hasBudget, instant now);

} // namespace vetchpost
