// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>

namespace vetchpost {

/// Bounds the retries of a deployment to a share of its first tries, so that a brown-out is not fed by retries.
struct retry_budget
{
    /// What each first try adds.
    double share = 0.1;
    double most = 20;
    double available = 20;
};

inline void noteFirstTry(retry_budget &budget)
{
    budget.available = std::min(budget.most, budget.available + budget.share);
}

/// Takes one retry out of the budget; false where it is used up.
inline bool takeRetry(retry_budget &budget)
{
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace vetchpost
