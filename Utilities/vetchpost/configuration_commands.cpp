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

constexpr int conflictStatus = 412;

/// The file's text where it is a good configuration; else its problems are printed.
std::optional<std::string> readGoodFile(const command_options &options)
{
    const auto text = readTextFile(options.file);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", options.file);
        return std::nullopt;
    }
    std::vector<yaml_problem> problems;
    const bool isGood = readConfiguration(*text, options.file, problems).has_value();
    if (options.asJson) {
        Json::Value json;
        json["good"] = isGood;
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
    return isGood ? text : std::nullopt;
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

exit_code checkFile(const command_options &options)
{
    if (!readGoodFile(options)) {
        return exit_bad_arguments;
    }
    if (!options.asJson) {
        fmt::print("{}: good\n", options.file);
    }
    return exit_done;
}

exit_code showDifference(const command_options &options)
{
    const auto text = readGoodFile(options);
    if (!text) {
        return exit_bad_arguments;
    }
    const auto reply = callDaemon(options, "GET", "/v1/configuration");
    if (!reply) {
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printRefusal(*reply);
        return exit_refused;
    }
    fmt::print("--- in force, revision {}\n+++ {}\n{}", reply->header("ETag"), options.file, lineDifference(reply->body, *text));
    return exit_done;
}

exit_code applyFile(const command_options &options)
{
    auto quiet = options;
    quiet.asJson = false;
    const auto text = readGoodFile(quiet);
    if (!text) {
        return exit_bad_arguments;
    }
    auto base = options.base.empty() ? std::string() : "\"" + options.base + "\"";
    if (base.empty()) {
        const auto present = callDaemon(options, "GET", "/v1/configuration");
        if (!present) {
            return exit_no_daemon;
        }
        base = present->header("ETag");
    }
    const auto edit = options.editId.empty() ? newEditId() : options.editId;
    const auto author = options.author.empty() ? userName() : options.author;
    const auto reply = callDaemon(options,
                                  "PUT",
                                  "/v1/configuration",
                                  *text,
                                  {{"If-Match", base}, {"X-Edit-Id", edit}, {"X-Author", author}, {"Content-Type", "application/yaml"}});
    if (!reply) {
        fmt::print(stderr, "vetchpost: it is not known whether the edit was accepted; settle it with --edit-id {}\n", edit);
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printRefusal(*reply);
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
        printRefusal(*reply);
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

exit_code printDigest(const command_options &options)
{
    fmt::print("{}\n", keyDigest(options.key));
    return exit_done;
}

} // namespace vetchpost
