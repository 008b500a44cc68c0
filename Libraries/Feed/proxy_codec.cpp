// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/proxy_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

// The names are short because a datagram holds several reports.
constexpr auto addressField = "at";
constexpr auto dataCentreField = "centre";
constexpr auto runField = "run";
constexpr auto capacityField = "tunnels";
constexpr auto cutOffField = "cut";
constexpr auto unreachedField = "not";
constexpr auto numberField = "no";
constexpr auto ageField = "age";
/// No daemon carries more tunnels; a larger number is invalid.
constexpr std::uint64_t maxCapacity = 65535;

} // namespace

Json::Value encodeProxyReport(const proxy_report &report)
{
    Json::Value json;
    json[addressField] = report.address.text();
    json[dataCentreField] = report.proxy.dataCentre.value();
    json[runField] = Json::UInt64(report.proxy.run);
    json[capacityField] = report.proxy.capacity;
    json[numberField] = Json::UInt64(report.number);
    json[ageField] = Json::Int64(report.age.count());
    if (report.proxy.isCutOff) {
        json[cutOffField] = true;
    }
    for (const auto &service : report.proxy.unreachedServices) {
        json[unreachedField].append(service.value());
    }
    return json;
}

std::optional<proxy_report> decodeProxyReport(const Json::Value &json)
{
    const auto address = json.isObject() ? parseEndpoint(jsonString(json, addressField)) : std::nullopt;
    if (!address || !json[ageField].isIntegral() || !json[capacityField].isIntegral()) {
        return std::nullopt;
    }
    proxy_report report;
    report.address = *address;
    report.number = jsonNumber(json, numberField);
    report.age = duration(json[ageField].asInt64());
    const auto capacity = jsonNumber(json, capacityField);
    report.proxy = {data_centre_id(jsonString(json, dataCentreField)),
                    jsonNumber(json, runField),
                    static_cast<int>(capacity),
                    jsonFlag(json, cutOffField),
                    {}};
    for (const auto &service : jsonArray(json, unreachedField)) {
        if (!service.isString()) {
            return std::nullopt;
        }
        report.proxy.unreachedServices.emplace_back(service.asString());
    }
    const bool isValid = report.number > 0 && report.age >= duration() && capacity <= maxCapacity
        && report.proxy.unreachedServices.size() <= maxServicesPerProxy;
    return isValid ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace vetchpost
