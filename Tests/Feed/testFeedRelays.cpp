// SPDX-License-Identifier: Apache-2.0
// The feed's traffic and behaviour with many daemons, simulated with the code that the daemons run.
#include "Tests/Feed/feedSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int dataCentres = 5;
constexpr duration measuredTime(10000);
/// Rate at which replicas that are lost and replaced, and their groups, write entries in normal operation.
constexpr int changesPerSecond = 60;

/// Advances the time while replicas' entries change.
void runWithChanges(feed_simulation &simulation, duration time)
{
    for (duration passed{}; passed < time; passed += duration(1000) / changesPerSecond) {
        simulation.changeReplica();
        simulation.advance(duration(1000) / changesPerSecond);
    }
}

feed_simulation settledSimulation(int daemons)
{
    feed_simulation simulation(daemons, dataCentres);
    runWithChanges(simulation, duration(8000));
    simulation.resetTraffic();
    return simulation;
}

} // namespace

// Without relays the source of 195 daemons would send about 15 Mbit/s (99 KB in ten seconds to each of 194 followers), while a small
// instance's link has 20 Mbit/s. The bound of 2 MB in ten seconds is 1.6 Mbit/s.
TEST_CASE("The source's traffic grows far more slowly than the number of daemons, and a relay's traffic is bounded")
{
    std::map<int, feed_simulation::traffic> source;
    for (const int daemons : {9, maxDaemonsWithoutRelays, 79, 195, 350}) {
        auto simulation = settledSimulation(daemons);
        runWithChanges(simulation, measuredTime);
        source[daemons] = simulation.sentBy(0);
        const auto most = simulation.maxSentByFollower();
        INFO(daemons << " daemons, " << simulation.directFollowerCount() << " served directly");
        std::cout << daemons << " daemons: " << simulation.directFollowerCount() << " served directly; in ten seconds the source sent "
                  << simulation.sentBy(0).datagrams << " datagrams and " << simulation.sentBy(0).bytes << " bytes, a relay at most "
                  << most.datagrams << " and " << most.bytes << "\n";
        CHECK(simulation.countedDaemons() == daemons);
        CHECK(simulation.directFollowerCount() <= 2 * followersPerRelay(daemons));
        CHECK(most.bytes < 2'000'000);
        CHECK(simulation.daemonsWithoutSource() == 0);
        simulation.advance(duration(1000));
        CHECK(simulation.areAllUpToDate());
    }
    CHECK(source.at(350).bytes < 2 * source.at(maxDaemonsWithoutRelays).bytes);
    CHECK(source.at(195).bytes < 2'000'000);
}

TEST_CASE("Followers of a relay learn in time that their configuration is the newest, so that none reads it itself")
{
    auto simulation = settledSimulation(195);
    runWithChanges(simulation, measuredTime);
    CHECK(simulation.peakConfigurationAge() < feedTiming(duration(4000)).directReadDelay);
}

TEST_CASE("Followers of a silent relay find another one")
{
    auto simulation = settledSimulation(195);
    int relay = 0;
    for (int number = 1; number < simulation.daemons(); ++number) {
        relay = simulation.sentBy(number).datagrams > simulation.sentBy(relay).datagrams || relay == 0 ? number : relay;
    }
    runWithChanges(simulation, duration(1000));
    simulation.disconnect(relay);
    runWithChanges(simulation, duration(8000));
    CHECK(simulation.daemonsWithoutSource() == 0);
    CHECK(simulation.countedDaemons() == 194);
    simulation.advance(duration(1000));
    CHECK(simulation.areAllUpToDate());
}

TEST_CASE("When the source falls silent only its direct followers look for another one, and the followers of relays stay")
{
    auto simulation = settledSimulation(195);
    const auto direct = simulation.directFollowerCount();
    simulation.disconnect(0);
    simulation.advance(duration(4000));
    CHECK(simulation.daemonsWithoutSource() <= direct);
    simulation.makeSource(1);
    simulation.advance(duration(5000));
    CHECK(simulation.daemonsWithoutSource() == 0);
    CHECK(simulation.countedDaemons() == 194);
    runWithChanges(simulation, duration(3000));
    simulation.advance(duration(1000));
    CHECK(simulation.areAllUpToDate());
    CHECK(simulation.directFollowerCount() <= 2 * followersPerRelay(195));
}

