// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>

namespace vetchpost {

/// Limits the retries of a deployment to a share of its first attempts, so that retries do not amplify an overload.
struct retry_budget
{
    /// Retries that each first attempt adds.
    double share = 0.1;
    double maximum = 20;
    double available = 20;
};

inline void recordFirstAttempt(retry_budget &budget)
{
    budget.available = std::min(budget.maximum, budget.available + budget.share);
}

/// Takes one retry from the budget. Returns false if the budget is used up.
inline bool spendRetry(retry_budget &budget)
{
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace vetchpost
