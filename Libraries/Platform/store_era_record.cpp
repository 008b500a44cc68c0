// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/store_era_record.h"

#include <charconv>

namespace vetchpost {

std::optional<store_era> parseEra(const std::string &text)
{
    std::uint64_t era = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, era);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return store_era(era);
}

store_era store_era_record::record(const std::string &text)
{
    const auto era = parseEra(text);
    if (!era) {
        return latest();
    }
    // Answers may overtake each other, so that one of an earlier era may be the last to arrive.
    auto known = m_latest.load();
    while (known < era->value() && !m_latest.compare_exchange_weak(known, era->value())) { }
    return *era;
}

store_era store_era_record::latest() const
{
    return store_era(m_latest);
}

} // namespace vetchpost
