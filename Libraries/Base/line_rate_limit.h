// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstddef>

namespace vetchpost {

/// The priority of a log line where not all lines can be written.
enum class line_priority {
    /// Dropped if its part exceeds its rate limit or half of the queue is in use.
    normal,
    /// Belongs to a failure; dropped only if the queue is full.
    essential
};

/// The state of the token bucket that limits how many lines one part may log.
struct line_rate_limit
{
    double linesPerSecond = 40;
    /// The number of lines that a part may log at once after a quiet time.
    double burst = 400;
    double available = burst;
    instant refilledAt;
};

/// Returns whether a line may be logged now, and takes a token from \a limit if so. Essential lines are always admitted.
bool admitLine(line_rate_limit &limit, line_priority priority, instant now);

/// Returns whether a line fits into a queue of \a maxBytes bytes. Half of the queue is reserved for essential lines.
bool fitsInQueue(std::size_t queuedBytes, std::size_t lineBytes, std::size_t maxBytes, line_priority priority);

} // namespace vetchpost
