// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/dispatcher_choice.h"
#include "Libraries/Feed/feed_publisher.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const service_id service("large");
const model_id modelA("a");
const model_id modelB("b");

instant at(int milliseconds)
{
    return instant(duration(1000000 + milliseconds));
}

dispatcher_candidate candidate(int number, double share)
{
    return {{daemon_id("d" + std::to_string(number)), {"10.0.0.1", static_cast<std::uint16_t>(7000 + number)}}, share};
}

std::vector<std::string> dispatchersOf(const dispatcher_choice &choice, const model_id &model)
{
    std::vector<std::string> names;
    if (const auto *found = findDispatchers(choice.list, service, model)) {
        for (const auto &dispatcher : found->dispatchers) {
            names.push_back(dispatcher.daemon.value());
        }
    }
    return names;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("A model gets one dispatcher for each 300 requests, those with the largest processor shares first")
{
    dispatcher_choice choice;
    const std::vector candidates{candidate(1, 0.12), candidate(2, 0.5), candidate(3, 0.3), candidate(4, 0)};
    chooseDispatchers(choice, candidates, {{service, modelA, 0}}, at(0));
    CHECK(dispatchersOf(choice, modelA) == names{"d2"});
    chooseDispatchers(choice, candidates, {{service, modelA, 301}}, at(250));
    CHECK(dispatchersOf(choice, modelA) == names{"d2", "d3"});
    chooseDispatchers(choice, candidates, {{service, modelA, 100000}}, at(500));
    CHECK(dispatchersOf(choice, modelA) == names{"d2", "d3", "d1"});
}

// One daemon with the largest share would otherwise decide for all models.
TEST_CASE("The models' dispatchers are spread over the daemons")
{
    dispatcher_choice choice;
    chooseDispatchers(choice, {candidate(1, 0.3), candidate(2, 0.5)}, {{service, modelA, 10}, {service, modelB, 10}}, at(0));
    CHECK(dispatchersOf(choice, modelA) == names{"d2"});
    CHECK(dispatchersOf(choice, modelB) == names{"d1"});
}

// Each change of a dispatcher or of their number moves groups to a dispatcher that knows nothing of the requests there.
TEST_CASE("A named dispatcher stays in its place while it is present, and the number shrinks only well below the need")
{
    dispatcher_choice choice;
    const std::vector first{candidate(1, 0.2), candidate(2, 0.3)};
    chooseDispatchers(choice, first, {{service, modelA, 400}}, at(0));
    REQUIRE(dispatchersOf(choice, modelA) == names{"d2", "d1"});
    const std::vector withLarger{candidate(1, 0.2), candidate(2, 0.3), candidate(3, 0.9)};
    chooseDispatchers(choice, withLarger, {{service, modelA, 290}}, at(250));
    CHECK(dispatchersOf(choice, modelA) == names{"d2", "d1"});

    SECTION("an absent one is replaced in its place")
    {
        chooseDispatchers(choice, {candidate(1, 0.2), candidate(3, 0.9)}, {{service, modelA, 400}}, at(500));
        CHECK(dispatchersOf(choice, modelA) == names{"d2", "d1"});
        chooseDispatchers(choice, {candidate(1, 0.2), candidate(3, 0.9)}, {{service, modelA, 400}}, at(800));
        CHECK(dispatchersOf(choice, modelA) == names{"d3", "d1"});
    }

    SECTION("one that is shutting down is replaced at once")
    {
        chooseDispatchers(choice, {candidate(2, 0), candidate(1, 0.2), candidate(3, 0.9)}, {{service, modelA, 400}}, at(300));
        CHECK(dispatchersOf(choice, modelA) == names{"d3", "d1"});
    }

    SECTION("a place that nobody can fill is closed")
    {
        chooseDispatchers(choice, {candidate(2, 0.3)}, {{service, modelA, 400}}, at(900));
        CHECK(dispatchersOf(choice, modelA) == names{"d2"});
        chooseDispatchers(choice, {}, {{service, modelA, 400}}, at(2000));
        CHECK(choice.list.models.empty());
    }
}

// The daemons subscribe to a new source only once they have read who it is.
TEST_CASE("A new source keeps the dispatchers of its predecessor until the daemons can have subscribed")
{
    dispatcher_choice old;
    chooseDispatchers(old, {candidate(1, 0.2), candidate(2, 0.3)}, {{service, modelA, 400}}, at(0));
    dispatcher_choice choice;
    beginChoice(choice, old.list, at(0));
    chooseDispatchers(choice, {candidate(3, 0.9)}, {{service, modelA, 400}}, at(2500));
    CHECK(dispatchersOf(choice, modelA) == names{"d2", "d1"});
    chooseDispatchers(choice, {candidate(3, 0.9), candidate(1, 0.2)}, {{service, modelA, 400}}, at(4000));
    CHECK(dispatchersOf(choice, modelA) == names{"d3", "d1"});
}

// Behind a relay there may be dozens of daemons. One that is named and not reported would be replaced for no reason.
TEST_CASE("A relay reports all named dispatchers behind it, and otherwise those with the largest shares")
{
    std::vector<dispatcher_candidate> behind;
    for (int number = 1; number <= 20; ++number) {
        behind.push_back(candidate(number, number / 100.0));
    }
    CHECK(reportedCandidates(behind, {}).size() == candidatesPerSubscription);
    CHECK(reportedCandidates(behind, {}).front().daemon == candidate(20, 0).daemon);
    model_dispatchers named{service, modelA, {}};
    for (const int number : {1, 2, 3, 4, 5}) {
        named.dispatchers.push_back(candidate(number, 0).daemon);
    }
    const auto reported = reportedCandidates(behind, {{named}});
    CHECK(reported.size() == 5);
    CHECK(reported.back().daemon == candidate(1, 0).daemon);
}

TEST_CASE("The list is sent once to each follower that wants one and lacks it, and again if it was lost")
{
    feed_publisher publisher;
    dispatcher_choice choice;
    chooseDispatchers(choice, {candidate(1, 0.2)}, {{service, modelA, 0}}, at(0));
    publisher.dispatchers = choice.list;
    publisher.dispatchersDigest = digestOf(choice.list);
    const endpoint wanting{"10.0.0.2", 1};
    feed_subscription subscription{daemon_id("f1"), 1};
    subscription.dispatchersDigest = 0;
    subscription.candidates = {candidate(7, 0.4)};
    updateSubscriber(publisher, subscription, wanting, at(0));
    updateSubscriber(publisher, {daemon_id("f2"), 1}, {"10.0.0.2", 2}, at(0));

    const auto sent = pendingDispatchers(publisher, at(1));
    REQUIRE(sent);
    CHECK(sent->to == std::vector{wanting});
    const auto received = decodeFeedMessage(encodeFeedMessage(sent->message));
    REQUIRE(received);
    CHECK(std::get<feed_update>(*received).dispatchers == choice.list);
    CHECK_FALSE(pendingDispatchers(publisher, at(2)));
    // The next subscription shows that the datagram was lost.
    updateSubscriber(publisher, subscription, wanting, at(400));
    CHECK(pendingDispatchers(publisher, at(401)));
    subscription.dispatchersDigest = publisher.dispatchersDigest;
    updateSubscriber(publisher, subscription, wanting, at(800));
    CHECK_FALSE(pendingDispatchers(publisher, at(801)));
    CHECK(dispatcherCandidates(publisher, duration(1000), at(1700)).size() == 1);
    CHECK(dispatcherCandidates(publisher, duration(1000), at(1900)).empty());
}

TEST_CASE("Candidates and lists survive the wire; invalid ones do not replace what is known")
{
    feed_subscription subscription{daemon_id("f1"), 5};
    subscription.candidates = {candidate(7, 0.4), candidate(8, 0)};
    subscription.dispatchersDigest = ~0ULL;
    const auto read = decodeFeedMessage(encodeFeedMessage(subscription));
    REQUIRE(read);
    const auto &decoded = std::get<feed_subscription>(*read);
    REQUIRE(decoded.candidates.size() == 2);
    CHECK(decoded.candidates.front().daemon == candidate(7, 0).daemon);
    CHECK(decoded.candidates.front().processorShare == 0.4);
    CHECK(decoded.dispatchersDigest == ~0ULL);

    const auto withShare = [](const std::string &share) {
        return decodeFeedMessage(R"({"kind":"subscribe","from":"f","candidates":[{"daemon":"d","at":"10.0.0.1:1","share":)" + share
                                 + "}]}");
    };
    CHECK(std::get<feed_subscription>(*withShare("0.5")).candidates.size() == 1);
    for (const auto *share : {"-1", "1e300", "\"much\"", "null", "[]"}) {
        CHECK(std::get<feed_subscription>(*withShare(share)).candidates.empty());
    }
    for (const auto *list :
         {"7", "{}", "[7]", R"([{"service":"s","model":"m"}])", R"([{"service":"s","model":"m","by":[{"at":"nowhere"}]}])"}) {
        CHECK_FALSE(decodeFeedMessage(std::string(R"({"kind":"update","dispatch":)") + list + "}"));
    }
}
