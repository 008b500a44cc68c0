// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/evacuation_codec.h"

#include "Libraries/Feed/revision_codec.h"

namespace vetchpost {

namespace {

constexpr auto revisionField = "rev";
constexpr auto listField = "list";
constexpr duration maxAge(std::chrono::hours(24));

} // namespace

Json::Value encodeEvacuations(const evacuation_report &report)
{
    Json::Value json;
    encodeRevision(json, revisionField, report.revision);
    json[listField] = Json::Value(Json::arrayValue);
    for (const auto &[dataCentre, since] : report.since) {
        Json::Value entry(Json::arrayValue);
        entry.append(dataCentre.value());
        entry.append(Json::Int64(since));
        json[listField].append(std::move(entry));
    }
    return json;
}

// A set that is taken for empty or current by mistake would end an evacuation, so nothing of an invalid one is used.
std::optional<evacuation_report> decodeEvacuations(const Json::Value &json)
{
    const bool isReport = json.isObject() && json.isMember(revisionField) && json[revisionField].isUInt64() && json.isMember(listField)
        && json[listField].isArray() && json[listField].size() <= maxEvacuations;
    if (!isReport) {
        return std::nullopt;
    }
    evacuation_report report;
    report.revision = decodeRevision(json, revisionField);
    for (const auto &entry : json[listField]) {
        const bool isEntry = entry.isArray() && entry.size() == 2 && entry[0].isString() && nameProblem(entry[0].asString()).empty()
            && entry[1].isInt64() && entry[1].asInt64() >= 0;
        if (!isEntry) {
            return std::nullopt;
        }
        report.since.emplace(data_centre_id(entry[0].asString()), entry[1].asInt64());
    }
    return report;
}

std::optional<duration> decodeAge(const Json::Value &json)
{
    const bool isAge = json.isInt64() && json.asInt64() >= 0 && json.asInt64() <= maxAge.count();
    return isAge ? std::optional(duration(json.asInt64())) : std::nullopt;
}

} // namespace vetchpost
