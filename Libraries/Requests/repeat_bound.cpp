// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/repeat_bound.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// How many daemons share the bound where the coordinator has not said it yet: as many as the target's deployment has.
constexpr int assumedDaemons = 350;
/// Of the bound a part is left for the differences between the daemons' windows.
constexpr double usedShare = 0.8;
constexpr double leastRepeats = 1;

} // namespace

double repeatsAtOnce(int slack, std::optional<int> daemons)
{
    return std::max(leastRepeats, slack * usedShare / std::max(1, daemons.value_or(assumedDaemons)));
}

// A daemon that starts again does not know what it sent before it ended, within the same window, and may be told a number of daemons that
// is far too small, since the coordinator has just started as well. So it holds nothing until it has earned it by first tries: 79 daemons
// that start at once sent 1,041 repeats of 273 when each began with its part (testRepeatBound).
retry_budget startBudget(const repeat_bound &bound, std::optional<int> daemons, bool isFirstStart)
{
    const auto most = repeatsAtOnce(bound.slack, daemons);
    return {bound.share * usedShare, most, isFirstStart ? most : 0};
}

void divideBudget(retry_budget &budget, const repeat_bound &bound, std::optional<int> daemons)
{
    budget.share = bound.share * usedShare;
    budget.most = repeatsAtOnce(bound.slack, daemons);
    budget.available = std::min(budget.available, budget.most);
}

} // namespace vetchpost
