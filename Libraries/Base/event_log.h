// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace vetchpost {

/// One value of a log event.
class event_value
{
public:
    event_value(std::string_view text)
        : m_value(std::string(text))
    {
    }
    event_value(const std::string &text)
        : m_value(text)
    {
    }
    event_value(const char *text)
        : m_value(std::string(text))
    {
    }
    event_value(bool flag)
        : m_value(flag)
    {
    }
    event_value(double number)
        : m_value(number)
    {
    }
    template <class Number>
    requires(std::is_integral_v<Number> && !std::is_same_v<Number, bool>) event_value(Number number)
        : m_value(static_cast<std::int64_t>(number))
    {
    }

    void appendTo(std::string &line) const;

private:
    std::variant<std::string, bool, double, std::int64_t> m_value;
};

struct event_field
{
    std::string_view name;
    event_value value;
};

/// The structured log of one part: one JSON object a line on standard output. Never blocks: lines wait in a bounded queue for a thread that
/// writes them. They are counted and left out when it is full, or when their part has used up its budget of lines. Secrets and prompts are
/// never logged.
class event_log
{
public:
    constexpr explicit event_log(std::string_view part)
        : m_part(part)
    {
    }

    void write(std::string_view event, std::initializer_list<event_field> fields) const;
    /// Writes a line beyond the part's budget: it belongs to something that ended badly.
    void writeKept(std::string_view event, std::initializer_list<event_field> fields) const;

private:
    std::string_view m_part;
};

/// The name that all lines of this process carry.
void setEventLogDaemon(const std::string &daemon);
/// Without the log nothing is written and nothing is counted as left out.
void setEventLogOn(bool isOn);
/// Starts the thread that writes; before it, lines only queue up. \a beforeWriting is called on it at least twice a second, and a last time
/// at the end, to write what was gathered meanwhile.
void startEventLog(std::function<void()> beforeWriting = {});
/// Writes what is left and ends the thread.
void stopEventLog();
/// Lines that were left out since the start.
std::uint64_t droppedLogLines();
/// ... of each part.
std::map<std::string, std::uint64_t> droppedLogLinesByPart();

} // namespace vetchpost
