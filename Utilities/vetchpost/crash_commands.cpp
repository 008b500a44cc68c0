// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/format.h>

namespace vetchpost {

namespace {

constexpr auto crashingRequestsPath = "/crashing-requests";

} // namespace

exit_code showCrashingRequests(const command_options &options)
{
    const auto json = fetchJson(options, crashingRequestsPath);
    if (!json) {
        return exit_no_daemon;
    }
    if (options.asJson) {
        fmt::print("{}\n", toJsonText(*json));
        return exit_done;
    }
    for (const auto &request : jsonArray(*json, "refused")) {
        fmt::print("{}  {:<20} {} replicas terminated while running it, the last {:.0f} s ago; refused for another {:.0f} s\n",
                   jsonString(request, "identity"),
                   jsonString(request, "organisation"),
                   jsonNumber(request, "replicas_ended"),
                   request["last_end_seconds_ago"].asDouble(),
                   request["refused_for_seconds"].asDouble());
    }
    for (const auto &part : jsonArray(*json, "refused_parts")) {
        fmt::print("{}  part of prompts for {}: {} replicas terminated while running requests with it, the last {:.0f} s ago; refused for "
                   "another {:.0f} s\n",
                   jsonString(part, "part"),
                   jsonString(part, "model"),
                   jsonNumber(part, "replicas_ended"),
                   part["last_end_seconds_ago"].asDouble(),
                   part["refused_for_seconds"].asDouble());
    }
    return exit_done;
}

exit_code allowCrashingRequest(const command_options &options)
{
    const auto reply = callDaemon(options, "POST", std::string(crashingRequestsPath) + "?allow=" + options.identity, {}, {});
    if (!reply) {
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        fmt::print(stderr, "vetchpost: {} is not refused\n", options.identity);
        return exit_refused;
    }
    fmt::print("{} is allowed again\n", options.identity);
    return exit_done;
}

} // namespace vetchpost
