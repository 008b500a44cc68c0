// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstddef>

namespace vetchpost {

/// How much a line of the log matters where not all can be written.
enum class line_weight {
    /// Left out once its part has used up its budget.
    budgeted,
    /// Of something that ended badly: left out only where the queue is full.
    kept
};

/// The lines that one part of the log may write.
struct line_budget
{
    double linesPerSecond = 40;
    /// What a quiet part may write at once.
    double most = 400;
    double available = most;
    instant refilledAt;
};

/// Whether a line may be written now; takes it out of the budget.
bool takeLine(line_budget &budget, line_weight weight, instant now);

/// Whether a line finds room in a queue of bounded size. Half of the queue is for lines that are kept.
bool hasRoom(std::size_t queuedBytes, std::size_t lineBytes, std::size_t mostBytes, line_weight weight);

} // namespace vetchpost
