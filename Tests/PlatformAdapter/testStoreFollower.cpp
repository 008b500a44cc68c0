// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"
#include "Libraries/Entry/store_follower.h"
#include "Tests/Fakes/waiting.h"
#include "platform/platform_dialect.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// A key-value service with listings that can fail or wait, and a history that can be lost.
class listing_store : public key_value_service
{
public:
    /// Number of listings that fail from now on.
    std::atomic<int> failures = 0;
    /// While set, the next listing waits; it succeeds once this is reset.
    std::atomic<bool> holdsListing = false;
    std::atomic<bool> isListingHeld = false;
    /// The revision of the last change; a watch returns at most 500 changes.
    std::atomic<std::uint64_t> lastChange = 1;
    std::atomic<int> watches = 0;
    /// The next watch reports a lost history, after it has waited for longer than lapsingOutage.
    std::atomic<bool> isHistoryLost = false;

    std::atomic<int> staleReads = 0;
    std::atomic<int> currentReads = 0;
    /// The value of every key, at the service's revision 1; empty for no entry.
    std::string value;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason & /*lastReason*/) override
    {
        ++(freshness == read_freshness::current ? currentReads : staleReads);
        return value.empty() ? key_value_entry{key, {}, {}} : key_value_entry{key, value, key_revision(1)};
    }

    std::optional<key_value_listing> list(const std::string & /*prefix*/, read_freshness /*freshness*/, reason &lastReason) override
    {
        if (holdsListing && !isListingHeld.exchange(true)) {
            while (holdsListing) {
                std::this_thread::sleep_for(duration(5));
            }
            return key_value_listing{{}, store_revision(lastChange)};
        }
        if (failures > 0) {
            --failures;
            lastReason = {error_kind::platform_unavailable, "too many calls"};
            return std::nullopt;
        }
        return key_value_listing{{}, store_revision(lastChange)};
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

    std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration /*wait*/, reason & /*lastReason*/) override
    {
        constexpr std::uint64_t mostChanges = 500;
        ++watches;
        if (isHistoryLost.exchange(false)) {
            std::this_thread::sleep_for(lapsingOutage + duration(300));
            return watch_result{after, {}, true};
        }
        std::this_thread::sleep_for(duration(20));
        const auto upTo = std::max(after.number(), std::min(lastChange.load(), after.number() + mostChanges));
        watch_result result{store_revision(upTo), {}, false};
        for (auto revision = after.number() + 1; revision <= upTo; ++revision) {
            result.changes.push_back({prefix + "i-" + std::to_string(revision), "", key_revision(revision)});
        }
        return result;
    }
};

} // namespace

// A new coordinator requests a complete listing, before which it plans nothing. If that call fails while the watches succeed, and the
// listing is not repeated, the daemon keeps its lease and no group is formed or closed until a watch happens to fail.
TEST_CASE("A failed listing is repeated")
{
    listing_store service;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.recordTraffic();
    follower.start();
    REQUIRE(isWithin(duration(3000), [&] { return follower.listedAt().has_value(); }));
    std::this_thread::sleep_for(duration(100));
    follower.setSource(true);
    service.failures = 1;
    const auto asked = monotonicNow();
    follower.relist();
    CHECK(isWithin(duration(3000), [&] { return *follower.listedAt() >= asked; }));
    follower.stop();
}

// A coordinator plans nothing before the answer to a listing that began in its term.
TEST_CASE("The answer to an older listing does not count for one that began later")
{
    const bool isNewerLost = GENERATE(false, true);
    CAPTURE(isNewerLost);
    listing_store service;
    service.holdsListing = true;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.recordTraffic();
    follower.start();
    REQUIRE(isWithin(duration(3000), [&] { return service.isListingHeld.load(); }));
    std::this_thread::sleep_for(duration(20));
    follower.setSource(true);
    service.failures = isNewerLost ? 1 : 0;
    const auto asked = monotonicNow();
    follower.relist();
    CHECK(follower.listedAt().has_value() != isNewerLost);
    service.holdsListing = false;
    std::this_thread::sleep_for(duration(300));
    CHECK(isWithin(duration(3000), [&] { return *follower.listedAt() >= asked; }));
    follower.stop();
}

