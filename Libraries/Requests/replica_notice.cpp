// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace vetchpost {

namespace {

/// A higher limit than this would have no effect, as no replica is sent as many requests.
constexpr double maxRateLimit = 1e6;

std::optional<double> parseDecimal(const std::string &text)
{
    double value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool isValid = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(value);
    return isValid ? std::optional(value) : std::nullopt;
}

} // namespace

cold_notice parseColdTimes(const std::vector<std::string> &values)
{
    cold_notice notice;
    for (const auto &text : values) {
        std::uint32_t value = 0;
        const auto *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        const bool isValid = parsed.ec == std::errc() && parsed.ptr == end;
        if (isValid) {
            notice.left = std::max(notice.left.value_or(duration()), duration(value));
        }
        if (!isValid || values.size() > 1) {
            notice.unreadable += (notice.unreadable.empty() ? "" : ", ") + text;
        }
    }
    if (values.size() == 1 && values.front().empty()) {
        notice.unreadable = "(empty)";
    }
    return notice;
}

bool isDecimal(const std::string &text)
{
    return parseDecimal(text).has_value();
}

std::optional<double> parseRateLimit(const std::string &text)
{
    const auto value = parseDecimal(text);
    if (!value || *value < 0) {
        return std::nullopt;
    }
    return std::clamp(*value, minRateLimit, maxRateLimit);
}

std::optional<duration> parseBackoff(const std::string &text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const auto seconds = parseDecimal(text);
    if (!seconds) {
        return unreadableBackoff;
    }
    if (*seconds <= 0) {
        return std::nullopt;
    }
    const auto maxSeconds = secondsOf(maxBackoff);
    // Rounded up, because a request must not be sent even a fraction of a millisecond early.
    return duration(static_cast<std::int64_t>(std::ceil(std::min(*seconds, maxSeconds) * 1000)));
}

} // namespace vetchpost
