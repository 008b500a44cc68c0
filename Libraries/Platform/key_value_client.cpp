// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/key_value_client.h"

#include "Libraries/Base/json.h"
#include "Libraries/Platform/store_connection.h"

#include <Poco/URI.h>

#include <fmt/format.h>

namespace vetchpost {

namespace {

constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int historyGone = 410;
/// In every answer of a service that may come back from an older copy of itself.
constexpr auto eraHeader = "Key-Value-Era";
constexpr int firstServerError = 500;
constexpr duration callTimeout(2000);
constexpr duration watchTimeoutMargin(3000);
constexpr std::size_t maximumListSize = 64U << 20U;

std::string percentEncoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "/?&=+%#", result);
    return result;
}

key_value_entry entryOf(const Json::Value &json, store_era era)
{
    return {jsonString(json, "key"), jsonString(json, "value"), key_revision(jsonNumber(json, "revision"), era)};
}

std::vector<key_value_entry> entriesOf(const Json::Value &json, const char *name, store_era era)
{
    std::vector<key_value_entry> entries;
    for (const auto &entry : jsonArray(json, name)) {
        entries.push_back(entryOf(entry, era));
    }
    return entries;
}

} // namespace

struct key_value_client::private_data
{
    endpoint address;
    store_connection connection;
    counter reads;
    counter writes;
    counter leases;
    counter watches;
    counter failures;
    gauge waitingWatches;

    private_data(endpoint at, metrics &counters)
        : address(std::move(at))
        , connection(eraHeader)
        , reads(callCounter(counters, "read"))
        , writes(callCounter(counters, "write"))
        , leases(callCounter(counters, "lease"))
        , watches(callCounter(counters, "watch"))
        , failures(counters.addCounter("vetchpost_key_value_failures_total", "Calls to the key-value service without a usable answer."))
        , waitingWatches(counters.addGauge("vetchpost_key_value_waiting_watches", "Watches that wait at the key-value service now."))
    {
    }

    static counter callCounter(metrics &counters, const std::string &kind)
    {
        return counters.addCounter("vetchpost_key_value_calls_total", "Calls to the key-value service.", {{"call", kind}});
    }

    http_call makeCall(const std::string &method, const std::string &target, const Json::Value &body = {}) const
    {
        http_call call;
        call.to = address;
        call.method = method;
        call.target = target;
        call.receiveTimeout = callTimeout;
        call.maximumReplySize = maximumListSize;
        if (!body.isNull()) {
            call.body = toJsonText(body);
        }
        return call;
    }

    /// The body of a successful reply as JSON; otherwise nothing, and \a lastReason is set to platform_unavailable.
    std::optional<Json::Value> parseReply(const std::optional<http_reply> &reply, reason &lastReason) const
    {
        if (reply && reply->isSuccess()) {
            if (auto value = parseJson(reply->body)) {
                return value;
            }
        }
        failures.increment();
        if (reply) {
            lastReason.text = fmt::format("the key-value service answered {}", reply->status);
        }
        lastReason.kind = error_kind::platform_unavailable;
        return std::nullopt;
    }
};

key_value_client::key_value_client(endpoint address, metrics &counters)
    : d(std::make_unique<private_data>(std::move(address), counters))
{
}

key_value_client::~key_value_client() = default;

std::optional<key_value_entry> key_value_client::get(const std::string &key, read_freshness /*freshness*/, reason &lastReason)
{
    d->reads.increment();
    const auto reply = d->connection.send(d->makeCall("GET", "/v1/keys/" + percentEncoded(key)), lastReason);
    if (reply && reply->status == notFound) {
        return key_value_entry{key, {}, {}};
    }
    const auto json = d->parseReply(reply, lastReason);
    return json ? std::optional(entryOf(*json, d->connection.eraOf(reply))) : std::nullopt;
}

