// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/format.h>

namespace vetchpost {

namespace {

/// Fetches JSON from a daemon and prints it, as JSON if the options ask for it, otherwise with \a print.
template <class Print>
exit_code fetchAndPrint(const command_options &options, const std::string &target, Print print)
{
    const auto json = fetchJson(options, target);
    if (!json) {
        return exit_no_daemon;
    }
    if (options.asJson) {
        fmt::print("{}\n", toJsonText(*json));
    } else {
        print(*json);
    }
    return exit_done;
}

std::string joinTexts(const Json::Value &texts)
{
    std::string result;
    for (const auto &text : texts) {
        result += (result.empty() ? "" : ", ") + text.asString();
    }
    return result;
}

void printMembers(const Json::Value &status)
{
    std::uint64_t highestRevision = 0;
    for (const auto &member : jsonArray(status, "members")) {
        highestRevision = std::max(highestRevision, jsonNumber(member, "in_force"));
    }
    fmt::print("{:<16} {:<16} {:<9} {:>9}  {}\n", "DAEMON", "DATA CENTRE", "LIVENESS", "IN FORCE", "NOTES");
    for (const auto &member : jsonArray(status, "members")) {
        std::string notes = jsonFlag(member, "coordinates") ? "coordinates " : "";
        notes += jsonFlag(member, "stopping") ? "stopping " : "";
        notes += jsonNumber(member, "in_force") < highestRevision ? "lags" : "";
        fmt::print("{:<16} {:<16} {:<9} {:>9}  {}\n",
                   jsonString(member, "daemon"),
                   jsonString(member, "data_centre"),
                   jsonString(member, "liveness"),
                   jsonNumber(member, "in_force"),
                   notes);
    }
}

void printStatus(const Json::Value &status)
{
    printMembers(status);
    for (const auto &queue : jsonArray(status, "queues")) {
        fmt::print("queue {}: {} waiting\n", jsonString(queue, "deployment"), jsonNumber(queue, "waiting"));
    }
    for (const auto &shortage : jsonArray(status, "shortages")) {
        fmt::print("short: {} serves {} of {} replicas here\n",
                   jsonString(shortage, "deployment"),
                   jsonNumber(shortage, "serving_here"),
                   jsonNumber(shortage, "wanted_here"));
    }
}

void printGroups(const Json::Value &groups)
{
    fmt::print("{:<28} {:>10} {:<9} {:>8}  {:<12} {}\n", "GROUP", "GENERATION", "STANDING", "SECONDS", "DOMAIN", "AWAITED");
    for (const auto &group : groups) {
        fmt::print("{:<28} {:>10} {:<9} {:>8}  {:<12} {}\n",
                   jsonString(group, "group"),
                   jsonNumber(group, "generation"),
                   jsonString(group, "standing"),
                   jsonNumber(group, "standing_seconds"),
                   jsonString(group, "domain"),
                   joinTexts(jsonArray(group, "awaited")));
    }
}

void printDecisions(const Json::Value &decisions)
{
    for (const auto &decision : decisions) {
        fmt::print("{}: {}: {}\n", jsonString(decision, "group"), jsonString(decision, "action"), jsonString(decision, "why"));
        for (const auto &option : jsonArray(decision, "alternatives")) {
            fmt::print("    {:<18} {:>6} s  cost {:.0f}\n",
                       jsonString(option, "action"),
                       jsonNumber(option, "expected_seconds"),
                       option["cost"].asDouble());
        }
    }
}

} // namespace

exit_code showStatus(const command_options &options)
{
    return fetchAndPrint(options, "/v1/status", printStatus);
}

exit_code showGroups(const command_options &options)
{
    return fetchAndPrint(options, "/v1/groups", printGroups);
}

exit_code showDecisions(const command_options &options)
{
    return fetchAndPrint(options, "/v1/decisions?group=" + options.group, printDecisions);
}

const std::vector<command> &commands()
{
    static const std::vector<command> all = {
        {"check", checkConfigurationFile},
        {"diff", showConfigurationDifference},
        {"apply", applyConfigurationFile},
        {"show", showConfiguration},
        {"history", showHistory},
        {"status", showStatus},
        {"groups", showGroups},
        {"why", showDecisions},
        {"digest", printKeyDigest},
        {"ask", sendChatRequest},
        {"explain", explainRequest},
        {"crashing", showCrashingRequests},
        {"allow", allowCrashingRequest},
        {"evacuations", showEvacuations},
    };
    return all;
}

} // namespace vetchpost
