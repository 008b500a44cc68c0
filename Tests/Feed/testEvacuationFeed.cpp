// SPDX-License-Identifier: Apache-2.0
// The evacuated data centres in the feed: messages, pushes, and relays that are lost.
#include "Libraries/Base/json.h"
#include "Tests/Feed/feedSimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const instant start(duration(100000));
const endpoint followerAddress{"127.0.0.1", 7001};
const data_centre_id z("z");

const feed_update &updateOf(const feed_datagram &datagram)
{
    return std::get<feed_update>(datagram.message);
}

feed_publisher publisherOf(const std::vector<data_centre_id> &evacuated)
{
    feed_publisher publisher;
    applyReport(publisher.evacuations, {{}, store_revision(5)}, start);
    addEvacuations(publisher.evacuations, evacuated, store_revision(6), start, 1000);
    return publisher;
}

} // namespace

TEST_CASE("The evacuated data centres survive a datagram")
{
    feed_update update;
    update.evacuations = evacuation_report{{{z, 1700000000000}, {data_centre_id("y \"quoted\""), 3}}, store_revision(41)};
    update.evacuationsAge = duration(750);
    const auto decoded = decodeFeedMessage(encodeFeedMessage(update));
    REQUIRE(decoded);
    CHECK(std::get<feed_update>(*decoded).evacuations == update.evacuations);
    CHECK(std::get<feed_update>(*decoded).evacuationsAge == duration(750));
    const auto without = std::get<feed_update>(*decodeFeedMessage(encodeFeedMessage(feed_update())));
    CHECK_FALSE(without.evacuations);
    CHECK_FALSE(without.evacuationsAge);
}

// A set that is read as empty, or an age that is read as 0, would send requests to the data centre again.
TEST_CASE("An update with an invalid set or age is no message")
{
    for (const auto *field : {R"("evac":7)",
                              R"("evac":[])",
                              R"("evac":{})",
                              R"("evac":{"rev":3})",
                              R"("evac":{"rev":-3,"list":[]})",
                              R"("evac":{"rev":"3","list":[]})",
                              R"("evac":{"rev":1e30,"list":[]})",
                              R"("evac":{"rev":3,"list":["z"]})",
                              R"("evac":{"rev":3,"list":[["z"]]})",
                              R"("evac":{"rev":3,"list":[["",1]]})",
                              R"("evac":{"rev":3,"list":[["z",-1]]})",
                              R"("evac":{"rev":3,"list":[["z","1"]]})",
                              R"("evac_age":-1)",
                              R"("evac_age":1e30)",
                              R"("evac_age":"5")",
                              R"("evac_age":null)"}) {
        CAPTURE(field);
        CHECK_FALSE(decodeFeedMessage(fmt::format(R"({{"kind":"update",{}}})", field)));
    }
}

TEST_CASE("A changed set is pushed at once to every follower, and each later update repeats it")
{
    auto publisher = publisherOf({});
    answerSubscription(publisher, {daemon_id("d1"), 1, store_revision(0), false}, followerAddress, start);
    CHECK(evacuationPushes(publisher, start).empty());
    addEvacuations(publisher.evacuations, {z}, store_revision(7), start, 1000);
    const auto pushed = evacuationPushes(publisher, start + duration(10));
    REQUIRE(pushed.size() == 1);
    CHECK(pushed[0].to == std::vector{followerAddress});
    CHECK(updateOf(pushed[0]).evacuations->since.contains(z));
    CHECK(updateOf(pushed[0]).evacuationsAge == duration(10));
    CHECK(evacuationPushes(publisher, start).empty());
    const auto answer = answerSubscription(publisher, {daemon_id("d1"), 2, store_revision(0), false}, followerAddress, start);
    CHECK(updateOf(answer.at(0)).evacuations->since.contains(z));
}

TEST_CASE("Watches that find no change push nothing")
{
    auto publisher = publisherOf({z});
    answerSubscription(publisher, {daemon_id("d1"), 1, store_revision(0), false}, followerAddress, start);
    addEvacuations(publisher.evacuations, {}, store_revision(9), start + duration(700), 2000);
    addEvacuations(publisher.evacuations, {z}, store_revision(10), start + duration(1400), 3000);
    CHECK(evacuationPushes(publisher, start).empty());
    CHECK(publisher.evacuations.report.revision == store_revision(10));
    CHECK(publisher.evacuations.report.since.at(z) == 1000);
}

TEST_CASE("A change reaches all daemons within a fraction of a second, also through relays and with lost datagrams")
{
    const int daemons = GENERATE(9, 74, 350);
    const double loss = GENERATE(0.0, 0.1);
    CAPTURE(daemons, loss);
    feed_simulation simulation(daemons, 3);
    simulation.setEvacuated({});
    simulation.advance(duration(6000));
    simulation.setDatagramLoss(loss);
    simulation.setEvacuated({z});
    const auto begun = simulation.timeUntilEvacuatedEverywhere({z}, duration(10000));
    REQUIRE(begun);
    // Of 350 daemons behind two lossy hops one in 28 lacks the push, and one in 780 also the answer to its next subscription.
    CHECK(*begun <= (loss > 0 ? duration(4000) : duration(50)));
    simulation.setEvacuated({z, data_centre_id("y")});
    CHECK(simulation.timeUntilEvacuatedEverywhere({z, data_centre_id("y")}, duration(4000)));
    simulation.setEvacuated({});
    CHECK(simulation.timeUntilEvacuatedEverywhere({}, duration(4000)));
}

// A follower reads the key-value service itself once its set is older than this. Otherwise every daemon would read it all the time.
TEST_CASE("With a source that reads, no follower's set becomes so old that it reads the key-value service")
{
    feed_simulation simulation(350, 3);
    simulation.setEvacuated({});
    simulation.advance(duration(6000));
    // The simulation's source reads each 1.2 s, and its subscriptions are twice as far apart as at a bound of 2 s.
    for (int i = 0; i < 200; ++i) {
        simulation.advance(duration(50));
        CHECK(simulation.maxEvacuationAge() < evacuationTiming(duration(5000)).directReadAge);
    }
}

TEST_CASE("A relay that is lost during the change keeps no follower from it")
{
    feed_simulation simulation(74, 3);
    simulation.setEvacuated({});
    simulation.advance(duration(6000));
    int relay = -1;
    for (int number = 1; number < simulation.daemons() && relay < 0; ++number) {
        relay = simulation.followersOf(number).empty() ? -1 : number;
    }
    REQUIRE(relay > 0);
    simulation.disconnect(relay);
    simulation.setEvacuated({z});
    // The followers notice the silence of their relay, and subscribe elsewhere.
    const auto begun = simulation.timeUntilEvacuatedEverywhere({z}, duration(5000));
    REQUIRE(begun);
    CHECK(*begun < duration(5000));
}
