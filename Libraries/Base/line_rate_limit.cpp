// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/line_rate_limit.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr std::size_t queueDivisorForNormalLines = 2;

} // namespace

bool admitLine(line_rate_limit &limit, line_priority priority, instant now)
{
    const auto passed = secondsOf(now - limit.refilledAt);
    if (passed > 0) {
        limit.available = std::min(limit.burst, limit.available + passed * limit.linesPerSecond);
        limit.refilledAt = now;
    }
    const bool isAllowed = priority == line_priority::essential || limit.available >= 1;
    if (isAllowed) {
        // Essential lines use tokens too, so that a part with failures logs fewer other lines.
        limit.available = std::max(0.0, limit.available - 1);
    }
    return isAllowed;
}

bool fitsInQueue(std::size_t queuedBytes, std::size_t lineBytes, std::size_t maxBytes, line_priority priority)
{
    const auto usableBytes = priority == line_priority::essential ? maxBytes : maxBytes / queueDivisorForNormalLines;
    return queuedBytes + lineBytes <= usableBytes;
}

} // namespace vetchpost
