// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayWorld.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A request goes on with its organisation and without its key, and the answer comes back unchanged")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    const auto reply = world.ask("/once/x?y=%20z");
    CHECK(reply.status == 200);
    CHECK(reply.body == "answer");
    CHECK(reply.header("Server-Stamp") == "s");
    REQUIRE(replica.requests().size() == 1);
    const auto request = replica.requests().front();
    CHECK(request.starts_with("POST /once/x?y=%20z HTTP/1.1\r\n"));
    CHECK(request.ends_with("question"));
    CHECK(headerOf(request, "Host") == "a.example");
    CHECK(headerOf(request, "Tenant") == "t1");
    CHECK(headerOf(request, "Expect-Instance") == "i-1");
    CHECK(headerOf(request, "Authorization").empty());
    CHECK(std::stoi(headerOf(request, "Deadline-Ms")) <= 2500);
}

TEST_CASE("A listed entry without a value is no replica, and harms no other")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addEntryWithoutValue("i-0");
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.ask("/once/x").status == 200);
}

TEST_CASE("Unknown routes and keys are refused, and nothing is served without a configuration or with keys out of date")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.ask("/nowhere/").status == 404);
    CHECK(world.ask("/once/", "bad").status == 401);
    CHECK(world.ask("/once/", "").status == 401);
    CHECK(world.ask("/once/").status == 200);
    world.stopStore();
    std::this_thread::sleep_for(duration(1600));
    const auto refused = world.ask("/once/");
    CHECK(refused.status == 503);
    // Nobody has heard from the service since: it is away for all.
    CHECK(std::stod(refused.header("Retry-After")) >= 0.8);
    CHECK(std::stod(refused.header("Retry-After")) <= 1.2);
    CHECK(replica.requests().size() == 1);

    relay_world blank;
    blank.start(false);
    CHECK(blank.ask("/once/").status == 503);
}

// All daemons started again, and clients came back to them before the configuration had been read: each refusal used up a client's return.
TEST_CASE("A request that comes just before the first configuration waits for it, one that comes long before it does not")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.hideConfiguration(true);
    world.start();
    const auto asked = monotonicNow();
    const auto refused = world.ask("/once/");
    CHECK(refused.status == 503);
    CHECK(monotonicNow() - asked < duration(600));
    // It may come any moment, here or elsewhere.
    CHECK(std::stod(refused.header("Retry-After")) <= 0.3);
    // The service is asked each 0.25 s.
    std::thread revealing([&] {
        std::this_thread::sleep_for(duration(20));
        world.hideConfiguration(false);
    });
    CHECK(world.ask("/once/", "good", "a2").status == 200);
    revealing.join();
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("Without the key-value service requests are served with the keys at hand where the settings allow it")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.loosenKeyBound();
    world.start();
    world.stopStore();
    std::this_thread::sleep_for(duration(1600));
    CHECK(world.ask("/once/").status == 200);
    CHECK(world.ask("/once/", "bad").status == 401);
}

// Daemons that start together know their configuration at once, and thousands of replicas much later.
TEST_CASE("A request that comes before the first listing of the replicas waits for it, and is not told that there is no place")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    SECTION("it comes soon")
    {
        world.slowListings(duration(600));
        world.start(true, true);
        CHECK(world.ask("/once/").status == 200);
        CHECK(replica.requests().size() == 1);
    }
    SECTION("it takes long")
    {
        world.slowListings(duration(4000));
        world.start(true, true);
        const auto asked = monotonicNow();
        const auto refused = world.ask("/once/");
        CHECK(refused.status == 503);
        CHECK(monotonicNow() - asked < duration(1300));
        // Others that started with it may know them any moment.
        CHECK(std::stod(refused.header("Retry-After")) <= 0.3);
        CHECK(refused.body.find("listed") != std::string::npos);
    }
}

// The keys' bound may be shorter than that for putting a configuration in force.
TEST_CASE("Keys do not go out of date between two readings of the configuration")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    const auto end = monotonicNow() + duration(5000);
    int refused = 0;
    for (int number = 0; monotonicNow() < end; ++number) {
        refused += world.ask("/once/", "good", "a" + std::to_string(number)).status == 200 ? 0 : 1;
    }
    CHECK(refused == 0);
}

