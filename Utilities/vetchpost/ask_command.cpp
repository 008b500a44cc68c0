// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/format.h>

#include <cstdlib>

namespace vetchpost {

namespace {

constexpr duration longestSilence(60000);
constexpr std::string_view dataPrefix = "data: ";

http_call makeQuestion(const command_options &options, const endpoint &address)
{
    Json::Value message;
    message["role"] = "user";
    message["content"] = options.text;
    Json::Value body;
    body["model"] = options.model;
    body["stream"] = options.isStreamed;
    body["max_tokens"] = Json::UInt64(std::strtoull(options.tokens.c_str(), nullptr, 10));
    body["messages"].append(message);
    const auto *key = std::getenv("VETCHPOST_KEY");
    http_call call;
    call.to = address;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {{"Authorization", std::string("Bearer ") + (key == nullptr ? "" : key)}, {"Content-Type", "application/json"}};
    call.body = toJsonText(body);
    call.receiveTimeout = longestSilence;
    return call;
}

exit_code printWhole(const http_call &call)
{
    reason why;
    const auto reply = sendOnFreshConnection(call, why);
    if (!reply) {
        fmt::print(stderr, "vetchpost: {}\n", why.text);
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printRefusal(*reply);
        return exit_refused;
    }
    const auto json = parseJson(reply->body).value_or(Json::Value());
    fmt::print("{}\n", jsonString(json["choices"][0]["message"], "content"));
    return exit_done;
}

exit_code printStream(const http_call &call)
{
    reason why;
    http_stream stream;
    const auto status = stream.open(call, why);
    if (!status) {
        fmt::print(stderr, "vetchpost: {}\n", why.text);
        return exit_no_daemon;
    }
    constexpr int firstError = 300;
    constexpr std::size_t largestError = 65536;
    if (*status >= firstError) {
        printRefusal({*status, stream.headers(), stream.readRest(largestError).value_or("")});
        return exit_refused;
    }
    std::string line;
    while (stream.nextLine(line, monotonicNow() + longestSilence, -1) == stream_event::line) {
        if (!line.starts_with(dataPrefix)) {
            continue;
        }
        if (line == "data: [DONE]") {
            fmt::print("\n");
            return exit_done;
        }
        const auto json = parseJson(line.substr(dataPrefix.size())).value_or(Json::Value());
        if (json.isMember("error")) {
            fmt::print(stderr, "\nvetchpost: {}: {}\n", jsonString(json["error"], "kind"), jsonString(json["error"], "message"));
            return exit_refused;
        }
        fmt::print("{}", jsonString(json["choices"][0]["delta"], "content"));
        std::fflush(stdout);
    }
    fmt::print(stderr, "\nvetchpost: the answer broke off\n");
    return exit_refused;
}

} // namespace

exit_code askModel(const command_options &options)
{
    const auto address = parseEndpoint(options.callers);
    if (!address) {
        fmt::print(stderr, "vetchpost: {} is no address of the form 127.0.0.1:8100\n", options.callers);
        return exit_bad_arguments;
    }
    const auto call = makeQuestion(options, *address);
    return options.isStreamed ? printStream(call) : printWhole(call);
}

} // namespace vetchpost