// A daemon that has followed another source becomes the coordinator and then loses the key-value service. When its lease ends it notifies
// its followers, which still read its address in the service and subscribe to it again. If it answered them as a relay, since it has
// received a feed before, they would take it for the coordinator: for seven seconds none would look for another one, and no group would be
// repaired.
TEST_CASE("A daemon whose term has ended is not taken for the coordinator, even if it followed another one before")
{
    for (const int daemons : {9, 79, 195}) {
        CAPTURE(daemons);
        auto simulation = settledSimulation(daemons);
        simulation.disconnect(0);
        simulation.advance(duration(4000));
        simulation.makeSource(1);
        simulation.advance(duration(5000));
        REQUIRE(simulation.daemonsWithoutSource() == 0);
        const auto direct = simulation.directFollowerCount();
        simulation.stepDown(1);
        simulation.advance(duration(100));
        simulation.announceCoordinator(1);
        simulation.advance(duration(1500));
        // The daemons that it served look for a successor.
        CHECK(simulation.daemonsWithoutSource() >= direct);
        simulation.makeSource(2);
        simulation.advance(duration(5000));
        CHECK(simulation.daemonsWithoutSource() == 0);
        CHECK(simulation.countedDaemons() == daemons - 1);
    }
}

TEST_CASE("With few daemons the source serves all of them directly")
{
    auto simulation = settledSimulation(maxDaemonsWithoutRelays);
    CHECK(simulation.directFollowerCount() == maxDaemonsWithoutRelays - 1);
}

TEST_CASE("An update that travels in a loop is ignored")
{
    feed_follower follower;
    const instant now(duration(1000000));
    feed_update update;
    update.nonce = makeSubscription(follower, daemon_id("d1"), store_revision(0), true, now).nonce;
    update.origin.hops = maxHops + 1;
    CHECK_FALSE(acceptUpdate(follower, update, now));
    update.origin.hops = maxHops;
    CHECK(acceptUpdate(follower, update, now));
}

TEST_CASE("Only the coordinator that a follower subscribes to may refer it to a relay")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const endpoint coordinator{"10.0.0.1", 1};
    const endpoint relay{"10.0.0.2", 1};
    follow(follower, coordinator, now);
    CHECK_FALSE(acceptReferral(follower, relay, relay, now));
    CHECK(acceptReferral(follower, coordinator, relay, now));
    CHECK(follower.source == relay);
    // A relay may not refer the follower further.
    CHECK_FALSE(acceptReferral(follower, relay, coordinator, now));
    CHECK(dropSource(follower, now));
    CHECK(follower.source == coordinator);
    CHECK_FALSE(dropSource(follower, now));
    CHECK_FALSE(follower.source);
}

TEST_CASE("A follower of a relay that becomes the coordinator accepts its referrals")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const endpoint first{"10.0.0.1", 1};
    const endpoint relay{"10.0.0.2", 1};
    const endpoint other{"10.0.0.3", 1};
    follow(follower, first, now);
    REQUIRE(acceptReferral(follower, first, relay, now));
    feed_update update;
    update.nonce = makeSubscription(follower, daemon_id("d1"), store_revision(0), true, now).nonce;
    update.origin = {relay, 0};
    REQUIRE(acceptUpdate(follower, update, now));
    CHECK(follower.coordinator == relay);
    CHECK(acceptReferral(follower, relay, other, now));
}

