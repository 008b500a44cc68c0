// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/entry_writer.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Base/json.h"
#include "Tests/StandIns/platform/stand_in_names.h"
#include "platform/base64.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr duration pollPeriod(10);
constexpr duration callTimeout(500);
/// Lifetime of an entry's lease, in heartbeats.
constexpr int leaseHeartbeats = 3;
/// Entries that other writers may leave under the replicas' prefix. None describes a usable replica, and nothing listens on the address.
constexpr std::array foreignEntries
    = {"no JSON",
       "[]",
       R"({"Service":"engines"})",
       R"({"Service":"engines","Address":"127.0.0.1:1","Zone":"ikeja","Version":"v1","Slots":"4","State":"ready","ColdLeftMs":0,"Seq":1})",
       R"({"Service":"engines","Address":"127.0.0.1:1","Zone":"ikeja","Version":"v1","Slots":4,"State":"idle","ColdLeftMs":0,"Seq":1})",
       R"({"Service":"s0","Address":"127.0.0.1:1","Zone":"ikeja","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1})",
       R"({"Service":"other","Address":"127.0.0.1:1","Zone":"ikeja","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1})"};

} // namespace

entry_writer::entry_writer(replica_host &host, endpoint store, duration heartbeat)
    : m_host(host)
    , m_store(std::move(store))
    , m_heartbeat(heartbeat)
    , m_thread([this] { run(); })
{
}

entry_writer::~entry_writer()
{
    m_isStopping = true;
    m_thread.join();
}

void entry_writer::run()
{
    while (!m_isStopping && !writeForeign()) {
        std::this_thread::sleep_for(pollPeriod);
    }
    while (!m_isStopping) {
        std::this_thread::sleep_for(pollPeriod);
        const auto desired = m_host.desiredEntries();
        removeAbsent(desired);
        // A failed call to the store ends the round.
        std::all_of(desired.begin(), desired.end(), [this](const auto &entry) { return m_isStopping || update(entry); });
    }
}

bool entry_writer::update(const replica_host::desired_entry &desired)
{
    auto &entry = m_written[desired.id];
    const auto now = monotonicNow();
    if (entry.lease != 0 && entry.text == desired.text && now - entry.renewedAt < m_heartbeat) {
        return true;
    }
    if (entry.lease != 0 && now - entry.renewedAt >= m_heartbeat) {
        const auto reply = call("POST", names::renewLeaseCall + std::to_string(entry.lease), Json::Value(Json::objectValue));
        if (!reply) {
            return false;
        }
        entry.renewedAt = now;
        if (!reply->isSuccess()) {
            const auto returnTime = std::max<std::int64_t>(1, m_host.entryReturnTime().count());
            const auto varied
                = hashOf(fmt::format("{}-{}", desired.id, now.time_since_epoch().count())) % static_cast<std::uint64_t>(returnTime);
            entry = {};
            entry.returnsAt = now + duration(static_cast<std::int64_t>(varied));
        }
    }
    if (now < entry.returnsAt) {
        return true;
    }
    if (entry.lease == 0) {
        Json::Value body;
        body[names::leaseTime] = Json::Int64((m_heartbeat * leaseHeartbeats).count());
        const auto reply = call("POST", names::grantLeaseCall, body);
        const auto json = reply && reply->isSuccess() ? parseJson(reply->body) : std::nullopt;
        if (!json) {
            return false;
        }
        entry = {jsonNumber(*json, names::lease), {}, now};
    }
    return entry.text == desired.text || write(desired, entry);
}

bool entry_writer::write(const replica_host::desired_entry &desired, written_entry &entry)
{
    Json::Value write;
    write[names::key] = names::replicaPrefix + desired.id;
    write[names::value] = encodeBase64(desired.text);
    write[names::lease] = Json::UInt64(entry.lease);
    Json::Value body;
    body[names::writes].append(write);
    const auto reply = call("POST", names::transactionCall, body);
    if (!reply || !reply->isSuccess()) {
        return false;
    }
    entry.text = desired.text;
    if (desired.isDraining) {
        m_host.scheduleTermination(desired.id);
    }
    return true;
}

bool entry_writer::writeForeign()
{
    Json::Value body;
    for (const auto *text : foreignEntries) {
        Json::Value write;
        write[names::key] = fmt::format("{}foreign-{}", names::replicaPrefix, body[names::writes].size());
        write[names::value] = encodeBase64(text);
        body[names::writes].append(write);
    }
    const auto reply = call("POST", names::transactionCall, body);
    return reply && reply->isSuccess();
}

/// Deletes the entry of a replica that stopped as planned at once; the entry of one that crashed or is cut off expires with its lease.
void entry_writer::removeAbsent(const std::vector<replica_host::desired_entry> &desired)
{
    std::erase_if(m_written, [&](const auto &written) {
        const bool isDesired = std::any_of(desired.begin(), desired.end(), [&](const auto &entry) { return entry.id == written.first; });
        if (!isDesired && written.second.text.find(std::string("\"") + names::draining + "\"") != std::string::npos) {
            call("DELETE", names::endLeaseCall + std::to_string(written.second.lease), Json::Value());
        }
        return !isDesired;
    });
}

std::optional<http_reply> entry_writer::call(const char *method, const std::string &target, const Json::Value &body)
{
    http_call call;
    call.to = m_store;
    call.method = method;
    call.target = target;
    call.headers = {{"Content-Type", "application/json"}, {stand_in_names::ownCall, stand_in_names::ownCallValue}};
    call.body = body.isNull() ? std::string() : toJsonText(body);
    call.connectTimeout = callTimeout;
    call.receiveTimeout = callTimeout;
    reason ignored;
    return m_connections.send(call, ignored);
}

} // namespace vetchpost::test
