// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_count_record.h"

#include "Libraries/Base/event_log.h"

#include <charconv>

namespace vetchpost {

namespace {

constexpr event_log feedLog("feed");
constexpr auto countKey = "vetchpost/daemons";
constexpr int mostDaemons = 100000;

} // namespace

std::optional<int> parseDaemonCount(const std::string &text)
{
    int daemons = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, daemons);
    const bool isValid = parsed.ec == std::errc() && parsed.ptr == end && daemons > 0 && daemons <= mostDaemons;
    return isValid ? std::optional(daemons) : std::nullopt;
}

daemon_count_record::daemon_count_record(key_value_service &service)
    : m_service(service)
{
}

std::optional<int> daemon_count_record::read()
{
    reason why;
    const auto entry = m_service.get(countKey, read_freshness::current, why);
    if (!entry) {
        return std::nullopt;
    }
    m_changed = entry->changed;
    m_recorded = m_changed.isNone() ? std::nullopt : parseDaemonCount(entry->value);
    if (!m_changed.isNone() && !m_recorded) {
        feedLog.write("count_unreadable", {{"value", entry->value}});
    }
    return m_recorded.value_or(0);
}

void daemon_count_record::write(int daemons)
{
    if (m_recorded == daemons) {
        return;
    }
    const auto result = m_service.compareAndSwap(countKey, m_changed, std::to_string(daemons));
    if (result.outcome == swap_outcome::applied) {
        m_changed = result.changed;
        m_recorded = daemons;
        feedLog.write("count_recorded", {{"daemons", daemons}});
    } else {
        read();
    }
}

} // namespace vetchpost
