// SPDX-License-Identifier: Apache-2.0
// What the feed costs and does with many daemons, by the code that the daemons run.
#include "Tests/Feed/feedWorld.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int dataCentres = 5;
constexpr duration measuredTime(10000);
/// What replicas that are lost and replaced, and their groups, write on a calm day.
constexpr int changesPerSecond = 60;

/// Lets replicas change for a while.
void play(feed_world &world, duration time)
{
    for (duration passed{}; passed < time; passed += duration(1000) / changesPerSecond) {
        world.change();
        world.advance(duration(1000) / changesPerSecond);
    }
}

feed_world settledWorld(int daemons)
{
    feed_world world(daemons, dataCentres);
    play(world, duration(8000));
    world.resetTraffic();
    return world;
}

} // namespace

// A follower that is served directly costs the source 99 KB in ten seconds here (the line of 9 daemons): 194 of them are 15 Mbit/s, beside
// a small instance's link of 20. With relays the source sends 1.5 MB in ten seconds at 195 daemons, 1.2 Mbit/s, and 2.6 MB at 350.
TEST_CASE("What the source sends grows far slower than the daemons, and a relay sends no more than it")
{
    std::map<int, feed_world::traffic> source;
    for (const int daemons : {9, mostServedDirectly, 79, 195, 350}) {
        auto world = settledWorld(daemons);
        play(world, measuredTime);
        source[daemons] = world.sentBy(0);
        const auto most = world.mostSentByFollower();
        INFO(daemons << " daemons, " << world.directFollowers() << " served directly");
        std::cout << daemons << " daemons: " << world.directFollowers() << " served directly; in ten seconds the source sent "
                  << world.sentBy(0).datagrams << " datagrams and " << world.sentBy(0).bytes << " bytes, a relay at most " << most.datagrams
                  << " and " << most.bytes << "\n";
        CHECK(world.daemonsCounted() == daemons);
        CHECK(world.directFollowers() <= 2 * followersPerRelay(daemons));
        CHECK(most.bytes < 2'000'000);
        CHECK(world.lost() == 0);
        world.advance(duration(1000));
        CHECK(world.haveAllChanges());
    }
    CHECK(source.at(350).bytes < 2 * source.at(mostServedDirectly).bytes);
    CHECK(source.at(195).bytes < 2'000'000);
}

TEST_CASE("Behind a relay the configuration is known as the newest in time, so that nobody reads it himself")
{
    auto world = settledWorld(195);
    play(world, measuredTime);
    CHECK(world.oldestConfigurationSeen() < feedTiming(duration(4000)).ownReading);
}

TEST_CASE("Followers of a relay that falls silent find another")
{
    auto world = settledWorld(195);
    int relay = 0;
    for (int number = 1; number < world.daemons(); ++number) {
        relay = world.sentBy(number).datagrams > world.sentBy(relay).datagrams || relay == 0 ? number : relay;
    }
    play(world, duration(1000));
    world.cutOff(relay);
    play(world, duration(8000));
    CHECK(world.lost() == 0);
    CHECK(world.daemonsCounted() == 194);
    world.advance(duration(1000));
    CHECK(world.haveAllChanges());
}

TEST_CASE("When the source falls silent only the relays look for another, and their followers stay")
{
    auto world = settledWorld(195);
    const auto direct = world.directFollowers();
    world.cutOff(0);
    world.advance(duration(4000));
    CHECK(world.lost() <= direct);
    world.elect(1);
    world.advance(duration(5000));
    CHECK(world.lost() == 0);
    CHECK(world.daemonsCounted() == 194);
    play(world, duration(3000));
    world.advance(duration(1000));
    CHECK(world.haveAllChanges());
    CHECK(world.directFollowers() <= 2 * followersPerRelay(195));
}

// A daemon that had followed others became the coordinator, and was cut off from the key-value service. As its lease ended it told its
// followers, who read its address in the service once more; it had been fed before, so it answered them as a relay does. They took it for
// the coordinator: for seven seconds nobody looked for another one, and no group was repaired.
TEST_CASE("A daemon whose term has ended does not pass for the coordinator, though it had followed another one before")
{
    for (const int daemons : {9, 79, 195}) {
        CAPTURE(daemons);
        auto world = settledWorld(daemons);
        world.cutOff(0);
        world.advance(duration(4000));
        world.elect(1);
        world.advance(duration(5000));
        REQUIRE(world.lost() == 0);
        const auto direct = world.directFollowers();
        world.endTerm(1);
        world.advance(duration(100));
        world.pointTo(1);
        world.advance(duration(1500));
        // Those that it served look for a successor.
        CHECK(world.lost() >= direct);
        world.elect(2);
        world.advance(duration(5000));
        CHECK(world.lost() == 0);
        CHECK(world.daemonsCounted() == daemons - 1);
    }
}

TEST_CASE("Few daemons are all served by the source")
{
    auto world = settledWorld(mostServedDirectly);
    CHECK(world.directFollowers() == mostServedDirectly - 1);
}

TEST_CASE("An update that went round in a circle counts for nothing")
{
    feed_follower follower;
    const instant now(duration(1000000));
    feed_update update;
    update.nonce = subscribe(follower, daemon_id("d1"), 0, true, now).nonce;
    update.origin.hops = mostHops + 1;
    CHECK_FALSE(noteUpdate(follower, update, now));
    update.origin.hops = mostHops;
    CHECK(noteUpdate(follower, update, now));
}

