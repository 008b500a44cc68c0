// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/line_budget.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr std::size_t partForBudgetedLines = 2;

} // namespace

bool takeLine(line_budget &budget, line_weight weight, instant now)
{
    const auto passed = secondsOf(now - budget.refilledAt);
    if (passed > 0) {
        budget.available = std::min(budget.most, budget.available + passed * budget.linesPerSecond);
        budget.refilledAt = now;
    }
    const bool isAllowed = weight == line_weight::kept || budget.available >= 1;
    if (isAllowed) {
        // What is kept counts too, so that a part in trouble says less of everything else.
        budget.available = std::max(0.0, budget.available - 1);
    }
    return isAllowed;
}

bool hasRoom(std::size_t queuedBytes, std::size_t lineBytes, std::size_t mostBytes, line_weight weight)
{
    const auto most = weight == line_weight::kept ? mostBytes : mostBytes / partForBudgetedLines;
    return queuedBytes + lineBytes <= most;
}

} // namespace vetchpost
