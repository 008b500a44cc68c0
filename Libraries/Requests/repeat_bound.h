// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/retry_budget.h"

#include <optional>

namespace vetchpost {

/// What all daemons together may send beyond the first try of each request, within a window.
struct repeat_bound
{
    /// Of the first tries.
    double share = 0;
    /// ... and so many besides.
    int slack = 0;
};

/// How many repeats one daemon may hold ready, of the \a slack that all have together. Nothing where their number is not known.
double repeatsAtOnce(int slack, std::optional<int> daemons);

/// The budget of a daemon that starts: its whole part only where no daemon has run before (\a isFirstStart), else nothing.
retry_budget startBudget(const repeat_bound &bound, std::optional<int> daemons, bool isFirstStart);
/// Fits a budget to the number of daemons that share the bound now.
void divideBudget(retry_budget &budget, const repeat_bound &bound, std::optional<int> daemons);

} // namespace vetchpost
