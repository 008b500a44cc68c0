// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/replica_codec.h"

namespace vetchpost {

namespace {

// Index of each value in the array. A removed entry has only the first two.
enum value_index : Json::ArrayIndex {
    id_index,
    revision_index,
    life_index,
    service_index,
    host_index,
    port_index,
    data_centre_index,
    slots_index,
    draining_index,
    domain_index,
    staged_index,
    model_index,
    group_index,
    formed_index,
    rank_index,
    state_index,
};
constexpr Json::ArrayIndex removedSize = revision_index + 1;
/// Size of the array for a replica that belongs to no group. A cold replica has one more value at the end: the remaining cold time in
/// milliseconds. It is absent otherwise, so that daemons of versions without it read the changes of all other replicas.
constexpr Json::ArrayIndex ungroupedSize = model_index + 1;
constexpr Json::ArrayIndex groupedSize = state_index + 1;
constexpr std::uint64_t largestPort = 65535;

bool isText(const Json::Value &json, value_index index)
{
    return json[index].isString();
}

bool isNumber(const Json::Value &json, value_index index)
{
    return json[index].isUInt64();
}

bool isGrouped(const Json::Value &json)
{
    return json.size() >= groupedSize;
}

bool isCold(const Json::Value &json)
{
    return json.size() == ungroupedSize + 1 || json.size() == groupedSize + 1;
}

bool isReplica(const Json::Value &json)
{
    const bool hasValidSize = json.size() == ungroupedSize || json.size() == groupedSize
        || (isCold(json) && json[json.size() - 1].isInt() && json[json.size() - 1].asInt() >= 0);
    return hasValidSize && isNumber(json, life_index) && isText(json, service_index) && isText(json, host_index)
        && isNumber(json, port_index) && json[port_index].asUInt64() <= largestPort && isText(json, data_centre_index)
        && json[slots_index].isInt() && json[draining_index].isBool() && isText(json, domain_index) && json[staged_index].isArray()
        && isText(json, model_index);
}

std::optional<group_membership> decodeMembership(const Json::Value &json)
{
    const bool isValid = isText(json, group_index) && isNumber(json, formed_index) && json[rank_index].isInt() && json[state_index].isInt()
        && json[state_index].asInt() >= 0 && json[state_index].asInt() <= static_cast<int>(member_state::broken);
    if (!isValid) {
        return std::nullopt;
    }
    return group_membership{group_id(json[group_index].asString()),
                            formation(json[formed_index].asUInt64()),
                            json[rank_index].asInt(),
                            static_cast<member_state>(json[state_index].asInt())};
}

} // namespace

Json::Value encodeChange(const replica_change &change)
{
    Json::Value json(Json::arrayValue);
    json.append(change.id.value());
    json.append(Json::UInt64(change.revision.number()));
    if (!change.replica) {
        return json;
    }
    const auto &replica = *change.replica;
    json.append(Json::UInt64(replica.incarnation.value()));
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
    if (replica.coldLeft > duration()) {
        json.append(Json::Int64(replica.coldLeft.count()));
    }
    return json;
}

std::optional<replica_change> decodeChange(const Json::Value &json, store_era era)
{
    if (!json.isArray() || json.size() < removedSize || !isText(json, id_index) || !isNumber(json, revision_index)) {
        return std::nullopt;
    }
    replica_change change{instance_id(json[id_index].asString()), store_revision(json[revision_index].asUInt64(), era), std::nullopt};
    if (json.size() == removedSize) {
        return change;
    }
    if (!isReplica(json)) {
        return std::nullopt;
    }
    served_replica replica;
    replica.id = change.id;
    replica.incarnation = replica_incarnation(json[life_index].asUInt64());
    replica.service = service_id(json[service_index].asString());
    replica.address = {json[host_index].asString(), static_cast<std::uint16_t>(json[port_index].asUInt())};
    replica.dataCentre = data_centre_id(json[data_centre_index].asString());
    replica.slots = json[slots_index].asInt();
    replica.isDraining = json[draining_index].asBool();
    replica.domain = fabric_domain_id(json[domain_index].asString());
    for (const auto &model : json[staged_index]) {
        replica.staged.emplace_back(model.isString() ? model.asString() : std::string());
    }
    if (const auto model = json[model_index].asString(); !model.empty()) {
        replica.model = model_id(model);
    }
    if (isCold(json)) {
        replica.coldLeft = duration(json[json.size() - 1].asInt());
    }
    if (isGrouped(json)) {
        replica.membership = decodeMembership(json);
        if (!replica.membership) {
            return std::nullopt;
        }
    }
    change.replica = std::move(replica);
    return change;
}

} // namespace vetchpost
