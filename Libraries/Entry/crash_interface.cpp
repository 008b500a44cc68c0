// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_interface.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

/// A refused request as operators see it.
Json::Value encodeRefusal(const suspect_report &evidence)
{
    Json::Value json;
    json["identity"] = evidence.request.value();
    json["organisation"] = evidence.organisation.value();
    json["replicas_ended"] = Json::UInt64(evidence.ends.size());
    json["last_end_seconds_ago"] = secondsOf(evidence.age);
    json["refused_for_seconds"] = secondsOf(refusalTime - evidence.age);
    return json;
}

/// A refused part of prompts as operators see it.
Json::Value encodeRefusal(const part_report &report)
{
    duration sinceLastEnd = suspectLifetime;
    for (const auto &end : report.ends) {
        sinceLastEnd = std::min(sinceLastEnd, end.age);
    }
    Json::Value json;
    json["part"] = report.key.part.value();
    json["model"] = report.key.model.value();
    json["replicas_ended"] = Json::UInt64(report.ends.size());
    json["last_end_seconds_ago"] = secondsOf(sinceLastEnd);
    json["refused_for_seconds"] = secondsOf(std::max(duration(), refusalTime - sinceLastEnd));
    return json;
}

} // namespace

void answerCrashingRequests(http_exchange &exchange, shared_suspects &suspects, shared_parts &parts)
{
    constexpr int done = 200;
    constexpr int notFound = 404;
    constexpr int wrongMethod = 405;
    Json::Value json(Json::objectValue);
    int status = done;
    if (exchange.method() == "GET") {
        json["refused"] = Json::Value(Json::arrayValue);
        for (const auto &evidence : suspects.refused()) {
            json["refused"].append(encodeRefusal(evidence));
        }
        json["refused_parts"] = Json::Value(Json::arrayValue);
        for (const auto &report : parts.refused()) {
            json["refused_parts"].append(encodeRefusal(report));
        }
    } else if (exchange.method() == "POST") {
        const auto allowed = exchange.queryParameter("allow");
        const bool wasRefused = suspects.allow(request_identity(allowed)) || parts.allow(part_identity(allowed));
        status = wasRefused ? done : notFound;
    } else {
        status = wrongMethod;
    }
    exchange.send(status, "application/json", toJsonText(json) + "\n");
}

} // namespace vetchpost
