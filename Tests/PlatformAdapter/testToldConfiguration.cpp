// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/store_follower.h"
#include "platform/platform_dialect.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace vetchpost;

namespace {

/// Holds one configuration, of which stale reads may see an older one.
class scripted_store : public key_value_service
{
public:
    std::atomic<std::uint64_t> newest = 1;
    std::atomic<std::uint64_t> staleSees = 1;
    std::atomic<int> currentReads = 0;
    std::atomic<int> staleReads = 0;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason & /*lastReason*/) override
    {
        const bool isStale = freshness == read_freshness::may_be_stale;
        ++(isStale ? staleReads : currentReads);
        const auto revision = isStale ? staleSees.load() : newest.load();
        return key_value_entry{key, R"({"Version":)" + std::to_string(revision) + R"(,"Routes":[],"Services":[]})", key_revision(revision)};
    }
    std::optional<key_value_listing> list(const std::string & /*prefix*/, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        return key_value_listing{{}, 1};
    }
    swap_result
    compareAndSwap(const std::string & /*key*/, key_revision /*expected*/, const std::string & /*value*/, lease_number /*lease*/) override
    {
        return {};
    }
    std::optional<lease_number> grantLease(duration /*time*/, reason & /*lastReason*/) override
    {
        return std::nullopt;
    }
    std::optional<bool> renewLease(lease_number /*lease*/, reason & /*lastReason*/) override
    {
        return std::nullopt;
    }
    void endLease(lease_number /*lease*/) override
    {
    }
    std::optional<watch_result>
    watch(const std::string & /*prefix*/, std::uint64_t /*after*/, duration /*wait*/, reason & /*lastReason*/) override
    {
        std::this_thread::sleep_for(duration(20));
        return watch_result{1, {}, false};
    }
};

/// Tells the follower of a configuration again and again until it has it in force; its version then.
std::uint64_t versionAfterTelling(store_follower &follower, std::uint64_t revision)
{
    const auto until = monotonicNow() + duration(5000);
    while (monotonicNow() < until) {
        feed_update update;
        update.nonce = 1;
        update.configuration = key_revision(revision);
        update.configurationAge = duration(10);
        follower.takeUpdate(update, monotonicNow());
        const auto routes = follower.routes();
        if (routes && routes->configuration().version >= revision) {
            return routes->configuration().version;
        }
        std::this_thread::sleep_for(duration(20));
    }
    return 0;
}

} // namespace

TEST_CASE("A configuration that the source told of is read at the price of a stale read, and anew where that is too old")
{
    scripted_store store;
    platform_dialect dialect;
    metrics counters;
    // Its own reading is so seldom that all that follows is told.
    store_follower follower(store, dialect, feedTiming(duration(60000)), counters, [] {});
    follower.start();
    REQUIRE(versionAfterTelling(follower, 1) == 1);
    const int readsBefore = store.currentReads;
    store.newest = 2;
    store.staleSees = 2;
    CHECK(versionAfterTelling(follower, 2) == 2);
    CHECK(store.currentReads == readsBefore);
    const auto currentAt = follower.configurationCurrentAt();
    REQUIRE(currentAt);
    CHECK(*currentAt <= monotonicNow() - duration(10));
    store.newest = 3;
    CHECK(versionAfterTelling(follower, 3) == 3);
    CHECK(store.currentReads == readsBefore + 1);
    follower.stop();
}
