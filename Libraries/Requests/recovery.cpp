// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/recovery.h"

namespace vetchpost {

namespace {

bool isKnownNotRun(attempt_failure failure)
{
    return failure == attempt_failure::not_sent || failure == attempt_failure::refused;
}

error_kind kindOf(const request_progress &progress, attempt_failure failure)
{
    if (failure == attempt_failure::foreign) {
        return error_kind::backend_mismatch;
    }
    if (progress.mayHaveRun) {
        return failure == attempt_failure::broke_off ? error_kind::backend_truncated : error_kind::backend_lost;
    }
    return failure == attempt_failure::not_sent ? error_kind::backend_unreachable : error_kind::backend_refused;
}

} // namespace

recovery planRecovery(request_progress &progress, attempt_failure failure, bool hasBudget, instant now)
{
    if (!isKnownNotRun(failure)) {
        progress.mayHaveRun = true;
    }
    if (now >= progress.deadline) {
        return {recovery_step::give_up, progress.mayHaveRun ? error_kind::deadline_exceeded : error_kind::queue_deadline};
    }
    if (progress.delivered > progress.deliveredAtResume) {
        // A stream that is interrupted often, but delivers tokens in between, may be resumed again.
        progress.resumes = 0;
    }
    const bool mayResume = progress.isResumable && progress.resumes < maxIdleResumes
        && (failure == attempt_failure::no_answer || failure == attempt_failure::broke_off);
    if (mayResume) {
        // A resumption is not a second run, and so is allowed for requests that may run only once.
        ++progress.resumes;
        progress.deliveredAtResume = progress.delivered;
        return {recovery_step::resume};
    }
    const bool mayRetry = progress.isRepeatable || !progress.mayHaveRun;
    if (!mayRetry || !hasBudget || progress.attempts >= maxAttempts) {
        return {recovery_step::give_up, kindOf(progress, failure)};
    }
    progress.resumes = 0;
    return {progress.delivered > 0 ? recovery_step::continue_elsewhere : recovery_step::retry};
}

} // namespace vetchpost
