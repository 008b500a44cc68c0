// SPDX-License-Identifier: Apache-2.0
// Requests that an entry daemon lets a dispatcher place.
#include "Tests/Entry/scriptedDispatcher.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/scriptedCoordinator.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

std::string wholeStream(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// An entry daemon with the heads h-1 and h-2, and a coordinator that has named a dispatcher.
struct dispatched_fixture
{
    scripted_coordinator coordinator;
    relay_fixture relay;

    dispatched_fixture(const scripted_replica &one, const scripted_replica &two, const std::vector<endpoint> &dispatchers)
    {
        relay.addGroupHead("h-1", one);
        relay.addGroupHead("h-2", two);
        relay.setCoordinator(coordinator.address());
        relay.enableDispatch(freeDatagramPort());
        relay.start();
        REQUIRE(coordinator.isFollowed());
        std::vector<named_dispatcher> named;
        named.reserve(dispatchers.size());
        for (const auto &address : dispatchers) {
            named.push_back({daemon_id("edge-7"), address});
        }
        if (!named.empty()) {
            coordinator.nameDispatchers(named, relay.peers());
            std::this_thread::sleep_for(duration(200));
        }
    }
};

} // namespace

TEST_CASE("A request is sent to the head that a dispatcher grants, and the slot is released")
{
    const scripted_replica one(wholeStream);
    const scripted_replica two(wholeStream);
    const scripted_dispatcher dispatcher([](const slot_request &request) { return std::vector{grantOf(request, "h-2")}; });
    const dispatched_fixture fixture(one, two, {dispatcher.address()});
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.relay.sendRequest("/stream/").status == 200);
    }
    CHECK(one.requests().empty());
    CHECK(two.requests().size() == 4);
    const auto requests = dispatcher.requests();
    REQUIRE(requests.size() == 4);
    CHECK(requests.back().organisation == organisation_id("t1"));
    CHECK(requests.back().priority == 1);
    CHECK(requests.back().untilLate <= duration(100));
    CHECK(requests.back().untilLate > duration(0));
    CHECK(dispatcher.awaitRelease(requests.back().ticket) == slot_end::done);
}

TEST_CASE("A request that a dispatcher refuses is refused at once with the dispatcher's time")
{
    const scripted_replica one(wholeStream);
    const scripted_dispatcher dispatcher(
        [](const slot_request &request) { return std::vector{answerOf(request, slot_verdict::refused, duration(1700))}; });
    const dispatched_fixture fixture(one, one, {dispatcher.address()});
    const output_in_file output;
    const auto asked = monotonicNow();
    const auto reply = fixture.relay.sendRequest("/stream/");
    CHECK(monotonicNow() - asked < duration(50));
    CHECK(reply.status == 503);
    CHECK(reply.header("Retry-After").substr(0, 3) == "1.7");
    CHECK(reply.body.find("\"not_run\"") != std::string::npos);
    CHECK(one.requests().empty());
}

TEST_CASE("A head that rejected the request is excluded from the next request for a slot, and the end is reported")
{
    const scripted_replica rejecting(refusalAnswer);
    const scripted_replica two(wholeStream);
    const scripted_dispatcher dispatcher(
        [](const slot_request &request) { return std::vector{grantOf(request, request.excluded.empty() ? "h-1" : "h-2")}; });
    const dispatched_fixture fixture(rejecting, two, {dispatcher.address()});
    CHECK(fixture.relay.sendRequest("/stream/").status == 200);
    const auto requests = dispatcher.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests.back().excluded == std::vector{instance_id("h-1")});
    CHECK(dispatcher.awaitRelease(requests.front().ticket) == slot_end::rejected);
    CHECK(dispatcher.awaitRelease(requests.back().ticket) == slot_end::done);
}

// The dispatcher of a stream that has begun may refuse it; the client has a part of the answer already.
TEST_CASE("A stream that has begun is resumed by turns if a dispatcher refuses it")
{
    const scripted_replica broken([](const std::string &request) { return streamHead(request, "one") + chunk(event(1)); });
    const scripted_replica two([](const std::string &request) { return streamHead(request, "two") + chunk(event(2)) + "0\r\n\r\n"; });
    const scripted_dispatcher dispatcher([](const slot_request &request) {
        return std::vector{request.excluded.empty() ? grantOf(request, "h-1") : answerOf(request, slot_verdict::refused, duration(500))};
    });
    const dispatched_fixture fixture(broken, two, {dispatcher.address()});
    const auto reply = fixture.relay.sendRequest("/stream/");
    CHECK(reply.body == event(1) + event(2));
    CHECK(reply.isWhole);
    CHECK(dispatcher.awaitRelease(dispatcher.requests().front().ticket) == slot_end::lost);
}

