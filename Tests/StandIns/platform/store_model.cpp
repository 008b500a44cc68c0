// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/store_model.h"

#include "Libraries/Base/json.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <algorithm>
#include <utility>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr int badRequest = 400;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int historyGone = 410;
constexpr int preconditionFailed = 412;
/// The platform's limits for a transaction and a page.
constexpr unsigned maxEntriesPerTransaction = 32;
constexpr unsigned maxEntriesPerPage = 500;
constexpr std::size_t maxKeyLength = 200;
constexpr std::uint64_t minLeaseMs = 1000;
constexpr std::uint64_t maxLeaseMs = 600000;
/// Maximum number of stored changes; beyond it the older half is discarded.
constexpr std::size_t maxChanges = 20000;
constexpr char valueMarker = '=';

Json::Value makeItem(const store_model &store, const std::string &key)
{
    Json::Value json;
    json[names::key] = key;
    json[names::revision] = 0;
    const auto found = store.keys.entries.find(key);
    if (found != store.keys.entries.end()) {
        json[names::value] = found->second.value.substr(1);
        json[names::revision] = Json::UInt64(found->second.changed.number());
        json[stand_in_names::created] = Json::UInt64(store.created.at(key));
        json[names::lease] = Json::UInt64(found->second.lease.number());
    }
    return json;
}

Json::Value makeEvent(const key_value_entry &change)
{
    Json::Value json;
    json[names::key] = change.key;
    json[names::revision] = Json::UInt64(change.changed.number());
    if (change.value.empty()) {
        json[names::removed] = true;
    } else {
        json[names::value] = change.value.substr(1);
    }
    return json;
}

void limitHistory(store_model &store)
{
    auto &changes = store.keys.changes;
    if (changes.size() > maxChanges) {
        const auto half = changes.begin() + maxChanges / 2;
        store.discardedUpTo = (half - 1)->changed.number();
        changes.erase(changes.begin(), half);
    }
}

/// Returns 400, 403 or 404 if a transaction is invalid, whatever its conditions; 200 otherwise.
int validationStatus(const store_model &store, const Json::Value &transaction, bool mayWriteReserved)
{
    const auto &writes = jsonArray(transaction, names::writes);
    const auto &removals = jsonArray(transaction, names::removals);
    if (jsonArray(transaction, names::expected).size() + writes.size() + removals.size() > maxEntriesPerTransaction) {
        return badRequest;
    }
    int status = 200;
    const auto checkKey = [&](const std::string &key) {
        if (key.empty() || key.size() > maxKeyLength) {
            status = badRequest;
        } else if (isReservedKey(key) && !mayWriteReserved) {
            status = forbidden;
        }
    };
    for (const auto &write : writes) {
        checkKey(jsonString(write, names::key));
        const lease_number lease(jsonNumber(write, names::lease));
        if (status == 200 && lease != lease_number() && !store.keys.leases.contains(lease)) {
            status = notFound;
        }
    }
    for (const auto &removal : removals) {
        checkKey(removal.isString() ? removal.asString() : std::string());
    }
    return status;
}

/// Returns the current entries of all keys that have conditions; empty if all conditions hold.
Json::Value findConflicts(const store_model &store, const Json::Value &transaction)
{
    Json::Value entries(Json::arrayValue);
    bool isMet = true;
    for (const auto &condition : jsonArray(transaction, names::expected)) {
        entries.append(makeItem(store, jsonString(condition, names::key)));
        isMet = isMet && jsonNumber(entries[entries.size() - 1], names::revision) == jsonNumber(condition, names::revision);
    }
    return isMet ? Json::Value(Json::arrayValue) : entries;
}

} // namespace

bool isReservedKey(const std::string &key)
{
    return key.starts_with(stand_in_names::operatorPrefix) || key.starts_with(names::replicaPrefix);
}

store_answer readKey(const store_model &store, const std::string &key)
{
    if (!store.keys.entries.contains(key)) {
        return {notFound, {}};
    }
    store_answer answer{200, makeItem(store, key)};
    answer.body[names::storeRevision] = Json::UInt64(store.keys.lastRevision);
    return answer;
}

store_answer readRange(const store_model &store, const std::string &prefix, const std::string &lastKey)
{
    store_answer answer;
    answer.body[names::entries] = Json::Value(Json::arrayValue);
    answer.body[names::morePages] = false;
    answer.body[names::storeRevision] = Json::UInt64(store.keys.lastRevision);
    auto &entries = answer.body[names::entries];
    for (auto entry = store.keys.entries.lower_bound(prefix); entry != store.keys.entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        if (entry->first <= lastKey) {
            continue;
        }
        if (entries.size() == maxEntriesPerPage) {
            answer.body[names::morePages] = true;
            break;
        }
        entries.append(makeItem(store, entry->first));
    }
    return answer;
}

