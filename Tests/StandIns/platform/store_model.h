// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Fakes/fake_key_value_store.h"

#include <json/value.h>

namespace vetchpost::test {

/// The platform's store in terms of its protocol, built on the fake store that the fuzzers use. Values stay in base64, after a marker
/// character that distinguishes an empty value from a removal.
struct store_model
{
    fake_key_value_store keys;
    std::map<std::string, std::uint64_t> created;
    /// Last revision whose changes have been discarded.
    std::uint64_t discardedUpTo = 0;
    /// Increases each time that the store comes back from an older copy.
    std::uint64_t era = 1;
};

struct store_answer
{
    int status = 200;
    Json::Value body = Json::Value(Json::objectValue);
};

/// Returns whether only the operator and the replicas may write the key.
bool isReservedKey(const std::string &key);

/// Returns the entry of a key; 404 if there is none.
store_answer readKey(const store_model &store, const std::string &key);
/// Returns a page of the entries whose keys start with \a prefix and follow \a lastKey.
store_answer readRange(const store_model &store, const std::string &prefix, const std::string &lastKey);
/// Returns the changes under \a prefix after a revision; 410 if they have been discarded, or the store does not have the revision.
store_answer readChanges(const store_model &store, const std::string &prefix, std::uint64_t after);
/// Applies a transaction completely or not at all; 412 with the current entries if one of its conditions does not hold.
store_answer transact(store_model &store, const Json::Value &transaction, bool mayWriteReserved);
store_answer grantLease(store_model &store, const Json::Value &call, instant now);
store_answer renewLease(store_model &store, lease_number lease, instant now);
/// Removes the keys of expired leases; returns these leases.
std::vector<lease_number> expireLeases(store_model &store, instant now);
void endLease(store_model &store, lease_number lease, instant now);
void discardHistory(store_model &store);
/// Replaces the store by an older copy of itself, which begins a new era: all later changes are gone, and their revisions are given out
/// again. Returns the transactions with which the operator and the replicas write again what they had written since the copy was made, in
/// the order of the keys.
std::vector<Json::Value> restoreCopy(store_model &store, const store_model &copy, instant now);

} // namespace vetchpost::test
