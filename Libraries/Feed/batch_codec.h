// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Feed/feed_messages.h"

/// The encoding of batches of replicated tables and their acknowledgements (table_sync.h).
namespace vetchpost {

namespace batch_fields {

constexpr auto kind = "kind";
constexpr auto requestsAll = "first";
constexpr auto upTo = "up_to";
constexpr auto reports = "list";

} // namespace batch_fields

template <class Report>
Json::Value encodeBatch(const char *kind, const sync_batch<Report> &message, Json::Value (*encodeReport)(const Report &))
{
    Json::Value json;
    json[batch_fields::kind] = kind;
    json[batch_fields::requestsAll] = message.requestsAll;
    json[batch_fields::upTo] = Json::UInt64(message.upTo);
    for (const auto &report : message.reports) {
        json[batch_fields::reports].append(encodeReport(report));
    }
    return json;
}

template <class Report>
Json::Value encodeAck(const char *kind, const sync_ack<Report> &message)
{
    Json::Value json;
    json[batch_fields::kind] = kind;
    json[batch_fields::upTo] = Json::UInt64(message.upTo);
    return json;
}

/// Returns the batch, or nothing if one of its reports is invalid.
template <class Report>
std::optional<feed_message> decodeBatch(const Json::Value &json, std::optional<Report> (*decodeReport)(const Json::Value &))
{
    sync_batch<Report> batch{jsonFlag(json, batch_fields::requestsAll), jsonNumber(json, batch_fields::upTo), {}};
    for (const auto &entry : jsonArray(json, batch_fields::reports)) {
        auto report = decodeReport(entry);
        if (!report) {
            return std::nullopt;
        }
        batch.reports.push_back(std::move(*report));
    }
    return batch;
}

template <class Report>
sync_ack<Report> decodeAck(const Json::Value &json)
{
    return {jsonNumber(json, batch_fields::upTo)};
}

} // namespace vetchpost
