// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fmt/format.h>

#include <string_view>

namespace vetchpost {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level that is logged. The default is info.
void setLogLevel(log_level level);
/// Writes one line to standard error: the time, the level, the name of the part and the message.
void writeLogLine(log_level level, std::string_view part, std::string_view message);
/// Returns whether lines of this level are logged.
bool isLogged(log_level level);

/// The text log of one part of the program. A message is a short sentence, followed by values in the form key=value. Secrets must never be
/// logged.
class part_log
{
public:
    constexpr explicit part_log(std::string_view part)
        : m_part(part)
    {
    }

    template <class... Arguments>
    void debug(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        write(log_level::debug, format, std::forward<Arguments>(arguments)...);
    }

    template <class... Arguments>
    void info(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        write(log_level::info, format, std::forward<Arguments>(arguments)...);
    }

    template <class... Arguments>
    void warning(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        write(log_level::warning, format, std::forward<Arguments>(arguments)...);
    }

    template <class... Arguments>
    void error(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        write(log_level::error, format, std::forward<Arguments>(arguments)...);
    }

private:
    template <class... Arguments>
    void write(log_level level, fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        if (isLogged(level)) {
            writeLogLine(level, m_part, fmt::format(format, std::forward<Arguments>(arguments)...));
        }
    }

    std::string_view m_part;
};

} // namespace vetchpost
