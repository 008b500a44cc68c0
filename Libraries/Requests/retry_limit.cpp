// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/retry_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// The number of daemons assumed to share the limit until the coordinator has reported it; the target deployment has this many.
constexpr int assumedDaemons = 350;
/// The share of the limit that is used. The rest is reserve, because the daemons' windows differ.
constexpr double usedShare = 0.8;
constexpr double minRetries = 1;

} // namespace

double maxRetriesPerDaemon(int slack, std::optional<int> daemons)
{
    return std::max(minRetries, slack * usedShare / std::max(1, daemons.value_or(assumedDaemons)));
}

// A restarted daemon does not know how many retries it sent earlier within the same window, and a coordinator that has just started as well
// may report far too few daemons. So the budget starts empty, and first attempts fill it: 79 daemons that restarted at once sent
// 1,041 retries, where 273 are allowed, when each started with its part (testRetryLimit).
retry_budget initialBudget(const retry_limit &limit, std::optional<int> daemons, bool isFirstStart)
{
    const auto maximum = maxRetriesPerDaemon(limit.slack, daemons);
    return {limit.share * usedShare, maximum, isFirstStart ? maximum : 0};
}

void resizeBudget(retry_budget &budget, const retry_limit &limit, std::optional<int> daemons)
{
    budget.share = limit.share * usedShare;
    budget.maximum = maxRetriesPerDaemon(limit.slack, daemons);
    budget.available = std::min(budget.available, budget.maximum);
}

} // namespace vetchpost
