// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/retry_budget.h"

#include <optional>

namespace vetchpost {

/// The number of retries that all daemons together may send within a window: share x first attempts + slack.
struct retry_limit
{
    /// Retries per first attempt.
    double share = 0;
    /// Retries allowed in addition to the share.
    int slack = 0;
};

/// Returns how many retries one daemon may accumulate in its budget, as its part of the \a slack of all \a daemons. \a daemons is empty if
/// their number is unknown.
double maxRetriesPerDaemon(int slack, std::optional<int> daemons);

/// Returns the budget of a daemon that starts: its full part of the slack if no daemon has run before (\a isFirstStart), otherwise an empty
/// budget.
retry_budget initialBudget(const retry_limit &limit, std::optional<int> daemons, bool isFirstStart);
/// Adjusts a budget to the number of daemons that now share the limit.
void resizeBudget(retry_budget &budget, const retry_limit &limit, std::optional<int> daemons);

} // namespace vetchpost
