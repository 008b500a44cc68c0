// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <ctime>

namespace vetchpost {

namespace {

constexpr auto evacuationsPath = "/evacuations";

/// Returns a calendar time in milliseconds as text (UTC).
std::string timeText(std::uint64_t milliseconds)
{
    constexpr std::uint64_t perSecond = 1000;
    const auto seconds = static_cast<std::time_t>(milliseconds / perSecond);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(seconds));
}

} // namespace

exit_code showEvacuations(const command_options &options)
{
    const auto json = fetchJson(options, evacuationsPath);
    if (!json) {
        return exit_no_daemon;
    }
    if (options.asJson) {
        fmt::print("{}\n", toJsonText(*json));
        return exit_done;
    }
    if (!jsonFlag(*json, "known")) {
        fmt::print("the daemon does not know which data centres are evacuated, or its settings have no evacuations\n");
        return exit_done;
    }
    const auto &evacuated = jsonArray(*json, "evacuated");
    for (const auto &entry : evacuated) {
        fmt::print("{:<20} evacuated since {}; {} requests of this daemon in flight there, {} groups exist there{}\n",
                   jsonString(entry, "data_centre"),
                   timeText(jsonNumber(entry, "since_ms")),
                   jsonNumber(entry, "requests"),
                   jsonNumber(entry, "groups"),
                   jsonNumber(entry, "replicas") == 0 ? "; no replica is there, so this has no effect" : "");
    }
    if (evacuated.empty()) {
        fmt::print("no data centre is evacuated\n");
    }
    return exit_done;
}

} // namespace vetchpost
