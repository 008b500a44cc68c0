// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/caller_request.h"

#include "Libraries/Base/digest.h"

namespace vetchpost {

claim_record claimOf(const caller_request &request, const daemon_id &daemon)
{
    claim_record record;
    // An organisation's keys are its own: the same key of another one is another key.
    record.key = fingerprintOf(request.owner.id.value() + "\n" + request.target.id.value() + "\n" + request.key);
    record.body = fingerprintOf(request.body);
    record.owner = request.id;
    record.daemon = daemon;
    record.claimedAt = calendarMilliseconds();
    return record;
}

} // namespace vetchpost