TEST_CASE("A follower that is referred to a relay receives no changes from the source, however far behind it is")
{
    feed_publisher publisher;
    const instant now(duration(1000000));
    std::vector<replica_change> changes;
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        changes.push_back({instance_id("i-" + std::to_string(revision)), store_revision(revision), served_replica()});
    }
    applyListing(publisher, {}, store_revision(0), true);
    applyChanges(publisher, changes, store_revision(200));
    publisher.completeAfter = store_revision(0);
    for (int number = 0; number < 40; ++number) {
        feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, store_revision(0), true, {}, data_centre_id("x")};
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        const auto answer = answerOrRefer(publisher, subscription, address, now);
        const bool isReferred = std::holds_alternative<feed_referral>(answer.back().message);
        CHECK(isReferred == !publisher.subscribers.contains(subscription.from));
        if (isReferred) {
            REQUIRE(answer.size() == 2);
            const auto &update = std::get<feed_update>(answer.front().message);
            CHECK(update.changes.empty());
            CHECK(update.nonce == 1);
            CHECK_FALSE(update.isHistoryLost);
        }
    }
    CHECK(publisher.subscribers.size() <= 18);
}

// A delayed source answers late. Its update is still valid, counted from when the subscription was sent.
TEST_CASE("A late answer is accepted as long as its subscription is remembered")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const auto first = makeSubscription(follower, daemon_id("d1"), store_revision(0), true, now);
    for (int number = 1; number < 20; ++number) {
        makeSubscription(follower, daemon_id("d1"), store_revision(0), true, now + duration(320) * number);
    }
    feed_update update;
    update.nonce = first.nonce;
    CHECK(acceptUpdate(follower, update, now + duration(6400)) == now);
}

TEST_CASE("No follower is referred to a relay that is shutting down")
{
    feed_publisher publisher;
    const instant now(duration(1000000));
    const auto ask = [&](int number, bool isEnding) {
        feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, store_revision(0), true, {}, data_centre_id("x")};
        subscription.isEnding = isEnding;
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        const auto answer = answerOrRefer(publisher, subscription, address, now);
        const auto *referral = std::get_if<feed_referral>(&answer.back().message);
        return referral == nullptr ? 0 : referral->relay.port - 1000;
    };
    for (int number = 0; number < 30; ++number) {
        ask(number, false);
    }
    const auto relay = ask(30, false);
    REQUIRE(publisher.subscribers.at(daemon_id("d" + std::to_string(relay))).isRelay);
    CHECK(ask(relay, true) == 0);
    CHECK_FALSE(publisher.subscribers.at(daemon_id("d" + std::to_string(relay))).isRelay);
    for (int number = 31; number < 60; ++number) {
        CHECK(ask(number, false) != relay);
    }
}

// A relay that has just restarted still counts as one at the source, but rejects the followers that are referred to it.
TEST_CASE("A follower is not referred back to the relay that it has lost, and does not subscribe again at once")
{
    feed_publisher publisher;
    const instant now(duration(1000000));
    std::optional<endpoint> relay;
    for (int number = 0; number < 20 && !relay; ++number) {
        const feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, store_revision(0), true, {}, data_centre_id("x")};
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        updateSubscriber(publisher, subscription, address, now);
        relay = referFollower(publisher, subscription, now);
    }
    REQUIRE(relay);
    feed_subscription back{daemon_id("d-back"), 1, store_revision(0), true, {}, data_centre_id("x")};
    back.lostRelay = relay;
    updateSubscriber(publisher, back, {"10.0.0.1", 2000}, now);
    CHECK(referFollower(publisher, back, now) != relay);
    // Without another relay the follower becomes one itself.
    for (auto &[id, subscriber] : publisher.subscribers) {
        subscriber.isRelay = subscriber.address == relay;
    }
    updateSubscriber(publisher, back, {"10.0.0.1", 2000}, now);
    CHECK(referFollower(publisher, back, now) == std::nullopt);
    CHECK(publisher.subscribers.at(back.from).isRelay);

    feed_follower follower;
    follow(follower, {"10.0.0.1", 1}, now);
    REQUIRE(acceptReferral(follower, {"10.0.0.1", 1}, *relay, now));
    CHECK(dropSource(follower, now));
    CHECK(follower.nextSubscription > now);
}
