// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/setting_values.h"

namespace vetchpost {

endpoint readEndpoint(yaml_reader &reader, const std::string &key)
{
    const auto text = reader.requiredString(key);
    const auto address = parseEndpoint(text);
    if (!address && !text.empty()) {
        reader.report(key, "an IP number and a port, as in 127.0.0.1:8100");
    }
    return address.value_or(endpoint());
}

duration readDuration(yaml_reader &reader, const std::string &key, int minimum, int maximum, int defaultValue)
{
    return duration(reader.integerRoundedDown(key, minimum, maximum, defaultValue));
}

log_level readLogLevel(yaml_reader &reader)
{
    const auto word = reader.choice("log-level", {"debug", "info", "warning", "error"}, "info");
    if (word == "debug") {
        return log_level::debug;
    }
    if (word == "warning") {
        return log_level::warning;
    }
    return word == "error" ? log_level::error : log_level::info;
}

} // namespace vetchpost