// A large configuration occupies a small instance's link for a quarter of a second. If restarted daemons read it twice, once to learn that
// there is one, they refuse every request until the second read is complete.
TEST_CASE("A daemon that starts in a running system reads its first configuration once")
{
    for (const bool isRunning : {true, false}) {
        CAPTURE(isRunning);
        listing_store service;
        service.value = R"({"Version":1,"Routes":[],"Services":[],"Tenants":[]})";
        const platform_dialect dialect;
        metrics counters;
        store_follower follower(
            service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
        if (isRunning) {
            follower.recordTraffic();
        }
        follower.start();
        REQUIRE(isWithin(duration(3000), [&] { return follower.routes() != nullptr; }));
        CHECK(service.currentReads == 1);
        CHECK(service.staleReads == (isRunning ? 0 : 1));
        follower.stop();
    }
}

TEST_CASE("A daemon that waits for its first request learns thousands of changes with one listing")
{
    listing_store service;
    service.lastChange = 3300;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.start();
    CHECK(isWithin(duration(2500), [&] { return follower.replicasUpTo() == store_revision(3300); }));
    follower.stop();
}

TEST_CASE("A daemon watches nothing before its first request, and catches up by watches without pauses afterwards")
{
    listing_store service;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.start();
    REQUIRE(isWithin(duration(2500), [&] { return follower.listedAt().has_value(); }));
    service.lastChange = 3300;
    std::this_thread::sleep_for(duration(500));
    CHECK(service.watches == 0);
    follower.recordTraffic();
    CHECK(isWithin(duration(1500), [&] { return follower.replicasUpTo() == store_revision(3300); }));
    CHECK(service.watches > 0);
    follower.stop();
}

// A service that loses its history answers all the time, so that its listing shows what was removed. Followers that have all changes up to
// the previous listing need not list themselves.
TEST_CASE("A lost history is no outage: entries missing in the new listing were removed, and followers continue")
{
    listing_store service;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.recordTraffic();
    follower.setSource(true);
    follower.start();
    REQUIRE(isWithin(duration(3000), [&] { return follower.listedAt().has_value(); }));
    std::this_thread::sleep_for(lapsingOutage + duration(300));
    const auto known = follower.replicasUpTo();
    const auto listed = *follower.listedAt();
    service.lastChange = known.number() + 5;
    service.isHistoryLost = true;
    REQUIRE(isWithin(duration(3000), [&] { return *follower.listedAt() > listed; }));
    const auto answer = follower.answerSubscription({daemon_id("d1"), 1, known}, {"127.0.0.1", 7001});
    REQUIRE_FALSE(answer.empty());
    CHECK_FALSE(std::get<feed_update>(answer.back().message).isHistoryLost);
    follower.stop();
}

// Guards against conclusions from the absence of a head that no daemon could see, since the service was away.
TEST_CASE("The time for which all changes are known begins anew after an outage")
{
    listing_store service;
    const platform_dialect dialect;
    metrics counters;
    store_follower follower(
        service, dialect, feedTiming(duration(2000)), counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {});
    follower.recordTraffic();
    follower.setSource(true);
    follower.start();
    REQUIRE(isWithin(duration(3000), [&] { return follower.followedSince().has_value(); }));
    const auto before = *follower.followedSince();
    follower.relist();
    CHECK(*follower.followedSince() == before);
    // A listing that waits for an answer while the service is away.
    service.holdsListing = true;
    std::thread release([&] {
        std::this_thread::sleep_for(lapsingOutage + duration(100));
        service.holdsListing = false;
    });
    follower.relist();
    release.join();
    CHECK(*follower.followedSince() > before);
    follower.stop();
}