std::optional<key_value_listing> key_value_client::list(const std::string &prefix, read_freshness /*freshness*/, reason &lastReason)
{
    d->reads.increment();
    const auto reply = d->connection.send(d->makeCall("GET", "/v1/keys?prefix=" + percentEncoded(prefix)), lastReason);
    const auto json = d->parseReply(reply, lastReason);
    if (!json) {
        return std::nullopt;
    }
    const auto era = d->connection.eraOf(reply);
    return key_value_listing{entriesOf(*json, "entries", era), store_revision(jsonNumber(*json, "revision"), era)};
}

swap_result key_value_client::compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease)
{
    d->writes.increment();
    if (!d->connection.eras().isPresent(expected) || !d->connection.eras().isPresent(lease)) {
        return {swap_outcome::conflict, {}};
    }
    Json::Value body;
    body["key"] = key;
    body["expected"] = Json::UInt64(expected.number());
    body["value"] = value;
    body["lease"] = Json::UInt64(lease.number());
    reason why;
    const auto reply = d->connection.sendOnce(d->makeCall("POST", "/v1/swap", body), why);
    if (!reply) {
        d->failures.increment();
        return {why.kind == error_kind::backend_unreachable ? swap_outcome::not_sent : swap_outcome::unknown, {}};
    }
    if (reply->status == conflict) {
        return {swap_outcome::conflict, {}};
    }
    if (reply->isSuccess()) {
        const auto json = parseJson(reply->body);
        const auto era = d->connection.eraOf(reply);
        // The service may have come back from an older copy without this daemon's knowledge, so that the expected revision or the lease was
        // another one.
        if (json && isOfEra(expected, era) && isOfEra(lease, era)) {
            return {swap_outcome::applied, key_revision(jsonNumber(*json, "revision"), era)};
        }
    }
    d->failures.increment();
    // Nothing was written if the service rejected the request. After an internal error of the service the outcome is unknown.
    return {reply->status >= firstServerError || reply->isSuccess() ? swap_outcome::unknown : swap_outcome::not_sent, {}};
}

std::optional<lease_number> key_value_client::grantLease(duration time, reason &lastReason)
{
    d->leases.increment();
    Json::Value body;
    body["time_ms"] = Json::Int64(time.count());
    const auto reply = d->connection.sendOnce(d->makeCall("POST", "/v1/leases", body), lastReason);
    const auto json = d->parseReply(reply, lastReason);
    return json ? std::optional(lease_number(jsonNumber(*json, "lease"), d->connection.eraOf(reply))) : std::nullopt;
}

std::optional<bool> key_value_client::renewLease(lease_number lease, reason &lastReason)
{
    d->leases.increment();
    if (!d->connection.eras().isPresent(lease)) {
        return false;
    }
    const auto target = fmt::format("/v1/leases/{}/renew", lease.number());
    const auto reply = d->connection.send(d->makeCall("POST", target, Json::Value(Json::objectValue)), lastReason);
    if (reply && reply->status == notFound) {
        return false;
    }
    return d->parseReply(reply, lastReason) ? std::optional(isOfEra(lease, d->connection.eraOf(reply))) : std::nullopt;
}

void key_value_client::endLease(lease_number lease)
{
    // The interface has no such call; the lease expires on its own.
    static_cast<void>(lease);
}

std::optional<watch_result> key_value_client::watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason)
{
    d->watches.increment();
    d->waitingWatches.add(1);
    auto call
        = d->makeCall("GET", fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", percentEncoded(prefix), after.number(), wait.count()));
    call.receiveTimeout = wait + watchTimeoutMargin;
    const auto reply = d->connection.send(call, lastReason);
    d->waitingWatches.add(-1);
    const auto era = d->connection.eraOf(reply);
    // In another era the same number is another revision, also where the service has it.
    if (reply && (reply->status == historyGone || (reply->isSuccess() && era != after.era()))) {
        return watch_result{after, {}, true};
    }
    const auto json = d->parseReply(reply, lastReason);
    if (!json) {
        return std::nullopt;
    }
    return watch_result{store_revision(jsonNumber(*json, "revision"), era), entriesOf(*json, "changes", era), false};
}

store_era key_value_client::era() const
{
    return d->connection.eras().latest();
}

} // namespace vetchpost
