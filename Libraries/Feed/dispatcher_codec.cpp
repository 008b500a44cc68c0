// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/dispatcher_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

constexpr auto daemonField = "daemon";
constexpr auto addressField = "at";
constexpr auto shareField = "share";
constexpr auto serviceField = "service";
constexpr auto modelField = "model";
constexpr auto dispatchersField = "by";
/// A machine with more cores than this gains nothing as a dispatcher; larger and negative values are invalid.
constexpr double maxProcessorShare = 1024;

Json::Value encodeDaemon(const named_dispatcher &daemon)
{
    Json::Value json;
    json[daemonField] = daemon.daemon.value();
    json[addressField] = daemon.address.text();
    return json;
}

std::optional<named_dispatcher> decodeDaemon(const Json::Value &json)
{
    const auto address = json.isObject() ? parseEndpoint(jsonString(json, addressField)) : std::nullopt;
    return address ? std::optional(named_dispatcher{daemon_id(jsonString(json, daemonField)), *address}) : std::nullopt;
}

} // namespace

Json::Value encodeCandidate(const dispatcher_candidate &candidate)
{
    auto json = encodeDaemon(candidate.daemon);
    json[shareField] = candidate.processorShare;
    return json;
}

std::vector<dispatcher_candidate> decodeCandidates(const Json::Value &json)
{
    std::vector<dispatcher_candidate> candidates;
    for (const auto &entry : json) {
        const auto daemon = decodeDaemon(entry);
        if (!daemon || !entry[shareField].isNumeric()) {
            continue;
        }
        const auto share = entry[shareField].asDouble();
        if (share >= 0 && share <= maxProcessorShare) {
            candidates.push_back({*daemon, share});
        }
    }
    return candidates;
}

Json::Value encodeDispatchers(const dispatcher_list &list)
{
    Json::Value json(Json::arrayValue);
    for (const auto &model : list.models) {
        Json::Value entry;
        entry[serviceField] = model.service.value();
        entry[modelField] = model.model.value();
        for (const auto &dispatcher : model.dispatchers) {
            entry[dispatchersField].append(encodeDaemon(dispatcher));
        }
        json.append(std::move(entry));
    }
    return json;
}

std::optional<dispatcher_list> decodeDispatchers(const Json::Value &json)
{
    if (!json.isArray()) {
        return std::nullopt;
    }
    dispatcher_list list;
    for (const auto &entry : json) {
        if (!entry.isObject()) {
            return std::nullopt;
        }
        model_dispatchers model{service_id(jsonString(entry, serviceField)), model_id(jsonString(entry, modelField)), {}};
        for (const auto &daemon : jsonArray(entry, dispatchersField)) {
            const auto dispatcher = decodeDaemon(daemon);
            if (!dispatcher) {
                return std::nullopt;
            }
            model.dispatchers.push_back(*dispatcher);
        }
        if (model.service.isEmpty() || model.model.isEmpty() || model.dispatchers.empty()) {
            return std::nullopt;
        }
        list.models.push_back(std::move(model));
    }
    return list;
}

} // namespace vetchpost
