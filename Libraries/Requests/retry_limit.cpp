// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/retry_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// The number of daemons assumed to share the limit while it is not known; the target deployment has this many.
constexpr int assumedDaemons = 350;
/// The share of the limit that is used. The rest is reserve, because the daemons' windows differ.
constexpr double usedShare = 0.8;
constexpr double minRetries = 1;

} // namespace

double maxRetriesPerDaemon(int slack, std::optional<int> daemons)
{
    return std::max(minRetries, slack * usedShare / std::max(1, daemons.value_or(assumedDaemons)));
}

// What the daemon holds when it learns the number of daemons, and what its first attempts have earned since, is part of the grant:
// otherwise a window could hold both.
void updateRetries(limited_retries &retries, const retry_limit &limit, std::optional<int> daemons, duration heldFor)
{
    auto &budget = retries.budget;
    if (daemons && !retries.isCountKnown) {
        retries.isSlackGranted = false;
        retries.earned = budget.available;
    }
    retries.isCountKnown = daemons.has_value();
    budget.share = limit.share * usedShare;
    budget.maximum = maxRetriesPerDaemon(limit.slack, daemons);
    if (!retries.isSlackGranted && heldFor >= limit.window) {
        retries.isSlackGranted = true;
        budget.available += std::max(0.0, budget.maximum - retries.earned);
    }
    budget.available = std::min(budget.available, budget.maximum);
}

void recordFirstAttempt(limited_retries &retries)
{
    retries.earned += retries.isSlackGranted ? 0 : retries.budget.share;
    recordFirstAttempt(retries.budget);
}

} // namespace vetchpost
