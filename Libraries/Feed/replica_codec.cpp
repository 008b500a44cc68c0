// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/replica_codec.h"

namespace vetchpost {

namespace {

// The places of the values. A removed entry has the first two alone.
enum place : Json::ArrayIndex {
    id_place,
    revision_place,
    life_place,
    service_place,
    host_place,
    port_place,
    data_centre_place,
    slots_place,
    draining_place,
    domain_place,
    staged_place,
    model_place,
    group_place,
    formed_place,
    rank_place,
    state_place,
};
constexpr Json::ArrayIndex removedSize = revision_place + 1;
/// Of a replica that stands in no group.
constexpr Json::ArrayIndex alonePlaces = model_place + 1;
constexpr Json::ArrayIndex allPlaces = state_place + 1;
constexpr std::uint64_t largestPort = 65535;

bool isText(const Json::Value &json, place where)
{
    return json[where].isString();
}

bool isNumber(const Json::Value &json, place where)
{
    return json[where].isUInt64();
}

bool isReplica(const Json::Value &json)
{
    const bool isWhole = json.size() == alonePlaces || json.size() == allPlaces;
    return isWhole && isNumber(json, life_place) && isText(json, service_place) && isText(json, host_place) && isNumber(json, port_place)
        && json[port_place].asUInt64() <= largestPort && isText(json, data_centre_place) && json[slots_place].isInt()
        && json[draining_place].isBool() && isText(json, domain_place) && json[staged_place].isArray() && isText(json, model_place);
}

std::optional<group_membership> decodedMembership(const Json::Value &json)
{
    const bool isGood = isText(json, group_place) && isNumber(json, formed_place) && json[rank_place].isInt() && json[state_place].isInt()
        && json[state_place].asInt() >= 0 && json[state_place].asInt() <= static_cast<int>(member_state::broken);
    if (!isGood) {
        return std::nullopt;
    }
    return group_membership{group_id(json[group_place].asString()),
                            formation(json[formed_place].asUInt64()),
                            json[rank_place].asInt(),
                            static_cast<member_state>(json[state_place].asInt())};
}

} // namespace

Json::Value encodedChange(const replica_change &change)
{
    Json::Value json(Json::arrayValue);
    json.append(change.id.value());
    json.append(Json::UInt64(change.revision));
    if (!change.replica) {
        return json;
    }
    const auto &replica = *change.replica;
    json.append(Json::UInt64(replica.life.value()));
    json.append(replica.service.value());
    json.append(replica.address.host);
    json.append(replica.address.port);
    json.append(replica.dataCentre.value());
    json.append(replica.slots);
    json.append(replica.isDraining);
    json.append(replica.domain.value());
    Json::Value staged(Json::arrayValue);
    for (const auto &model : replica.staged) {
        staged.append(model.value());
    }
    json.append(std::move(staged));
    json.append(replica.model ? replica.model->value() : std::string());
    if (replica.membership) {
        json.append(replica.membership->group.value());
        json.append(Json::UInt64(replica.membership->formed.value()));
        json.append(replica.membership->rank);
        json.append(static_cast<int>(replica.membership->state));
    }
    return json;
}

std::optional<replica_change> decodedChange(const Json::Value &json)
{
    if (!json.isArray() || json.size() < removedSize || !isText(json, id_place) || !isNumber(json, revision_place)) {
        return std::nullopt;
    }
    replica_change change{instance_id(json[id_place].asString()), json[revision_place].asUInt64(), std::nullopt};
    if (json.size() == removedSize) {
        return change;
    }
    if (!isReplica(json)) {
        return std::nullopt;
    }
    served_replica replica;
    replica.id = change.id;
    replica.life = replica_life(json[life_place].asUInt64());
    replica.service = service_id(json[service_place].asString());
    replica.address = {json[host_place].asString(), static_cast<std::uint16_t>(json[port_place].asUInt())};
    replica.dataCentre = data_centre_id(json[data_centre_place].asString());
    replica.slots = json[slots_place].asInt();
    replica.isDraining = json[draining_place].asBool();
    replica.domain = fabric_domain_id(json[domain_place].asString());
    for (const auto &model : json[staged_place]) {
        replica.staged.emplace_back(model.isString() ? model.asString() : std::string());
    }
    if (const auto model = json[model_place].asString(); !model.empty()) {
        replica.model = model_id(model);
    }
    if (json.size() == allPlaces) {
        replica.membership = decodedMembership(json);
        if (!replica.membership) {
            return std::nullopt;
        }
    }
    change.replica = std::move(replica);
    return change;
}

} // namespace vetchpost