TEST_CASE("A client that comes back too late to be served in time goes behind the others")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.askWithin("/once/", duration(2500)).status == 200);
    CHECK(world.askWithin("/once/", duration(2450)).status == 200);
    CHECK(world.askWithin("/once/", duration(2000)).status == 200);
    std::vector<std::string> priorities;
    for (const auto &request : replica.requests()) {
        priorities.push_back(headerOf(request, "Request-Priority"));
    }
    CHECK(priorities == std::vector<std::string>{"1", "1", "2"});
}

TEST_CASE("A request that may run once is sent once, whatever becomes of its answer")
{
    const auto cutShort = [](const std::string &request) {
        return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\nContent-Length: 99\r\n\r\nans",
                           headerOf(request, "Attempt-Id"));
    };
    const auto foreign = [](const std::string & /*request*/) {
        return std::string("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nfig");
    };
    const auto unsignedSuccess = [](const std::string &request) {
        return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nContent-Length: 2\r\n\r\nno", headerOf(request, "Attempt-Id"));
    };
    const auto garbage = [](const std::string & /*request*/) { return std::string("this is no answer\r\n\r\n"); };
    for (const scripted_replica::script &script : {scripted_replica::script(closed),
                                                   scripted_replica::script(cutShort),
                                                   scripted_replica::script(foreign),
                                                   scripted_replica::script(unsignedSuccess),
                                                   scripted_replica::script(garbage)}) {
        const scripted_replica first(script);
        const scripted_replica second(script);
        relay_world world;
        world.addPlain("i-1", first);
        world.addPlain("i-2", second);
        world.start();
        CHECK(world.ask("/once/").status == 502);
        CHECK(first.requests().size() + second.requests().size() == 1);
    }
}

TEST_CASE("An idempotent request goes to another replica after a lost answer or a failure")
{
    for (const scripted_replica::script &script :
         {scripted_replica::script(closed),
          scripted_replica::script([](const std::string &request) { return answerTo(request, "broken", "500 Internal Server Error"); })}) {
        const scripted_replica bad(script);
        const scripted_replica fine(good);
        relay_world world;
        world.addPlain("i-1", bad);
        world.addPlain("i-2", fine);
        world.start();
        for (int i = 0; i < 4; ++i) {
            CHECK(world.ask("/again/").status == 200);
        }
        CHECK(fine.requests().size() == 4);
    }
}

TEST_CASE("A request that a replica did not run goes to another one, and is refused as not run where none takes it")
{
    const scripted_replica full(refusalTo);
    const scripted_replica fine(good);
    relay_world world;
    world.addPlain("i-1", full);
    world.addPlain("i-2", fine);
    world.start();
    for (int i = 0; i < 4; ++i) {
        CHECK(world.ask("/once/").status == 200);
    }
    const scripted_replica alsoFull(refusalTo);
    relay_world crowded;
    crowded.addPlain("i-1", full);
    crowded.addPlain("i-2", alsoFull);
    crowded.start();
    const auto refused = crowded.ask("/once/");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
}

TEST_CASE("A stream that breaks off inside an event goes on at another replica under the first head, without losing or doubling a piece")
{
    const auto breaking = [](const std::string &request) {
        if (headerOf(request, "Last-Event-Id") == "2") {
            return streamHead(request, "second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
        }
        // The third event is cut, and the connection closes without the last chunk.
        return streamHead(request, "first") + chunk(event(1) + event(2) + "id: 3\nda");
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto reply = world.ask("/stream/");
    CHECK(reply.status == 200);
    CHECK(reply.header("Server-Stamp") == "first");
    CHECK(reply.body == event(1) + event(2) + event(3) + event(4));
    CHECK(reply.isWhole);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() == 1);
}

TEST_CASE("A stream that nobody can go on with does not look complete")
{
    const auto breaking = [](const std::string &request) {
        return headerOf(request, "Last-Event-Id").empty() ? streamHead(request, "first") + chunk(event(1)) : refusalTo(request);
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto reply = world.ask("/stream/");
    CHECK(reply.body == event(1));
    CHECK_FALSE(reply.isWhole);
}
