// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"
#include "Utilities/vetchpost/commands.h"
#include "Utilities/vetchpost/operator_client.h"

#include <fmt/format.h>

#include <cstdlib>

namespace vetchpost {

namespace {

constexpr duration idleTimeout(60000);
constexpr std::string_view dataPrefix = "data: ";

http_call makeChatRequest(const command_options &options, const endpoint &address)
{
    Json::Value message;
    message["role"] = "user";
    message["content"] = options.prompt;
    Json::Value body;
    body["model"] = options.model;
    body["stream"] = options.isStreamed;
    body["max_tokens"] = Json::UInt64(std::strtoull(options.maxTokens.c_str(), nullptr, 10));
    body["messages"].append(message);
    const auto *key = std::getenv("VETCHPOST_KEY");
    http_call call;
    call.to = address;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {{"Authorization", std::string("Bearer ") + (key == nullptr ? "" : key)}, {"Content-Type", "application/json"}};
    call.body = toJsonText(body);
    call.receiveTimeout = idleTimeout;
    return call;
}

exit_code printAnswer(const http_call &call)
{
    reason why;
    const auto reply = sendOnFreshConnection(call, why);
    if (!reply) {
        fmt::print(stderr, "vetchpost: {}\n", why.text);
        return exit_no_daemon;
    }
    if (!reply->isSuccess()) {
        printErrorReply(*reply);
        return exit_refused;
    }
    const auto json = parseJson(reply->body).value_or(Json::Value());
    fmt::print("{}\n", jsonString(json["choices"][0]["message"], "content"));
    return exit_done;
}

exit_code printAnswerStream(const http_call &call)
{
    reason why;
    http_stream stream;
    const auto status = stream.open(call, why);
    if (!status) {
        fmt::print(stderr, "vetchpost: {}\n", why.text);
        return exit_no_daemon;
    }
    constexpr int firstErrorStatus = 300;
    constexpr std::size_t maxErrorBytes = 65536;
    if (*status >= firstErrorStatus) {
        printErrorReply({*status, stream.headers(), stream.readRest(maxErrorBytes).value_or("")});
        return exit_refused;
    }
    std::string line;
    while (stream.nextLine(line, monotonicNow() + idleTimeout, -1) == stream_event::line) {
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
    fmt::print(stderr, "\nvetchpost: the answer was cut off\n");
    return exit_refused;
}

} // namespace

exit_code sendChatRequest(const command_options &options)
{
    const auto address = parseEndpoint(options.callersAddress);
    if (!address) {
        fmt::print(stderr, "vetchpost: {} is not an address of the form 127.0.0.1:8100\n", options.callersAddress);
        return exit_bad_arguments;
    }
    const auto call = makeChatRequest(options, *address);
    return options.isStreamed ? printAnswerStream(call) : printAnswer(call);
}

} // namespace vetchpost
