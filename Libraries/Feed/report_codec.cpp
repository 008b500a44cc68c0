// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/report_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

// The names are short because a datagram holds several reports.
constexpr auto requestField = "req";
constexpr auto organisationField = "org";
constexpr auto endsField = "ends";
constexpr auto roundField = "round";
constexpr auto ageField = "age";
constexpr auto replicaField = "replica";
constexpr auto incarnationField = "life";
constexpr auto limitField = "limit";
constexpr auto leavingField = "leaving";

} // namespace

Json::Value encodeSuspectReport(const suspect_report &report)
{
    Json::Value json;
    json[requestField] = report.request.value();
    json[organisationField] = report.organisation.value();
    json[roundField] = Json::UInt64(report.round);
    json[ageField] = Json::Int64(report.age.count());
    for (const auto end : report.ends) {
        json[endsField].append(Json::UInt64(end.value()));
    }
    return json;
}

std::optional<suspect_report> decodeSuspectReport(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    suspect_report report;
    report.request = request_identity(jsonString(json, requestField));
    report.organisation = organisation_id(jsonString(json, organisationField));
    report.round = jsonNumber(json, roundField);
    report.age = duration(static_cast<std::int64_t>(jsonNumber(json, ageField)));
    for (const auto &end : jsonArray(json, endsField)) {
        if (!end.isUInt64()) {
            return std::nullopt;
        }
        report.ends.emplace_back(end.asUInt64());
    }
    const bool isValid = !report.request.isEmpty() && report.age >= duration() && report.ends.size() <= maxEndsPerSuspect;
    return isValid ? std::optional(std::move(report)) : std::nullopt;
}

Json::Value encodeConstraintReport(const constraint_report &report)
{
    Json::Value json;
    json[replicaField] = report.replica.replica.value();
    json[incarnationField] = Json::UInt64(report.replica.incarnation.value());
    if (report.rateLimit) {
        json[limitField] = *report.rateLimit;
    }
    json[ageField] = Json::Int64(report.rateAge.count());
    json[leavingField] = report.isLeaving;
    return json;
}

std::optional<constraint_report> decodeConstraintReport(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    constraint_report report;
    report.replica = {instance_id(jsonString(json, replicaField)), replica_incarnation(jsonNumber(json, incarnationField))};
    report.rateAge = duration(static_cast<std::int64_t>(jsonNumber(json, ageField)));
    report.isLeaving = jsonFlag(json, leavingField);
    if (json.isMember(limitField)) {
        const auto &limit = json[limitField];
        if (!limit.isNumeric() || limit.asDouble() < minRateLimit) {
            return std::nullopt;
        }
        report.rateLimit = limit.asDouble();
    }
    const bool isValid = !report.replica.replica.isEmpty() && report.rateAge >= duration();
    return isValid ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace vetchpost
