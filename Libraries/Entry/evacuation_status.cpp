// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/evacuation_status.h"

#include "Libraries/Base/json.h"

#include <algorithm>

namespace vetchpost {

namespace {

std::map<data_centre_id, int> groupsByDataCentre(const replica_directory &directory, const route_table *routes)
{
    std::map<data_centre_id, int> groups;
    if (routes == nullptr) {
        return groups;
    }
    for (const auto &service : routes->configuration().services) {
        if (!service.engine) {
            continue;
        }
        for (const auto &group : groupsOf(directory, service.id)) {
            groups[group.head() == nullptr ? data_centre_id() : group.head()->dataCentre] += 1;
        }
    }
    return groups;
}

} // namespace

std::vector<evacuation_status> evacuationStatus(const evacuation_set &known,
                                                const replica_directory &directory,
                                                const route_table *routes,
                                                const requests_by_place &requests)
{
    auto groups = groupsByDataCentre(directory, routes);
    std::vector<evacuation_status> result;
    for (const auto &[dataCentre, since] : known.report.since) {
        const auto replicas = std::count_if(directory.replicas.begin(),
                                            directory.replicas.end(),
                                            [&, name = dataCentre](const auto &entry) { return entry.second.dataCentre == name; });
        result.push_back({dataCentre, since, requests.count(dataCentre), groups[dataCentre], static_cast<int>(replicas)});
    }
    return result;
}

void answerEvacuations(http_exchange &exchange, const evacuation_set &known, const std::vector<evacuation_status> &evacuated)
{
    constexpr int done = 200;
    constexpr int wrongMethod = 405;
    if (exchange.method() != "GET") {
        exchange.send(wrongMethod, "application/json", "{}\n");
        return;
    }
    Json::Value json(Json::objectValue);
    json["known"] = known.isKnown;
    if (known.currentAt) {
        json["age_ms"] = Json::Int64((monotonicNow() - *known.currentAt).count());
    }
    json["evacuated"] = Json::Value(Json::arrayValue);
    for (const auto &entry : evacuated) {
        Json::Value encoded;
        encoded["data_centre"] = entry.dataCentre.value();
        encoded["since_ms"] = Json::Int64(entry.since);
        encoded["requests"] = entry.requests;
        encoded["groups"] = entry.groups;
        encoded["replicas"] = entry.replicas;
        json["evacuated"].append(std::move(encoded));
    }
    exchange.send(done, "application/json", toJsonText(json) + "\n");
}

} // namespace vetchpost
