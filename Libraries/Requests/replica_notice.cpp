// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace vetchpost {

namespace {

/// Above this a limit limits nothing that one replica could be sent.
constexpr double largestRateLimit = 1e6;

std::optional<double> decimalOf(const std::string &text)
{
    double value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool isRead = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(value);
    return isRead ? std::optional(value) : std::nullopt;
}

} // namespace

bool isDecimal(const std::string &text)
{
    return decimalOf(text).has_value();
}

std::optional<double> rateLimitOf(const std::string &text)
{
    const auto value = decimalOf(text);
    if (!value || *value < 0) {
        return std::nullopt;
    }
    return std::clamp(*value, leastRateLimit, largestRateLimit);
}

std::optional<duration> restOf(const std::string &text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const auto seconds = decimalOf(text);
    if (!seconds) {
        return unreadableRest;
    }
    if (*seconds <= 0) {
        return std::nullopt;
    }
    const auto longest = secondsOf(longestRest);
    // Rounded up: a request that comes a fraction of a millisecond early would come too early.
    return duration(static_cast<std::int64_t>(std::ceil(std::min(*seconds, longest) * 1000)));
}

} // namespace vetchpost
