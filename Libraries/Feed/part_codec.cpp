// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/part_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

// The names are short because a datagram holds several reports.
constexpr auto modelField = "model";
constexpr auto partField = "part";
constexpr auto roundField = "round";
constexpr auto endsField = "ends";
constexpr auto endField = "end";
constexpr auto weightField = "w";
constexpr auto ageField = "age";
constexpr auto requestField = "req";

std::optional<reported_end> decodeEnd(const Json::Value &json)
{
    if (!json.isObject() || !json[endField].isUInt64() || !json[weightField].isInt() || !json[ageField].isInt64()
        || !json[requestField].isUInt64()) {
        return std::nullopt;
    }
    const reported_end end{replica_end(json[endField].asUInt64()),
                           json[weightField].asInt(),
                           duration(json[ageField].asInt64()),
                           json[requestField].asUInt64()};
    const bool isValid = end.weight >= weakEnd && end.weight <= fullEnd && end.age >= duration();
    return isValid ? std::optional(end) : std::nullopt;
}

} // namespace

Json::Value encodePartReport(const part_report &report)
{
    Json::Value json;
    json[modelField] = report.key.model.value();
    json[partField] = report.key.part.value();
    json[roundField] = Json::UInt64(report.round);
    for (const auto &end : report.ends) {
        Json::Value entry;
        entry[endField] = Json::UInt64(end.end.value());
        entry[weightField] = end.weight;
        entry[ageField] = Json::Int64(end.age.count());
        entry[requestField] = Json::UInt64(end.request);
        json[endsField].append(std::move(entry));
    }
    return json;
}

std::optional<part_report> decodePartReport(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    part_report report;
    report.key = {model_id(jsonString(json, modelField)), part_identity(jsonString(json, partField))};
    report.round = jsonNumber(json, roundField);
    for (const auto &entry : jsonArray(json, endsField)) {
        const auto end = decodeEnd(entry);
        if (!end) {
            return std::nullopt;
        }
        report.ends.push_back(*end);
    }
    const bool isValid = !report.key.part.isEmpty() && report.ends.size() <= maxEndsPerPart;
    return isValid ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace vetchpost
