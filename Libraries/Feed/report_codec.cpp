// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/report_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

// Names are short: suspects fill most of a datagram.
constexpr auto requestField = "req";
constexpr auto organisationField = "org";
constexpr auto endsField = "ends";
constexpr auto roundField = "round";
constexpr auto ageField = "age";
constexpr auto replicaField = "replica";
constexpr auto lifeField = "life";
constexpr auto limitField = "limit";
constexpr auto leavingField = "leaving";

} // namespace

Json::Value encodedEvidence(const crash_evidence &evidence)
{
    Json::Value json;
    json[requestField] = evidence.request.value();
    json[organisationField] = evidence.organisation.value();
    json[roundField] = Json::UInt64(evidence.round);
    json[ageField] = Json::Int64(evidence.age.count());
    for (const auto end : evidence.ends) {
        json[endsField].append(Json::UInt64(end.value()));
    }
    return json;
}

std::optional<crash_evidence> decodedEvidence(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    crash_evidence evidence;
    evidence.request = request_identity(jsonString(json, requestField));
    evidence.organisation = organisation_id(jsonString(json, organisationField));
    evidence.round = jsonNumber(json, roundField);
    evidence.age = duration(static_cast<std::int64_t>(jsonNumber(json, ageField)));
    for (const auto &end : jsonArray(json, endsField)) {
        if (!end.isUInt64()) {
            return std::nullopt;
        }
        evidence.ends.emplace_back(end.asUInt64());
    }
    const bool isGood = !evidence.request.isEmpty() && evidence.age >= duration() && evidence.ends.size() <= mostEndsKept;
    return isGood ? std::optional(std::move(evidence)) : std::nullopt;
}

Json::Value encodedConstraint(const constraint_report &report)
{
    Json::Value json;
    json[replicaField] = report.replica.replica.value();
    json[lifeField] = Json::UInt64(report.replica.life.value());
    if (report.rateLimit) {
        json[limitField] = *report.rateLimit;
    }
    json[ageField] = Json::Int64(report.rateAge.count());
    json[leavingField] = report.isLeaving;
    return json;
}

std::optional<constraint_report> decodedConstraint(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    constraint_report report;
    report.replica = {instance_id(jsonString(json, replicaField)), replica_life(jsonNumber(json, lifeField))};
    report.rateAge = duration(static_cast<std::int64_t>(jsonNumber(json, ageField)));
    report.isLeaving = jsonFlag(json, leavingField);
    if (json.isMember(limitField)) {
        const auto &limit = json[limitField];
        if (!limit.isNumeric() || limit.asDouble() < leastRateLimit) {
            return std::nullopt;
        }
        report.rateLimit = limit.asDouble();
    }
    const bool isGood = !report.replica.replica.isEmpty() && report.rateAge >= duration();
    return isGood ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace vetchpost
