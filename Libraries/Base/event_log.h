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

/// The value of a field of a log event.
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

/// The structured log of one part of the program: one JSON object per line on standard output. Logging never blocks on the output: lines
/// wait in a bounded queue for a writer thread. A line is dropped and counted when the queue is full or when its part exceeds its rate
/// limit. Secrets and prompts must never be logged.
class event_log
{
public:
    constexpr explicit event_log(std::string_view part)
        : m_part(part)
    {
    }

    /// Queues a line, subject to the rate limit of the part.
    void write(std::string_view event, std::initializer_list<event_field> fields) const;
    /// Queues a line regardless of the rate limit of the part. For events that belong to a failure.
    void writeEssential(std::string_view event, std::initializer_list<event_field> fields) const;

private:
    std::string_view m_part;
};

/// Sets the name of the daemon that all lines of this process carry.
void setEventLogDaemon(const std::string &daemon);
/// Switches the log on or off. While it is off, nothing is written and nothing is counted as dropped.
void setEventLogOn(bool isOn);
/// Starts the writer thread; until then, lines only wait in the queue. The writer thread calls \a beforeWriting at least every 700 ms,
/// unless a slow reader delays it, and once more when it stops, so that events which are collected elsewhere can be logged.
void startEventLog(std::function<void()> beforeWriting = {});
/// Writes the remaining lines and stops the writer thread.
void stopEventLog();
/// Returns the number of lines that were dropped since the start.
std::uint64_t droppedLogLines();
/// Returns the number of lines that were dropped since the start, by part.
std::map<std::string, std::uint64_t> droppedLogLinesByPart();

} // namespace vetchpost
