// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Peers/exchange_codec.h"

namespace vetchpost {

namespace {

Json::Value makeArray(std::initializer_list<Json::Value> values)
{
    Json::Value array(Json::arrayValue);
    for (const auto &value : values) {
        array.append(value);
    }
    return array;
}

Json::Value toJsonNumber(std::uint64_t value)
{
    return Json::UInt64(value);
}

std::string stringAt(const Json::Value &array, Json::ArrayIndex index)
{
    return array.isArray() && array.isValidIndex(index) && array[index].isString() ? array[index].asString() : std::string();
}

std::uint64_t numberAt(const Json::Value &array, Json::ArrayIndex index)
{
    return array.isArray() && array.isValidIndex(index) && array[index].isUInt64() ? array[index].asUInt64() : 0;
}

const Json::Value &arrayAt(const Json::Value &array, Json::ArrayIndex index)
{
    static const Json::Value empty(Json::arrayValue);
    return array.isArray() && array.isValidIndex(index) && array[index].isArray() ? array[index] : empty;
}

} // namespace

Json::Value toJson(const exchange_digest &digest)
{
    Json::Value origins(Json::arrayValue);
    for (const auto &entry : digest.origins) {
        origins.append(
            makeArray({entry.daemon.value(), toJsonNumber(entry.run.value()), toJsonNumber(entry.heartbeat), toJsonNumber(entry.version)}));
    }
    Json::Value registers(Json::arrayValue);
    for (const auto &entry : digest.registers) {
        registers.append(makeArray({entry.name, toJsonNumber(entry.major), toJsonNumber(entry.minor)}));
    }
    return makeArray({origins, registers});
}

exchange_digest exchangeDigestFrom(const Json::Value &json)
{
    exchange_digest digest;
    for (const auto &entry : arrayAt(json, 0)) {
        if (!stringAt(entry, 0).empty()) {
            digest.origins.push_back(
                {daemon_id(stringAt(entry, 0)), incarnation(numberAt(entry, 1)), numberAt(entry, 2), numberAt(entry, 3)});
        }
    }
    for (const auto &entry : arrayAt(json, 1)) {
        if (!stringAt(entry, 0).empty()) {
            digest.registers.push_back({stringAt(entry, 0), numberAt(entry, 1), numberAt(entry, 2)});
        }
    }
    return digest;
}

Json::Value toJson(const exchange_delta &delta)
{
    Json::Value origins(Json::arrayValue);
    for (const auto &origin : delta.origins) {
        Json::Value facts(Json::arrayValue);
        for (const auto &fact : origin.facts) {
            facts.append(makeArray({fact.name, fact.value, toJsonNumber(fact.version)}));
        }
        origins.append(makeArray({origin.daemon.value(),
                                  toJsonNumber(origin.run.value()),
                                  toJsonNumber(origin.heartbeat),
                                  toJsonNumber(origin.since),
                                  toJsonNumber(origin.version),
                                  facts}));
    }
    Json::Value registers(Json::arrayValue);
    for (const auto &value : delta.registers) {
        registers.append(makeArray({value.name, toJsonNumber(value.major), toJsonNumber(value.minor), value.value}));
    }
    return makeArray({origins, registers});
}

exchange_delta exchangeDeltaFrom(const Json::Value &json)
{
    exchange_delta delta;
    for (const auto &entry : arrayAt(json, 0)) {
        if (stringAt(entry, 0).empty()) {
            continue;
        }
        origin_delta origin{
            daemon_id(stringAt(entry, 0)), incarnation(numberAt(entry, 1)), numberAt(entry, 2), numberAt(entry, 3), numberAt(entry, 4), {}};
        for (const auto &fact : arrayAt(entry, 5)) {
            origin.facts.push_back({stringAt(fact, 0), stringAt(fact, 1), numberAt(fact, 2)});
        }
        delta.origins.push_back(std::move(origin));
    }
    for (const auto &entry : arrayAt(json, 1)) {
        if (!stringAt(entry, 0).empty()) {
            delta.registers.push_back({stringAt(entry, 0), numberAt(entry, 1), numberAt(entry, 2), stringAt(entry, 3)});
        }
    }
    return delta;
}

} // namespace vetchpost
