// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <cstdint>

namespace vetchpost {

/// How one try of a request ended without its whole answer.
enum class try_failure {
    /// No byte of it left.
    not_sent,
    /// The backend server said itself that it did not run.
    refused,
    /// It was sent; nothing came back.
    no_answer,
    /// The answer broke off.
    broke_off,
    /// The answer was another's, or had a gap.
    foreign,
    /// The backend server answered that it failed while it ran.
    failed
};

/// What is known of a request between two tries.
struct request_progress
{
    /// It may run more than once.
    bool isRepeatable = true;
    /// The engine can take up a stream that it still has.
    bool isResumable = false;
    /// Some try may have run.
    bool mayHaveRun = false;
    int tries = 0;
    /// Resumptions since the last one that brought a token.
    int resumes = 0;
    std::uint64_t deliveredAtResume = 0;
    /// Tokens that have reached the caller.
    std::uint64_t delivered = 0;
    instant deadline;
};

enum class recovery_step {
    /// Another try from the start; nothing has been delivered.
    retry,
    /// Take up the stream at the same engine.
    resume,
    /// Another replica goes on after the delivered text.
    continue_elsewhere,
    give_up
};

struct recovery
{
    recovery_step step = recovery_step::give_up;
    /// The final answer's kind where it is given up.
    error_kind kind = error_kind::internal;
};

constexpr int mostTries = 4;
/// Resumptions one after another that bring nothing.
constexpr int mostIdleResumes = 2;

/// Takes in how a try ended, and says what comes next. \a hasBudget tells whether the deployment's retry budget allows one
/// more try. It never says that a request did not run when any of its tries may have.
recovery afterFailure(request_progress &progress, try_failure failure, bool hasBudget, instant now);

} // namespace vetchpost
