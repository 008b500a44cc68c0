// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Fakes/fake_key_value_store.h"

#include <json/value.h>

namespace vetchpost::test {

/// The platform's store by the words of its wire, over the fake that the fuzzers use. Values stay in base64, with a sign before them that
/// tells an empty value from a removal.
struct store_model
{
    fake_key_value_store keys;
    std::map<std::string, std::uint64_t> created;
    /// Changes up to this revision are no longer known.
    std::uint64_t forgottenUpTo = 0;
};

struct store_answer
{
    int status = 200;
    Json::Value body = Json::Value(Json::objectValue);
};

/// Whether only the operator and the replicas may write the key.
bool isReservedKey(const std::string &key);

store_answer readKey(const store_model &store, const std::string &key);
/// A page of the keys that begin with \a prefix, after \a lastKey.
store_answer readRange(const store_model &store, const std::string &prefix, const std::string &lastKey);
/// The changes under \a prefix after a revision; 410 where they are no longer known.
store_answer readChanges(const store_model &store, const std::string &prefix, std::uint64_t after);
/// Does all of a transaction or nothing.
store_answer transact(store_model &store, const Json::Value &transaction, bool mayWriteReserved);
store_answer grantLease(store_model &store, const Json::Value &call, instant now);
store_answer renewLease(store_model &store, lease_number lease, instant now);
/// Removes the keys of leases that have lapsed; returns those leases.
std::vector<lease_number> expireLeases(store_model &store, instant now);
void endLease(store_model &store, lease_number lease, instant now);
void forgetHistory(store_model &store);

} // namespace vetchpost::test
