// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Engines/engine_client.h"

namespace vetchpost {

namespace {

constexpr int httpConflict = 409;
constexpr duration connectTimeout(1000);
constexpr duration cancelTimeout(1000);

http_call makePostCall(const endpoint &to, const std::string &target, const Json::Value &body, duration timeout)
{
    http_call call;
    call.to = to;
    call.method = "POST";
    call.target = target;
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = toJsonText(body);
    call.connectTimeout = std::min(connectTimeout, timeout);
    call.receiveTimeout = timeout;
    return call;
}

} // namespace

order_outcome sendEngineOrder(const endpoint &to, const engine_order &order, duration timeout)
{
    reason why;
    const auto reply = sendOnFreshConnection(makePostCall(to, "/v1/orders", toJson(order), timeout), why);
    if (!reply) {
        return why.kind == error_kind::backend_unreachable ? order_outcome::not_sent : order_outcome::unknown;
    }
    if (reply->status == httpConflict) {
        return order_outcome::stale;
    }
    return reply->isSuccess() ? order_outcome::accepted : order_outcome::unknown;
}

std::optional<engine_state> fetchEngineState(http_connection_pool &connections, const endpoint &from, duration timeout, reason &lastReason)
{
    http_call call;
    call.to = from;
    call.target = "/v1/state";
    call.connectTimeout = timeout;
    call.receiveTimeout = timeout;
    const auto reply = connections.send(call, lastReason);
    if (!reply) {
        return std::nullopt;
    }
    const auto json = reply->isSuccess() ? parseJson(reply->body) : std::nullopt;
    auto state = json ? engineStateFrom(*json) : std::nullopt;
    if (!state) {
        lastReason = {error_kind::backend_mismatch, "the reply is not a valid engine state"};
    }
    return state;
}

http_call makeCompletionCall(const completion_call &completion, duration receiveTimeout)
{
    Json::Value body = completion.body;
    body["request_id"] = completion.request.value();
    body["group"] = completion.group.value();
    body["generation"] = Json::UInt64(completion.expected.value());
    body["priority"] = completion.priority;
    body["first_index"] = Json::UInt64(completion.firstIndex);
    if (!completion.deliveredText.empty()) {
        body["delivered_text"] = completion.deliveredText;
    }
    return makePostCall(completion.leader, "/v1/completions", body, receiveTimeout);
}

http_call makeResumeCall(const endpoint &leader, const request_id &request, std::uint64_t firstIndex, duration receiveTimeout)
{
    Json::Value body;
    body["request_id"] = request.value();
    body["first_index"] = Json::UInt64(firstIndex);
    return makePostCall(leader, "/v1/resume", body, receiveTimeout);
}

void cancelCompletion(const endpoint &leader, const request_id &request)
{
    Json::Value body;
    body["request_id"] = request.value();
    reason ignored;
    sendOnFreshConnection(makePostCall(leader, "/v1/cancel", body, cancelTimeout), ignored);
}

} // namespace vetchpost
