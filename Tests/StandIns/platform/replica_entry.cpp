// SPDX-License-Identifier: Apache-2.0
// The entry that a replica writes into the store, and its answer to probes.
#include "Tests/StandIns/platform/replica_model.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <algorithm>

namespace vetchpost::test {

namespace names = platform_names;

namespace {

const char *stateName(member_state state)
{
    switch (state) {
    case member_state::joining:
        return names::joining;
    case member_state::ready:
        return names::ready;
    case member_state::open:
        return names::open;
    case member_state::closing:
        return names::closing;
    case member_state::broken:
        break;
    }
    return names::broken;
}

} // namespace

Json::Value entryOf(const stand_in_replica &replica)
{
    Json::Value json;
    json[names::service] = replica.service;
    json[names::address] = replica.address;
    json[names::zone] = replica.zone;
    json[names::version] = "v1";
    json[names::slots] = replica.slots;
    json[names::state] = replica.isDraining ? names::draining : names::ready;
    json[names::coldTime] = Json::Int64(replica.coldLeft.count());
    json[names::sequence] = 0;
    json[names::born] = Json::UInt64(replica.born);
    if (!replica.hasEngine) {
        return json;
    }
    json[names::domain] = replica.domain;
    json["Phase"] = "combined";
    json[names::models] = Json::Value(Json::arrayValue);
    json[names::staged] = Json::Value(Json::arrayValue);
    if (!replica.staged.empty()) {
        json[names::staged].append(replica.staged);
    }
    if (!replica.lastModel.empty()) {
        Json::Value model;
        model[names::name] = replica.lastModel;
        model[names::version] = 1;
        json[names::models].append(model);
    }
    if (const auto &membership = replica.membership) {
        auto &group = json[names::group];
        group[names::name] = membership->group;
        group[names::epoch] = Json::UInt64(membership->epoch);
        const auto self = std::find(membership->members.begin(), membership->members.end(), replica.id);
        group[names::rank] = static_cast<int>(self - membership->members.begin());
        group[names::state] = stateName(membership->state);
    }
    return json;
}

Json::Value reportOf(const stand_in_replica &replica)
{
    auto json = entryOf(replica);
    json["Utilization"] = replica.staging.has_value();
    json[names::sequence] = Json::UInt64(replica.orders);
    json["Queued"] = replica.waiting();
    json["Active"] = replica.active;
    return json;
}

} // namespace vetchpost::test
