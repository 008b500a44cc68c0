// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_platform.h"

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_client.h"
#include "Tests/Soak/soak_client.h"
#include "Tests/StandIns/platform/stand_in_names.h"
#include "platform/base64.h"
#include "platform/names.h"

#include <fmt/format.h>

#include <sstream>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr duration callTimeout(3000);
constexpr duration readinessTimeout(500);
constexpr std::size_t maxReplyBytes = 64U << 20U;

std::optional<http_reply> call(const endpoint &to, const std::string &target, const std::string &body, duration timeout)
{
    http_call call;
    call.to = to;
    call.method = body.empty() ? "GET" : "POST";
    call.target = target;
    call.headers = {{stand_in_names::ownCall, stand_in_names::ownCallValue}};
    call.body = body;
    call.receiveTimeout = timeout;
    call.maximumReplySize = maxReplyBytes;
    reason ignored;
    return sendOnFreshConnection(call, ignored);
}

std::string routeText(const std::string &path, const char *kind, const char *service, bool isResumable)
{
    return fmt::format(R"({{"Name":"{0}","Host":"{1}","PathPrefix":"{0}","RouteType":"{2}","TimeoutMs":{5},"SloMs":1000,"GapTargetMs":300,
        "Priority":1,"MaxAttempts":3,"Service":"{3}","Resumable":{4},"Sticky":{4}}})",
                       path,
                       soakHost,
                       kind,
                       service,
                       isResumable,
                       routeTimeout.count());
}

std::string configurationText(std::uint64_t version, const std::string &changingKey, int coldPerSecond)
{
    const auto routes = routeText(streamPath, names::streaming, engineService, true) + ','
        + routeText(idempotentPath, names::idempotent, plainService, false) + ','
        + routeText(nonIdempotentPath, names::nonIdempotent, plainService, false) + ','
        + routeText(versionPath(version), names::idempotent, plainService, false);
    return fmt::format(
        R"({{"Version":{0},"Routes":[{1}],"Services":[{{"Name":"{2}","HealthPath":"/healthz","MaxConns":400,{6}"Engine":{{"Slots":26,
        "Models":[{{"Name":"m0","size":4,"Share":0.5,"pace":1,"LoadS":0.3,"WarmS":0.1}},{{"Name":"m1","size":2,"Share":0.5,"pace":1,"LoadS":0.3,"WarmS":0.1}}],
        "LoadsPerS":8,"loads_at_once":6,"Contents":1,"FormMs":50}}}},{{"Name":"{3}","HealthPath":"/healthz",{6}"MaxConns":400}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
        "Tenants":[{{"Name":"lasting","ApiKeys":["{4}"],"Priority":1}},{{"Name":"changing","ApiKeys":["{5}"],"Priority":1}}]}})",
        version,
        routes,
        engineService,
        plainService,
        lastingKey,
        changingKey,
        coldPerSecond > 0 ? fmt::format(R"("ColdStartS":3,"ColdPerS":{},)", coldPerSecond) : std::string());
}

} // namespace

void setFaults(const endpoint &control, const Json::Value &switches)
{
    call(control, "/faults", toJsonText(switches), callTimeout);
}

Json::Value fetchFacts(const endpoint &control)
{
    const auto reply = call(control, "/facts", {}, callTimeout);
    return reply && reply->isSuccess() ? parseJson(reply->body).value_or(Json::Value()) : Json::Value();
}

namespace {

/// Returns the value of a number, or of a number in a string; 0 for anything else.
double parseNumber(const Json::Value &value)
{
    return value.isNumeric() ? value.asDouble() : value.isString() ? std::strtod(value.asCString(), nullptr) : 0;
}

} // namespace

std::vector<platform_event> fetchEvents(const endpoint &control, std::uint64_t &last)
{
    std::vector<platform_event> events;
    const auto reply = call(control, fmt::format("/events?after={}", last), {}, callTimeout);
    std::istringstream in(reply && reply->isSuccess() ? reply->body : std::string());
    for (std::string line; std::getline(in, line);) {
        const auto json = parseJson(line);
        if (!json) {
            continue;
        }
        last = jsonNumber(*json, "n");
        events.push_back({instant(duration(static_cast<std::int64_t>(jsonNumber(*json, "steady_ms")))),
                          jsonString(*json, "what"),
                          request_id(jsonString(*json, "attempt")),
                          instance_id(jsonString(*json, "replica")),
                          jsonFlag(*json, "while_open"),
                          jsonFlag(*json, "partial"),
                          parseNumber((*json)["value"]),
                          jsonString(*json, "zone")});
    }
    return events;
}

std::optional<std::string> readValue(const endpoint &store, const std::string &key)
{
    const auto reply = call(store, fmt::format("{}?{}={}", names::keyCall, names::key, key), {}, callTimeout);
    const auto item = reply && reply->isSuccess() ? parseJson(reply->body) : std::nullopt;
    return item ? std::optional(decodeBase64(jsonString(*item, names::value))) : std::nullopt;
}

std::optional<instant> writeConfiguration(const endpoint &store, std::uint64_t version, const std::string &changingKey, int coldPerSecond)
{
    Json::Value item;
    item[names::key] = names::configurationKey;
    item[names::value] = encodeBase64(configurationText(version, changingKey, coldPerSecond));
    item[names::lease] = 0;
    Json::Value transaction;
    transaction[names::writes].append(item);
    const auto reply = call(store, names::transactionCall, toJsonText(transaction), callTimeout);
    return reply && reply->isSuccess() ? std::optional(monotonicNow()) : std::nullopt;
}

std::optional<instant> writeEvacuation(const endpoint &store, const std::string &zone, const std::string &value)
{
    Json::Value item;
    item[names::key] = std::string(names::evacuationPrefix) + zone;
    item[names::value] = encodeBase64(value);
    item[names::lease] = 0;
    Json::Value transaction;
    transaction[names::writes].append(item);
    const auto reply = call(store, names::transactionCall, toJsonText(transaction), callTimeout);
    return reply && reply->isSuccess() ? std::optional(monotonicNow()) : std::nullopt;
}

bool removeEvacuation(const endpoint &store, const std::string &zone)
{
    Json::Value transaction;
    transaction[names::removals].append(std::string(names::evacuationPrefix) + zone);
    const auto reply = call(store, names::transactionCall, toJsonText(transaction), callTimeout);
    return reply && reply->isSuccess();
}

bool isReady(const endpoint &readiness)
{
    const auto reply = call(readiness, "/readyz", {}, readinessTimeout);
    return reply && reply->isSuccess();
}

} // namespace vetchpost::test
