// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>
#include <thread>

namespace vetchpost {

/// The clock type of all decisions. Only the outer layers read the real clock; tests and benchmarks supply their own times.
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

using duration = decision_clock::duration;
/// A point in time on the monotonic clock of this process, in milliseconds. It must not be compared between processes.
using instant = decision_clock::time_point;

/// Returns a duration in seconds, the unit of metrics.
inline double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Returns the current time on the machine's monotonic clock, which also counts the time for which the machine is suspended. The steady
/// clock of the standard library stops during a suspension, so that revoked keys would be accepted, and expired leases would be treated as
/// held, for that much longer. Waits still use the steady clock. Code that wakes up must read the time from here, and must not wait longer
/// than maxSteadyWait at a time if an age depends on it.
inline instant monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// The longest single wait on the steady clock. A wait that a suspension has prolonged ends within this time after the suspension; 250 ms
/// is within the 500 ms by which an answer may be late.
constexpr duration maxSteadyWait(250);

/// Sleeps until \a end on the clock of monotonicNow(). A suspension prolongs the sleep by at most maxSteadyWait.
inline void sleepUntil(instant end)
{
    for (auto now = monotonicNow(); now < end; now = monotonicNow()) {
        std::this_thread::sleep_for(std::min(maxSteadyWait, end - now));
    }
}

/// Returns the calendar time in milliseconds since the Unix epoch, for records that other processes read. Decisions that affect safety must
/// not depend on it.
inline std::int64_t calendarMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace vetchpost
