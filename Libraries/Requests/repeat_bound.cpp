// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/repeat_bound.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// How many daemons share the bound where the coordinator has not said it yet: more than there are anywhere today but for the largest
/// deployment, which is told within a second.
constexpr int assumedDaemons = 100;
/// Of the bound a part is left for the differences between the daemons' windows.
constexpr double usedShare = 0.8;
constexpr double leastRepeats = 1;

} // namespace

double repeatsAtOnce(int slack, std::optional<int> daemons)
{
    return std::max(leastRepeats, slack * usedShare / std::max(1, daemons.value_or(assumedDaemons)));
}

retry_budget startBudget(const repeat_bound &bound, std::optional<int> daemons, bool /*isFirstStart*/)
{
    const auto most = repeatsAtOnce(bound.slack, daemons);
    return {bound.share * usedShare, most, most};
}

void divideBudget(retry_budget &budget, const repeat_bound &bound, std::optional<int> daemons)
{
    budget.share = bound.share * usedShare;
    budget.most = repeatsAtOnce(bound.slack, daemons);
    budget.available = std::min(budget.available, budget.most);
}

} // namespace vetchpost
