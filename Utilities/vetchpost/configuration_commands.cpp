// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"
#include "Libraries/Configuration/configuration.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/line_difference.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/format.h>

#include <cstdlib>
#include <random>

namespace vetchpost {

namespace {

/// HTTP status with which a daemon refuses an edit because another one was accepted first.
constexpr int conflictStatus = 412;

/// Returns the text of the configuration file if it is valid. Prints its problems, or with --json the result of the check, and returns
/// nothing if it cannot be read or is invalid.
std::optional<std::string> readValidFile(const command_options &options)
{
    const auto text = readTextFile(options.file);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", options.file);
        return std::nullopt;
    }
    std::vector<yaml_problem> problems;
    const bool isValid = readConfiguration(*text, options.file, problems).has_value();
    if (options.asJson) {
        Json::Value json;
        json["good"] = isValid;
        json["problems"] = Json::Value(Json::arrayValue);
        for (const auto &problem : problems) {
            json["problems"].append(problem.text());
        }
        fmt::print("{}\n", toJsonText(json));
    } else {
        for (const auto &problem : problems) {
            fmt::print(stderr, "{}\n", problem.text());
        }
    }
    return isValid ? text : std::nullopt;
}

std::string newEditId()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

std::string userName()
{
    const auto *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

} // namespace

exit_code checkConfigurationFile(const command_options &options)
{
    if (!readValidFile(options)) {
        return exit_bad_arguments;
    }
    if (!options.asJson) {
        fmt::print("{}: good\n", options.file);
    }
    return exit_done;
}

exit_code showConfigurationDifference(const command_options &options)
{
    const auto text = readValidFile(options);
    if (!text) {
        return exit_bad_arguments;
    }
    const auto reply = callDaemon(options, "GET", "/v1/configuration");
    if (!reply) {
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printErrorReply(*reply);
        return exit_refused;
    }
    fmt::print("--- in force, revision {}\n+++ {}\n{}", reply->header("ETag"), options.file, lineDifference(reply->body, *text));
    return exit_done;
}

exit_code applyConfigurationFile(const command_options &options)
{
    auto optionsWithoutJson = options;
    optionsWithoutJson.asJson = false;
    const auto text = readValidFile(optionsWithoutJson);
    if (!text) {
        return exit_bad_arguments;
    }
    auto baseRevision = options.baseRevision.empty() ? std::string() : "\"" + options.baseRevision + "\"";
    if (baseRevision.empty()) {
        const auto current = callDaemon(options, "GET", "/v1/configuration");
        if (!current) {
            return exit_no_daemon;
        }
        baseRevision = current->header("ETag");
    }
    const auto edit = options.editId.empty() ? newEditId() : options.editId;
    const auto author = options.author.empty() ? userName() : options.author;
    const auto reply
        = callDaemon(options,
                     "PUT",
                     "/v1/configuration",
                     *text,
                     {{"If-Match", baseRevision}, {"X-Edit-Id", edit}, {"X-Author", author}, {"Content-Type", "application/yaml"}});
    if (!reply) {
        fmt::print(
            stderr, "vetchpost: it is not known whether the edit was accepted; repeat the command with --edit-id {} to settle it\n", edit);
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printErrorReply(*reply);
        return reply->status == conflictStatus ? exit_conflict : exit_refused;
    }
    const auto accepted = jsonNumber(parseJson(reply->body).value_or(Json::Value()), "accepted");
    if (options.asJson) {
        fmt::print("{}\n", reply->body);
    } else {
        fmt::print("accepted as revision {} (edit {})\n", accepted, edit);
    }
    return exit_done;
}

exit_code showConfiguration(const command_options &options)
{
    const auto reply = callDaemon(options, "GET", "/v1/configuration");
    if (!reply) {
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printErrorReply(*reply);
        return exit_refused;
    }
    fmt::print("{}", reply->body);
    return exit_done;
}

exit_code showHistory(const command_options &options)
{
    const auto history = fetchJson(options, "/v1/configuration/history");
    if (!history) {
        return exit_no_daemon;
    }
    if (options.asJson) {
        fmt::print("{}\n", toJsonText(*history));
        return exit_done;
    }
    for (const auto &edit : *history) {
        fmt::print("{:>8}  {:<20}  edit {}\n", jsonNumber(edit, "revision"), jsonString(edit, "author"), jsonString(edit, "edit"));
    }
    return exit_done;
}

exit_code printKeyDigest(const command_options &options)
{
    fmt::print("{}\n", keyDigest(options.key));
    return exit_done;
}

} // namespace vetchpost