TEST_CASE("Only the coordinator that is asked may name a relay")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const endpoint coordinator{"10.0.0.1", 1};
    const endpoint relay{"10.0.0.2", 1};
    follow(follower, coordinator, now);
    CHECK_FALSE(takeReferral(follower, relay, relay, now));
    CHECK(takeReferral(follower, coordinator, relay, now));
    CHECK(follower.source == relay);
    // A relay may not send it on.
    CHECK_FALSE(takeReferral(follower, relay, coordinator, now));
    CHECK(loseSource(follower, now));
    CHECK(follower.source == coordinator);
    CHECK_FALSE(loseSource(follower, now));
    CHECK_FALSE(follower.source);
}

TEST_CASE("A follower of a relay that becomes the coordinator takes its referrals")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const endpoint first{"10.0.0.1", 1};
    const endpoint relay{"10.0.0.2", 1};
    const endpoint other{"10.0.0.3", 1};
    follow(follower, first, now);
    REQUIRE(takeReferral(follower, first, relay, now));
    feed_update update;
    update.nonce = subscribe(follower, daemon_id("d1"), 0, true, now).nonce;
    update.origin = {relay, 0};
    REQUIRE(noteUpdate(follower, update, now));
    CHECK(follower.coordinator == relay);
    CHECK(takeReferral(follower, relay, other, now));
}

TEST_CASE("A follower that is sent to a relay is told of no changes, however far it is behind")
{
    feed_source source;
    const instant now(duration(1000000));
    std::vector<replica_change> changes;
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        changes.push_back({instance_id("i-" + std::to_string(revision)), revision, served_replica()});
    }
    noteListing(source, {}, 0, true);
    noteChanges(source, changes, 200);
    source.completeAfter = 0;
    for (int number = 0; number < 40; ++number) {
        feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, 0, true, {}, data_centre_id("x")};
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        const auto answer = answerOrRefer(source, subscription, address, now);
        const bool isReferred = std::holds_alternative<feed_referral>(answer.back().message);
        CHECK(isReferred == !source.subscribers.contains(subscription.from));
        if (isReferred) {
            REQUIRE(answer.size() == 2);
            const auto &update = std::get<feed_update>(answer.front().message);
            CHECK(update.changes.empty());
            CHECK(update.nonce == 1);
            CHECK_FALSE(update.isHistoryLost);
        }
    }
    CHECK(source.subscribers.size() <= 18);
}

// A source that was held up answers late. What it tells is still true, counted from when it was asked.
TEST_CASE("An answer that took long counts, as long as its question is not forgotten")
{
    feed_follower follower;
    const instant now(duration(1000000));
    const auto first = subscribe(follower, daemon_id("d1"), 0, true, now);
    for (int number = 1; number < 20; ++number) {
        subscribe(follower, daemon_id("d1"), 0, true, now + duration(320) * number);
    }
    feed_update update;
    update.nonce = first.nonce;
    CHECK(noteUpdate(follower, update, now + duration(6400)) == now);
}

TEST_CASE("Nobody is referred to a relay that is about to end")
{
    feed_source source;
    const instant now(duration(1000000));
    const auto ask = [&](int number, bool isEnding) {
        feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, 0, true, {}, data_centre_id("x")};
        subscription.isEnding = isEnding;
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        const auto answer = answerOrRefer(source, subscription, address, now);
        const auto *referral = std::get_if<feed_referral>(&answer.back().message);
        return referral == nullptr ? 0 : referral->relay.port - 1000;
    };
    for (int number = 0; number < 30; ++number) {
        ask(number, false);
    }
    const auto relay = ask(30, false);
    REQUIRE(source.subscribers.at(daemon_id("d" + std::to_string(relay))).isRelay);
    CHECK(ask(relay, true) == 0);
    CHECK_FALSE(source.subscribers.at(daemon_id("d" + std::to_string(relay))).isRelay);
    for (int number = 31; number < 60; ++number) {
        CHECK(ask(number, false) != relay);
    }
}

// A daemon that has just started again is still heard as a relay, and tells those that are sent to it that it is none.
TEST_CASE("A follower is not sent back to the relay that it has lost, and does not ask again at once")
{
    feed_source source;
    const instant now(duration(1000000));
    std::optional<endpoint> relay;
    for (int number = 0; number < 20 && !relay; ++number) {
        const feed_subscription subscription{daemon_id("d" + std::to_string(number)), 1, 0, true, {}, data_centre_id("x")};
        const endpoint address{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        noteSubscriber(source, subscription, address, now);
        relay = referFollower(source, subscription, now);
    }
    REQUIRE(relay);
    feed_subscription back{daemon_id("d-back"), 1, 0, true, {}, data_centre_id("x")};
    back.lostRelay = relay;
    noteSubscriber(source, back, {"10.0.0.1", 2000}, now);
    CHECK(referFollower(source, back, now) != relay);
    // Where there is no other relay the follower becomes one.
    for (auto &[id, subscriber] : source.subscribers) {
        subscriber.isRelay = subscriber.address == relay;
    }
    noteSubscriber(source, back, {"10.0.0.1", 2000}, now);
    CHECK(referFollower(source, back, now) == std::nullopt);
    CHECK(source.subscribers.at(back.from).isRelay);

    feed_follower follower;
    follow(follower, {"10.0.0.1", 1}, now);
    REQUIRE(takeReferral(follower, {"10.0.0.1", 1}, *relay, now));
    CHECK(loseSource(follower, now));
    CHECK(follower.nextSubscription > now);
}
