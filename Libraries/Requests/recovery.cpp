// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/recovery.h"

namespace vetchpost {

namespace {

bool hasCertainlyNotRun(try_failure failure)
{
    return failure == try_failure::not_sent || failure == try_failure::refused;
}

error_kind kindOf(const request_progress &progress, try_failure failure)
{
    if (failure == try_failure::foreign) {
        return error_kind::backend_mismatch;
    }
    if (progress.mayHaveRun) {
        return failure == try_failure::broke_off ? error_kind::backend_truncated : error_kind::backend_lost;
    }
    return failure == try_failure::not_sent ? error_kind::backend_unreachable : error_kind::backend_refused;
}

} // namespace

recovery afterFailure(request_progress &progress, try_failure failure, bool hasBudget, instant now)
{
    if (!hasCertainlyNotRun(failure)) {
        progress.mayHaveRun = true;
    }
    if (now >= progress.deadline) {
        return {recovery_step::give_up, progress.mayHaveRun ? error_kind::deadline_exceeded : error_kind::queue_deadline};
    }
    if (progress.delivered > progress.deliveredAtResume) {
        // A stream that is slow and breaks often still comes on.
        progress.resumes = 0;
    }
    const bool mayResume = progress.isResumable && progress.resumes < mostIdleResumes
        && (failure == try_failure::no_answer || failure == try_failure::broke_off);
    if (mayResume) {
        // Taking up a stream is no second run: it is allowed for requests that may run only once.
        ++progress.resumes;
        progress.deliveredAtResume = progress.delivered;
        return {recovery_step::resume};
    }
    const bool mayTryAgain = progress.isRepeatable || !progress.mayHaveRun;
    if (!mayTryAgain || !hasBudget || progress.tries >= mostTries) {
        return {recovery_step::give_up, kindOf(progress, failure)};
    }
    progress.resumes = 0;
    return {progress.delivered > 0 ? recovery_step::continue_elsewhere : recovery_step::retry};
}

} // namespace vetchpost