TEST_CASE("Requests are served by turns without a list, without an answer, and if the granted head is not known here")
{
    const scripted_replica one(wholeStream);
    const scripted_replica two(wholeStream);

    SECTION("no dispatcher is named")
    {
        const dispatched_fixture fixture(one, two, {});
        CHECK(fixture.relay.sendRequest("/stream/").status == 200);
    }

    SECTION("no dispatcher answers")
    {
        const dispatched_fixture fixture(one, two, {freeDatagramPort()});
        for (int i = 0; i < 6; ++i) {
            CHECK(fixture.relay.sendRequest("/stream/").status == 200);
        }
        // Turns depend on the measured times too, so that they need not alternate.
        CHECK_FALSE(one.requests().empty());
        CHECK_FALSE(two.requests().empty());
        CHECK(one.requests().size() + two.requests().size() == 6);
    }

    SECTION("the dispatcher grants a head that is gone")
    {
        const scripted_dispatcher dispatcher([](const slot_request &request) { return std::vector{grantOf(request, "h-9")}; });
        const dispatched_fixture fixture(one, two, {dispatcher.address()});
        CHECK(fixture.relay.sendRequest("/stream/").status == 200);
        CHECK(dispatcher.awaitRelease(dispatcher.requests().front().ticket) == slot_end::done);
    }
}

TEST_CASE("A caller who leaves while his request waits for a slot gives up his place")
{
    const scripted_replica one(wholeStream);
    const scripted_dispatcher dispatcher(
        [](const slot_request &request) { return std::vector{answerOf(request, slot_verdict::waiting, duration(2000))}; });
    const dispatched_fixture fixture(one, one, {dispatcher.address()});
    const auto sent = monotonicNow();
    fixture.relay.sendAndClose("/stream/", "a1");
    REQUIRE(dispatcher.requests().size() == 1);
    CHECK(dispatcher.awaitRelease(dispatcher.requests().front().ticket) == slot_end::done);
    CHECK(monotonicNow() - sent < duration(500));
    CHECK(one.requests().empty());
}

// Shedding knows only that first events were late before, while the dispatcher knows that a slot is free now.
TEST_CASE("Load shedding applies only to requests that no dispatcher has placed")
{
    // Each first event exceeds the objective of 100 ms.
    const scripted_replica slow([](const std::string &request) {
        std::this_thread::sleep_for(duration(130));
        return wholeStream(request);
    });
    std::atomic<bool> isAnswering = true;
    const scripted_dispatcher dispatcher([&](const slot_request &request) {
        return std::vector{isAnswering ? grantOf(request, "h-1") : answerOf(request, slot_verdict::unknown_model)};
    });
    const dispatched_fixture fixture(slow, slow, {dispatcher.address()});
    for (int i = 0; i < 40; ++i) {
        CHECK(fixture.relay.sendRequest("/stream/").status == 200);
    }
    isAnswering = false;
    int shed = 0;
    for (int i = 0; i < 20; ++i) {
        shed += fixture.relay.sendRequest("/stream/").status == 503 ? 1 : 0;
    }
    CHECK(shed > 0);
}

TEST_CASE("A refused request's line names the dispatcher and the time that it took")
{
    const scripted_replica one(wholeStream);
    const scripted_dispatcher dispatcher(
        [](const slot_request &request) { return std::vector{answerOf(request, slot_verdict::refused, duration(900))}; });
    const output_in_file output;
    {
        const dispatched_fixture fixture(one, one, {dispatcher.address()});
        fixture.relay.sendRequest("/stream/", "good", "refused-by-dispatcher");
    }
    CHECK(output.text().find("edge-7: refused after ") != std::string::npos);
    CHECK(output.text().find("\"event\":\"dispatchers_named\"") != std::string::npos);
}