store_answer readChanges(const store_model &store, const std::string &prefix, std::uint64_t after)
{
    if (after < store.discardedUpTo || after > store.keys.lastRevision) {
        return {historyGone, {}};
    }
    store_answer answer;
    answer.body[names::events] = Json::Value(Json::arrayValue);
    answer.body[names::storeRevision] = Json::UInt64(store.keys.lastRevision);
    const auto &changes = store.keys.changes;
    const auto first = std::upper_bound(changes.begin(), changes.end(), after, [](std::uint64_t revision, const auto &change) {
        return revision < change.changed.number();
    });
    for (auto change = first; change != changes.end(); ++change) {
        if (change->key.starts_with(prefix)) {
            answer.body[names::events].append(makeEvent(*change));
        }
    }
    return answer;
}

store_answer transact(store_model &store, const Json::Value &transaction, bool mayWriteReserved)
{
    const int fault = validationStatus(store, transaction, mayWriteReserved);
    if (fault != 200) {
        return {fault, {}};
    }
    store_answer answer;
    if (const auto conflicts = findConflicts(store, transaction); !conflicts.empty()) {
        answer.status = preconditionFailed;
        answer.body[names::entries] = conflicts;
        return answer;
    }
    const key_revision revision(++store.keys.lastRevision);
    for (const auto &write : jsonArray(transaction, names::writes)) {
        const auto key = jsonString(write, names::key);
        const auto value = valueMarker + jsonString(write, names::value);
        if (!store.keys.entries.contains(key)) {
            store.created[key] = revision.number();
        }
        store.keys.entries[key] = {value, revision, lease_number(jsonNumber(write, names::lease))};
        store.keys.recordChange(key, value);
    }
    for (const auto &removal : jsonArray(transaction, names::removals)) {
        if (store.keys.entries.erase(removal.asString()) > 0) {
            store.keys.recordChange(removal.asString(), "");
        }
    }
    limitHistory(store);
    answer.body[names::revision] = Json::UInt64(revision.number());
    return answer;
}

store_answer grantLease(store_model &store, const Json::Value &call, instant now)
{
    const auto time = std::clamp(jsonNumber(call, names::leaseTime), minLeaseMs, maxLeaseMs);
    store_answer answer;
    answer.body[names::lease] = Json::UInt64(store.keys.grant(duration(time), now).number());
    answer.body[names::leaseTime] = Json::UInt64(time);
    return answer;
}

store_answer renewLease(store_model &store, lease_number lease, instant now)
{
    if (!store.keys.renew(lease, now)) {
        return {notFound, {}};
    }
    store_answer answer;
    answer.body[names::leaseTime] = Json::Int64(store.keys.leases.at(lease).time.count());
    return answer;
}

std::vector<lease_number> expireLeases(store_model &store, instant now)
{
    std::vector<lease_number> ended;
    for (const auto &[lease, term] : store.keys.leases) {
        if (term.ends <= now) {
            ended.push_back(lease);
        }
    }
    if (!ended.empty()) {
        store.keys.expire(now);
        limitHistory(store);
    }
    return ended;
}

void endLease(store_model &store, lease_number lease, instant now)
{
    store.keys.leases.erase(lease);
    store.keys.expire(now);
}

void discardHistory(store_model &store)
{
    store.keys.changes.clear();
    store.discardedUpTo = store.keys.lastRevision;
}

std::vector<Json::Value> restoreCopy(store_model &store, const store_model &copy, instant now)
{
    const auto before = std::exchange(store, copy);
    store.era = before.era + 1;
    // Lease numbers are not given out again.
    store.keys.lastLease = before.keys.lastLease;
    for (auto &[number, lease] : store.keys.leases) {
        lease.ends = now + lease.time;
    }
    std::vector<Json::Value> rewrites;
    for (const auto &[key, entry] : before.keys.entries) {
        const auto copied = store.keys.entries.find(key);
        const bool isSame = copied != store.keys.entries.end() && copied->second.value == entry.value;
        if (!isReservedKey(key) || isSame) {
            continue;
        }
        if (const auto lease = before.keys.leases.find(entry.lease); lease != before.keys.leases.end()) {
            // A replica that finds its lease gone acquires one and writes its entry under it; here it gets the same lease again.
            store.keys.leases[entry.lease] = {lease->second.time, now + lease->second.time};
        }
        Json::Value write;
        write[names::key] = key;
        write[names::value] = entry.value.substr(1);
        write[names::lease] = Json::UInt64(entry.lease.number());
        Json::Value transaction;
        transaction[names::writes].append(write);
        rewrites.push_back(std::move(transaction));
    }
    for (const auto &[key, entry] : copy.keys.entries) {
        if (isReservedKey(key) && !before.keys.entries.contains(key)) {
            Json::Value transaction;
            transaction[names::removals].append(key);
            rewrites.push_back(std::move(transaction));
        }
    }
    return rewrites;
}

} // namespace vetchpost::test
