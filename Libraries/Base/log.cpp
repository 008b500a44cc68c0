// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/log.h"

#include "Libraries/Base/instant.h"

#include <fmt/chrono.h>

#include <atomic>
#include <cstdio>

namespace vetchpost {

namespace {

std::atomic<log_level> lowestLevel = log_level::info;

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

} // namespace

void setLogLevel(log_level level)
{
    lowestLevel = level;
}

bool isLogged(log_level level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

void writeLogLine(log_level level, std::string_view part, std::string_view message)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const auto now = calendarMilliseconds();
    const auto seconds = static_cast<std::time_t>(now / millisecondsPerSecond);
    const auto line
        = fmt::format("{:%FT%T}.{:03}Z {:<7} {}: {}\n", fmt::gmtime(seconds), now % millisecondsPerSecond, levelName(level), part, message);
    // Each line is written with a single call, so that lines of different threads do not interleave.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace vetchpost
