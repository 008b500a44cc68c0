// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>
#include <thread>

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

/// The present, from the machine's monotonic clock that counts the time of a suspension too. The steady clock stands still meanwhile: keys
/// that had been withdrawn were taken, and leases that had lapsed were held, for as long as the machine had been suspended. Waits still run
/// on the steady clock: whoever wakes looks here what time it is, and none waits for longer than longestWait where an age depends on it.
inline instant monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// A wait that a suspension has stretched ends so soon after it: a quarter of a second is within the half by which an answer may be late.
constexpr duration longestWait(250);

/// Sleeps until then by the clock above; a suspension stretches it by no more than longestWait.
inline void sleepUntil(instant end)
{
    for (auto now = monotonicNow(); now < end; now = monotonicNow()) {
        std::this_thread::sleep_for(std::min(longestWait, end - now));
    }
}

/// Milliseconds of the calendar clock, for records that other processes read; never for a decision of safety.
inline std::int64_t calendarMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace vetchpost
