// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>

namespace vetchpost {

/// The clock of all decisions. Only the shells read the real one; tests and benchmarks supply their own.
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

using duration = decision_clock::duration;
/// A point on a monotonic clock of this process, in milliseconds. Never compared between processes.
using instant = decision_clock::time_point;

/// For figures, which are told in seconds.
inline double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// The present, from the monotonic clock of the machine.
inline instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Milliseconds of the calendar clock, for records that other processes read; never for a decision of safety.
inline std::int64_t calendarMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace vetchpost
