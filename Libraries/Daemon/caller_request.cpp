// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/caller_request.h"

#include "Libraries/Base/digest.h"

namespace vetchpost {

claim_record claimOf(const caller_request &request, const daemon_id &daemon)
{
    claim_record record;
    // Idempotency keys are scoped to the organisation and deployment.
    record.key = fingerprintOf(request.callerOrganisation.id.value() + "\n" + request.target.id.value() + "\n" + request.key);
    record.body = fingerprintOf(request.body);
    record.owner = request.id;
    record.daemon = daemon;
    record.claimedAt = calendarMilliseconds();
    return record;
}

} // namespace vetchpost
