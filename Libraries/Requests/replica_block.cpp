// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_block.h"

namespace vetchpost {

replica_block blockOf(const replica_constraints &table, const permit_holder &holder, const replica_key &replica, instant now)
{
    const auto *known = findConstraint(table, replica);
    if (known == nullptr) {
        return {};
    }
    if (known->isLeaving) {
        return {block_cause::leaving, std::nullopt};
    }
    if (now < known->backoffUntil) {
        return {block_cause::backoff, known->backoffUntil};
    }
    if (known->rateLimit && !hasPermit(holder, replica, now)) {
        return {block_cause::limit, permitExpectedAt(holder, replica, now)};
    }
    return {};
}

replica_block blockOf(const cold_pacing &pacing, const replica_key &replica, instant now)
{
    const auto until = coldBlockUntil(pacing, replica, now);
    return until ? replica_block{block_cause::cold, until} : replica_block();
}

} // namespace vetchpost
