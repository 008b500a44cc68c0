// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/retry_after.h"

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

struct retry_after_range
{
    duration minimum;
    duration maximum;
};

/// Indexed by refusal_scope. Clients retry once or twice at most, within the time limit for their answer: a retry later than the cause
/// lasts makes them late, an earlier one uses up their attempts.
constexpr std::array<retry_after_range, static_cast<std::size_t>(refusal_scope::count)> rangesByScope = {{
    // A new connection reaches another daemon.
    {duration(10), duration(30)},
    {duration(200), duration(300)},
    {duration(200), duration(300)},
    // The repair of a group takes about two seconds, but other groups of the model accept requests meanwhile.
    {duration(800), duration(1200)},
    {duration(800), duration(1200)},
}};

} // namespace

duration retryAfterFor(refusal_scope scope, std::uint64_t draw)
{
    const auto &range = rangesByScope.at(static_cast<std::size_t>(scope));
    const auto width = static_cast<std::uint64_t>((range.maximum - range.minimum).count()) + 1;
    return range.minimum + duration(static_cast<std::int64_t>(draw % width));
}

duration retryAfterWhenBlocked(duration blockedFor, std::uint64_t draw)
{
    // Jitter over a part of the wait, so that clients refused at the same time do not all retry at the first replica that is unblocked.
    constexpr int jitterDivisor = 4;
    const auto minimum = std::max(blockedFor, rangesByScope.at(static_cast<std::size_t>(refusal_scope::full_slots)).minimum);
    const auto width = static_cast<std::uint64_t>((minimum / jitterDivisor).count()) + 1;
    return minimum + duration(static_cast<std::int64_t>(draw % width));
}

refusal_scope scopeOfStaleConfiguration(bool hasAny, bool isServiceAnswering, bool isBehindPeers)
{
    if (isBehindPeers) {
        return refusal_scope::this_daemon;
    }
    if (!isServiceAnswering) {
        return refusal_scope::all_daemons;
    }
    return hasAny ? refusal_scope::this_daemon : refusal_scope::starting;
}

} // namespace vetchpost
