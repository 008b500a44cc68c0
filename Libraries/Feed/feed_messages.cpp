// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_messages.h"

#include "Libraries/Base/json.h"
#include "Libraries/Feed/batch_codec.h"
#include "Libraries/Feed/dispatcher_codec.h"
#include "Libraries/Feed/evacuation_codec.h"
#include "Libraries/Feed/part_codec.h"
#include "Libraries/Feed/proxy_codec.h"
#include "Libraries/Feed/replica_codec.h"
#include "Libraries/Feed/report_codec.h"
#include "Libraries/Feed/revision_codec.h"

#include <algorithm>

namespace vetchpost {

namespace {

// The names are short because a datagram holds several entries.
constexpr auto kindField = "kind";
constexpr auto subscriptionKind = "subscribe";
constexpr auto updateKind = "update";
constexpr auto stallKind = "stall";
constexpr auto stallWarningKind = "doubt";
constexpr auto endKind = "end";
constexpr auto referralKind = "refer";
constexpr auto suspectBatchKind = "suspects";
constexpr auto suspectAckKind = "receipt";
constexpr auto constraintBatchKind = "constraints";
constexpr auto constraintAckKind = "constraint_receipt";
constexpr auto permitRequestKind = "ask_permits";
constexpr auto permitResponseKind = "permits";
constexpr auto proxyBatchKind = "proxies";
constexpr auto proxyAckKind = "proxy_receipt";
constexpr auto partBatchKind = "parts";
constexpr auto partAckKind = "part_receipt";
constexpr auto fromField = "from";
constexpr auto nonceField = "nonce";
constexpr auto upToField = "up_to";
constexpr auto wantsReplicasField = "wants";
constexpr auto demandField = "demand";
constexpr auto serviceField = "service";
constexpr auto modelField = "model";
constexpr auto outstandingField = "held";
constexpr auto afterField = "after";
constexpr auto daemonsField = "daemons";
constexpr auto configurationField = "conf";
constexpr auto configurationAgeField = "conf_age";
constexpr auto replicasAgeField = "repl_age";
constexpr auto changesField = "changes";
constexpr auto historyLostField = "lost";
constexpr auto replicaField = "replica";
constexpr auto dataCentreField = "centre";
constexpr auto sourceField = "source";
constexpr auto hopsField = "hops";
constexpr auto relayField = "relay";
constexpr auto endingField = "ending";
constexpr auto wantedField = "wanted";
constexpr auto reportField = "report";
constexpr auto incarnationField = "life";
constexpr auto grantedField = "granted";
constexpr auto waitField = "wait";
constexpr auto candidatesField = "candidates";
constexpr auto dispatchersDigestField = "dispatch_digest";
constexpr auto dispatchersField = "dispatch";
constexpr auto evacuationsField = "evac";
constexpr auto evacuationsAgeField = "evac_age";

Json::Value number(std::uint64_t value)
{
    return Json::UInt64(value);
}

Json::Value encodeBody(const feed_subscription &message)
{
    Json::Value json;
    json[kindField] = subscriptionKind;
    json[fromField] = message.from.value();
    json[nonceField] = number(message.nonce);
    encodeRevision(json, upToField, message.replicasUpTo);
    json[wantsReplicasField] = message.wantsReplicas;
    json[dataCentreField] = message.dataCentre.value();
    json[daemonsField] = message.daemons;
    json[endingField] = message.isEnding;
    if (message.lostRelay) {
        json[relayField] = message.lostRelay->text();
    }
    for (const auto &demand : message.demand) {
        Json::Value entry;
        entry[serviceField] = demand.service.value();
        entry[modelField] = demand.model.value();
        entry[outstandingField] = demand.outstanding;
        json[demandField].append(std::move(entry));
    }
    for (const auto &candidate : message.candidates) {
        json[candidatesField].append(encodeCandidate(candidate));
    }
    if (message.dispatchersDigest) {
        json[dispatchersDigestField] = number(*message.dispatchersDigest);
    }
    return json;
}

Json::Value encodeBody(const feed_update &message)
{
    Json::Value json;
    json[kindField] = updateKind;
    json[nonceField] = number(message.nonce);
    json[sourceField] = message.origin.source.text();
    json[hopsField] = message.origin.hops;
    json[daemonsField] = message.daemons;
    encodeRevision(json, configurationField, message.configuration);
    if (message.configurationAge) {
        json[configurationAgeField] = Json::Int64(message.configurationAge->count());
    }
    if (message.replicasAge) {
        json[replicasAgeField] = Json::Int64(message.replicasAge->count());
    }
    encodeRevision(json, afterField, message.after);
    encodeRevision(json, upToField, message.upTo);
    json[historyLostField] = message.isHistoryLost;
    if (message.evacuations) {
        json[evacuationsField] = encodeEvacuations(*message.evacuations);
    }
    if (message.evacuationsAge) {
        json[evacuationsAgeField] = Json::Int64(message.evacuationsAge->count());
    }
    for (const auto &change : message.changes) {
        json[changesField].append(encodeChange(change));
    }
    if (message.dispatchers) {
        json[dispatchersField] = encodeDispatchers(*message.dispatchers);
    }
    return json;
}

Json::Value encodeBody(const stall_report &message)
{
    Json::Value json;
    json[kindField] = stallKind;
    json[fromField] = message.from.value();
    json[replicaField] = message.replica.value();
    return json;
}

Json::Value encodeBody(const group_stall_warning &message)
{
    Json::Value json;
    json[kindField] = stallWarningKind;
    json[replicaField] = message.head.value();
    return json;
}

Json::Value encodeBody(const feed_end & /*message*/)
{
    Json::Value json;
    json[kindField] = endKind;
    return json;
}

Json::Value encodeBody(const feed_referral &message)
{
    Json::Value json;
    json[kindField] = referralKind;
    json[relayField] = message.relay.text();
    return json;
}

Json::Value encodeBody(const suspect_batch &message)
{
    return encodeBatch(suspectBatchKind, message, &encodeSuspectReport);
}

Json::Value encodeBody(const suspect_ack &message)
{
    return encodeAck(suspectAckKind, message);
}

Json::Value encodeBody(const constraint_batch &message)
{
    return encodeBatch(constraintBatchKind, message, &encodeConstraintReport);
}

Json::Value encodeBody(const constraint_ack &message)
{
    return encodeAck(constraintAckKind, message);
}

Json::Value encodeBody(const proxy_batch &message)
{
    return encodeBatch(proxyBatchKind, message, &encodeProxyReport);
}

Json::Value encodeBody(const proxy_ack &message)
{
    return encodeAck(proxyAckKind, message);
}

Json::Value encodeBody(const part_batch &message)
{
    return encodeBatch(partBatchKind, message, &encodePartReport);
}

Json::Value encodeBody(const part_ack &message)
{
    return encodeAck(partAckKind, message);
}

Json::Value encodeBody(const permit_request &message)
{
    Json::Value json;
    json[kindField] = permitRequestKind;
    json[nonceField] = number(message.nonce);
    json[wantedField] = message.wanted;
    json[reportField] = encodeConstraintReport(message.report);
    return json;
}

Json::Value encodeBody(const permit_response &message)
{
    Json::Value json;
    json[kindField] = permitResponseKind;
    json[nonceField] = number(message.nonce);
    json[replicaField] = message.replica.replica.value();
    json[incarnationField] = number(message.replica.incarnation.value());
    json[grantedField] = message.granted;
    json[waitField] = Json::Int64(message.wait.count());
    return json;
}

std::optional<feed_message> decodePermitRequest(const Json::Value &json)
{
    const auto report = decodeConstraintReport(json[reportField]);
    if (!report) {
        return std::nullopt;
    }
    return permit_request{jsonNumber(json, nonceField), static_cast<int>(jsonNumber(json, wantedField)), *report};
}

permit_response decodePermitResponse(const Json::Value &json)
{
    return {jsonNumber(json, nonceField),
            {instance_id(jsonString(json, replicaField)), replica_incarnation(jsonNumber(json, incarnationField))},
            std::min(maxPermitsPerResponse, static_cast<int>(jsonNumber(json, grantedField))),
            duration(static_cast<std::int64_t>(jsonNumber(json, waitField)))};
}

feed_subscription decodeSubscription(const Json::Value &json)
{
    feed_subscription subscription{daemon_id(jsonString(json, fromField)),
                                   jsonNumber(json, nonceField),
                                   decodeRevision(json, upToField),
                                   jsonFlag(json, wantsReplicasField),
                                   {},
                                   data_centre_id(jsonString(json, dataCentreField)),
                                   std::max(1, static_cast<int>(jsonNumber(json, daemonsField))),
                                   parseEndpoint(jsonString(json, relayField)),
                                   jsonFlag(json, endingField)};
    for (const auto &entry : jsonArray(json, demandField)) {
        subscription.demand.push_back({service_id(jsonString(entry, serviceField)),
                                       model_id(jsonString(entry, modelField)),
                                       static_cast<int>(jsonNumber(entry, outstandingField))});
    }
    subscription.candidates = decodeCandidates(jsonArray(json, candidatesField));
    if (json.isMember(dispatchersDigestField)) {
        subscription.dispatchersDigest = jsonNumber(json, dispatchersDigestField);
    }
    return subscription;
}

std::optional<feed_update> decodeUpdate(const Json::Value &json)
{
    feed_update update;
    update.nonce = jsonNumber(json, nonceField);
    update.origin = {parseEndpoint(jsonString(json, sourceField)).value_or(endpoint()), static_cast<int>(jsonNumber(json, hopsField))};
    update.daemons = static_cast<int>(jsonNumber(json, daemonsField));
    update.configuration = decodeRevision(json, configurationField);
    if (json.isMember(configurationAgeField)) {
        update.configurationAge = duration(static_cast<std::int64_t>(jsonNumber(json, configurationAgeField)));
    }
    if (json.isMember(replicasAgeField)) {
        update.replicasAge = duration(static_cast<std::int64_t>(jsonNumber(json, replicasAgeField)));
    }
    update.after = decodeRevision(json, afterField);
    update.upTo = decodeRevision(json, upToField);
    update.isHistoryLost = jsonFlag(json, historyLostField);
    if (json.isMember(evacuationsField)) {
        update.evacuations = decodeEvacuations(json[evacuationsField]);
        if (!update.evacuations) {
            return std::nullopt;
        }
    }
    if (json.isMember(evacuationsAgeField)) {
        update.evacuationsAge = decodeAge(json[evacuationsAgeField]);
        if (!update.evacuationsAge) {
            return std::nullopt;
        }
    }
    for (const auto &entry : jsonArray(json, changesField)) {
        auto change = decodeChange(entry, update.upTo.era());
        if (!change) {
            return std::nullopt;
        }
        update.changes.push_back(std::move(*change));
    }
    if (json.isMember(dispatchersField)) {
        // The list has a datagram of its own, so that nothing else is lost with an invalid one.
        update.dispatchers = decodeDispatchers(json[dispatchersField]);
        if (!update.dispatchers) {
            return std::nullopt;
        }
    }
    return update;
}

} // namespace

std::string encodeFeedMessage(const feed_message &message)
{
    return toJsonText(std::visit([](const auto &body) { return encodeBody(body); }, message));
}

std::optional<feed_message> decodeFeedMessage(std::string_view bytes)
{
    const auto json = parseJson(std::string(bytes));
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    const auto kind = jsonString(*json, kindField);
    if (kind == subscriptionKind) {
        return decodeSubscription(*json);
    }
    if (kind == updateKind) {
        auto update = decodeUpdate(*json);
        return update ? std::optional<feed_message>(std::move(*update)) : std::nullopt;
    }
    if (kind == stallKind) {
        return stall_report{daemon_id(jsonString(*json, fromField)), instance_id(jsonString(*json, replicaField))};
    }
    if (kind == stallWarningKind) {
        return group_stall_warning{instance_id(jsonString(*json, replicaField))};
    }
    if (kind == endKind) {
        return feed_end();
    }
    if (kind == referralKind) {
        const auto relay = parseEndpoint(jsonString(*json, relayField));
        return relay ? std::optional<feed_message>(feed_referral{*relay}) : std::nullopt;
    }
    if (kind == suspectBatchKind) {
        return decodeBatch(*json, &decodeSuspectReport);
    }
    if (kind == suspectAckKind) {
        return decodeAck<suspect_report>(*json);
    }
    if (kind == constraintBatchKind) {
        return decodeBatch(*json, &decodeConstraintReport);
    }
    if (kind == constraintAckKind) {
        return decodeAck<constraint_report>(*json);
    }
    if (kind == proxyBatchKind) {
        return decodeBatch(*json, &decodeProxyReport);
    }
    if (kind == proxyAckKind) {
        return decodeAck<proxy_report>(*json);
    }
    if (kind == partBatchKind) {
        return decodeBatch(*json, &decodePartReport);
    }
    if (kind == partAckKind) {
        return decodeAck<part_report>(*json);
    }
    if (kind == permitRequestKind) {
        return decodePermitRequest(*json);
    }
    if (kind == permitResponseKind) {
        return decodePermitResponse(*json);
    }
    return std::nullopt;
}

} // namespace vetchpost
