// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/place_closure.h"

namespace vetchpost {

place_closure closureOf(const replica_constraints &table, const permit_wallet &wallet, const replica_key &replica, instant now)
{
    const auto *known = findConstraint(table, replica);
    if (known == nullptr) {
        return {};
    }
    if (known->isLeaving) {
        return {closure_cause::leaving, std::nullopt};
    }
    if (now < known->restsUntil) {
        return {closure_cause::rest, known->restsUntil};
    }
    if (known->rateLimit && !hasPermit(wallet, replica, now)) {
        return {closure_cause::limit, permitExpectedAt(wallet, replica, now)};
    }
    return {};
}

} // namespace vetchpost
