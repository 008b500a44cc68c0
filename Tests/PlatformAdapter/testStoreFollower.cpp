// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/store_follower.h"
#include "platform/platform_dialect.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace vetchpost;

namespace {

/// A key-value service whose next listings may fail.
class listing_store : public key_value_service
{
public:
    std::atomic<int> failures = 0;

    std::optional<key_value_entry> get(const std::string &key, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        return key_value_entry{key, {}, {}};
    }

    std::optional<key_value_listing> list(const std::string & /*prefix*/, read_freshness /*freshness*/, reason &lastReason) override
    {
        if (failures > 0) {
            --failures;
            lastReason = {error_kind::platform_unavailable, "too many calls"};
            return std::nullopt;
        }
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
    watch(const std::string & /*prefix*/, std::uint64_t after, duration /*wait*/, reason & /*lastReason*/) override
    {
        std::this_thread::sleep_for(duration(20));
        return watch_result{after, {}, false};
    }
};

bool isWithin(duration time, const std::function<bool()> &question)
{
    const auto end = monotonicNow() + time;
    while (monotonicNow() < end && !question()) {
        std::this_thread::sleep_for(duration(10));
    }
    return question();
}

} // namespace

// What can happen, by reading: a daemon takes the coordination over and asks for a whole new listing, before which it plans nothing. That
// one call is refused or its answer is lost, while the watches go on well. Nothing asked for the listing again: the daemon kept its lease,
// and no group was formed or closed until a watch happened to fail.
TEST_CASE("A listing that failed is asked for again")
{
    listing_store service;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(service, dialect, feedTiming(duration(2000)), counters, [] {});
    follower.noteTraffic();
    follower.start();
    REQUIRE(isWithin(duration(3000), [&] { return follower.listedAt().has_value(); }));
    std::this_thread::sleep_for(duration(100));
    follower.setSource(true);
    service.failures = 1;
    const auto asked = monotonicNow();
    follower.listAgain();
    CHECK(isWithin(duration(3000), [&] { return *follower.listedAt() >= asked; }));
    follower.stop();
}
