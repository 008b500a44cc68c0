// SPDX-License-Identifier: Apache-2.0
#include "Tests/Suspension/suspendedClock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

std::atomic<std::int64_t> suspendedSeconds = 0;
std::atomic<std::int64_t> suspendedNanoseconds = 0;
constexpr std::int64_t nanosecondsPerSecond = 1000000000;

} // namespace

// Replaces the C library's function in this test program only.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)) {
        time->tv_sec += suspendedSeconds;
        time->tv_nsec += suspendedNanoseconds;
        time->tv_sec += time->tv_nsec / nanosecondsPerSecond;
        time->tv_nsec %= nanosecondsPerSecond;
    }
    return result;
}

namespace vetchpost::test {

void suspend(duration time)
{
    const auto nanoseconds = suspendedNanoseconds + std::chrono::nanoseconds(time).count();
    suspendedSeconds += nanoseconds / nanosecondsPerSecond;
    suspendedNanoseconds = nanoseconds % nanosecondsPerSecond;
}

} // namespace vetchpost::test
