// SPDX-License-Identifier: Apache-2.0
#include "Utilities/vetchpost/operator_client.h"

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"

#include <fmt/format.h>

#include <cstdlib>

namespace vetchpost {

namespace {

constexpr duration callTimeout(30000);

std::string environmentVariable(const char *name)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? std::string() : value;
}

} // namespace

std::optional<http_reply> callDaemon(const command_options &options,
                                     const std::string &method,
                                     const std::string &target,
                                     const std::string &body,
                                     const std::vector<http_header> &headers)
{
    const auto address = parseEndpoint(options.daemonAddress);
    if (!address) {
        fmt::print(stderr, "vetchpost: {} is not an address of the form 127.0.0.1:8101\n", options.daemonAddress);
        return std::nullopt;
    }
    http_call call;
    call.to = *address;
    call.method = method;
    call.target = target;
    call.headers = headers;
    call.headers.push_back({"Authorization", "Bearer " + environmentVariable("VETCHPOST_OPERATOR_TOKEN")});
    call.body = body;
    call.receiveTimeout = callTimeout;
    reason why;
    auto reply = sendOnFreshConnection(call, why);
    if (!reply) {
        fmt::print(stderr, "vetchpost: {}\n", why.text);
    }
    return reply;
}

std::optional<Json::Value> fetchJson(const command_options &options, const std::string &target)
{
    const auto reply = callDaemon(options, "GET", target);
    if (!reply) {
        return std::nullopt;
    }
    if (!reply->isSuccess()) {
        printErrorReply(*reply);
        return std::nullopt;
    }
    return parseJson(reply->body);
}

void printErrorReply(const http_reply &reply)
{
    const auto json = parseJson(reply.body);
    if (!json || !json->isObject()) {
        fmt::print(stderr, "vetchpost: the daemon answered with status {}\n", reply.status);
        return;
    }
    const auto &error = (*json)["error"];
    fmt::print(stderr, "vetchpost: {}: {}\n", jsonString(error, "kind"), jsonString(error, "message"));
    for (const auto &problem : jsonArray(*json, "problems")) {
        fmt::print(stderr, "  {}\n", problem.asString());
    }
    for (const auto &edit : jsonArray(*json, "other_edits")) {
        fmt::print(stderr,
                   "  accepted meanwhile: revision {} by {} (edit {})\n",
                   jsonNumber(edit, "revision"),
                   jsonString(edit, "author"),
                   jsonString(edit, "edit"));
    }
}

} // namespace vetchpost
