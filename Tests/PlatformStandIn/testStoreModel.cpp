// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "Tests/StandIns/platform/store_model.h"
#include "platform/names.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

namespace names = platform_names;

const instant now(duration(100000));
constexpr int conflict = 412;
constexpr int notFound = 404;
constexpr int historyGone = 410;
constexpr int forbidden = 403;

Json::Value writeOf(const std::string &key, const std::string &value, std::optional<std::uint64_t> expected = {}, std::uint64_t lease = 0)
{
    Json::Value write;
    write[names::key] = key;
    write[names::value] = value;
    write[names::lease] = Json::UInt64(lease);
    Json::Value transaction;
    transaction[names::writes].append(write);
    if (expected) {
        Json::Value condition;
        condition[names::key] = key;
        condition[names::revision] = Json::UInt64(*expected);
        transaction[names::expected].append(condition);
    }
    return transaction;
}

} // namespace

TEST_CASE("A conditional write takes effect once, and a conflict returns the current entries")
{
    store_model store;
    CHECK(jsonNumber(transact(store, writeOf("my/leader", "YQ==", 0), false).body, names::revision) == 1);
    const auto second = transact(store, writeOf("my/leader", "Yg==", 0), false);
    REQUIRE(second.status == conflict);
    CHECK(second.body[names::entries][0][names::value] == "YQ==");
    CHECK(jsonNumber(second.body[names::entries][0], names::revision) == 1);
    CHECK(jsonNumber(transact(store, writeOf("my/leader", "Yg==", 1), false).body, names::revision) == 2);
    const auto item = readKey(store, "my/leader").body;
    CHECK(jsonNumber(item, "Created") == 1);
    CHECK(jsonNumber(item, names::revision) == 2);
}

TEST_CASE("A transaction is applied completely or not at all")
{
    store_model store;
    auto both = writeOf("a", "YQ==");
    both[names::writes].append(writeOf("b", "Yg==", {}, 77)[names::writes][0]);
    CHECK(transact(store, both, false).status == notFound);
    CHECK(readKey(store, "a").status == notFound);
    CHECK(store.keys.lastRevision == 0);
}

TEST_CASE("Only the operator and the replicas may write their keys")
{
    store_model store;
    CHECK(transact(store, writeOf("op/config", ""), false).status == forbidden);
    CHECK(transact(store, writeOf("servers/i-1", ""), false).status == forbidden);
    CHECK(transact(store, writeOf("servers/i-1", ""), true).status == 200);
}

TEST_CASE("A key is removed with its lease, which expires after its time from the last renewal")
{
    store_model store;
    Json::Value call;
    call[names::leaseTime] = 1500;
    const lease_number lease(jsonNumber(grantLease(store, call, now).body, names::lease));
    transact(store, writeOf("my/leader", "YQ==", 0, lease.number()), false);
    CHECK(expireLeases(store, now + duration(1400)).empty());
    CHECK(renewLease(store, lease, now + duration(1400)).status == 200);
    CHECK(expireLeases(store, now + duration(2800)).empty());
    CHECK(expireLeases(store, now + duration(2900)) == std::vector{lease});
    CHECK(readKey(store, "my/leader").status == notFound);
    CHECK(renewLease(store, lease, now + duration(2900)).status == notFound);
    CHECK(readChanges(store, "my/", 1).body[names::events][0][names::removed] == true);
}

TEST_CASE("Ending a lease removes its keys at once")
{
    store_model store;
    const lease_number lease(jsonNumber(grantLease(store, Json::Value(Json::objectValue), now).body, names::lease));
    transact(store, writeOf("my/leader", "YQ==", 0, lease.number()), false);
    endLease(store, lease, now);
    CHECK(readKey(store, "my/leader").status == notFound);
}

TEST_CASE("A watch returns each change under its prefix once, and an empty value is not a removal")
{
    store_model store;
    transact(store, writeOf("servers/a", "YQ=="), true);
    transact(store, writeOf("other", "YQ=="), true);
    transact(store, writeOf("servers/b", ""), true);
    const auto all = readChanges(store, "servers/", 0).body;
    REQUIRE(all[names::events].size() == 2);
    CHECK(all[names::events][1][names::value] == "");
    CHECK_FALSE(all[names::events][1].isMember(names::removed));
    CHECK(jsonNumber(all, names::storeRevision) == 3);
    CHECK(readChanges(store, "servers/", 3).body[names::events].empty());
}

TEST_CASE("A watch from within the discarded history is refused, one from its end is not")
{
    store_model store;
    transact(store, writeOf("servers/a", "YQ=="), true);
    transact(store, writeOf("servers/a", "Yg=="), true);
    discardHistory(store);
    CHECK(readChanges(store, "servers/", 1).status == historyGone);
    CHECK(readChanges(store, "servers/", 2).status == 200);
    CHECK(readKey(store, "servers/a").status == 200);
}

TEST_CASE("The pages of a range contain all keys")
{
    constexpr int keys = 700;
    store_model store;
    for (int number = 0; number < keys; ++number) {
        transact(store, writeOf("servers/" + std::to_string(number), "YQ=="), true);
    }
    const auto first = readRange(store, "servers/", {}).body;
    CHECK(first[names::morePages] == true);
    const auto size = first[names::entries].size();
    const auto rest = readRange(store, "servers/", first[names::entries][size - 1][names::key].asString()).body;
    CHECK(rest[names::morePages] == false);
    CHECK(size + rest[names::entries].size() == keys);
}

TEST_CASE("A store that comes back from a copy gives revisions out again, and rejects watches from those that it does not have")
{
    store_model store;
    transact(store, writeOf("servers/i-1", "YQ=="), true);
    const auto copy = store;
    const auto lease = grantLease(store, Json::Value(), now);
    transact(store, writeOf("my/leader", "YQ==", {}, jsonNumber(lease.body, names::lease)), false);
    transact(store, writeOf("servers/i-1", "Yg=="), true);
    transact(store, writeOf("servers/i-2", "YQ=="), true);
    const auto rewrites = restoreCopy(store, copy, now);
    CHECK(store.era == copy.era + 1);
    CHECK(readKey(store, "my/leader").status == notFound);
    CHECK(renewLease(store, lease_number(jsonNumber(lease.body, names::lease)), now).status == notFound);
    CHECK(readChanges(store, "servers/", 4).status == historyGone);
    REQUIRE(rewrites.size() == 2);
    CHECK(jsonNumber(transact(store, rewrites[0], true).body, names::revision) == 2);
    CHECK(readKey(store, "servers/i-1").body[names::value] == "Yg==");
    transact(store, rewrites[1], true);
    CHECK(readKey(store, "servers/i-2").status == 200);
    // The change at revision 3 replaced another one, but a watch from there cannot tell.
    CHECK(readChanges(store, "servers/", 3).status == 200);
}
