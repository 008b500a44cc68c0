// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A request is sent on with its organisation and without its key, and the answer is relayed unchanged")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    const auto reply = fixture.sendRequest("/once/x?y=%20z");
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

TEST_CASE("A listed entry without a value is ignored")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addEntryWithoutValue("i-0");
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    CHECK(fixture.sendRequest("/once/x").status == 200);
}

TEST_CASE("Requests with unknown routes or keys are refused, and so are all without a configuration or with outdated keys")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    CHECK(fixture.sendRequest("/nowhere/").status == 404);
    CHECK(fixture.sendRequest("/once/", "bad").status == 401);
    CHECK(fixture.sendRequest("/once/", "").status == 401);
    CHECK(fixture.sendRequest("/once/").status == 200);
    fixture.stopStore();
    std::this_thread::sleep_for(duration(1600));
    const auto refused = fixture.sendRequest("/once/");
    CHECK(refused.status == 503);
    // No daemon has had an answer from the key-value service since, so the cause counts as common to all.
    CHECK(std::stod(refused.header("Retry-After")) >= 0.8);
    CHECK(std::stod(refused.header("Retry-After")) <= 1.2);
    CHECK(replica.requests().size() == 1);

    relay_fixture blank;
    blank.start(false);
    CHECK(blank.sendRequest("/once/").status == 503);
}

// After a restart of all daemons clients retry before the configuration has been read, and each refusal uses up one of their few retries.
TEST_CASE("A request that arrives shortly before the first configuration waits for it, one that arrives long before is refused")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.hideConfiguration(true);
    fixture.start();
    const auto asked = monotonicNow();
    const auto refused = fixture.sendRequest("/once/");
    CHECK(refused.status == 503);
    CHECK(monotonicNow() - asked < duration(600));
    // The configuration may be read at any moment, by this daemon or another.
    CHECK(std::stod(refused.header("Retry-After")) <= 0.3);
    // The daemon reads the key-value service every 0.25 s.
    std::thread revealing([&] {
        std::this_thread::sleep_for(duration(20));
        fixture.hideConfiguration(false);
    });
    CHECK(fixture.sendRequest("/once/", "good", "a2").status == 200);
    revealing.join();
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("Without the key-value service requests are served with the known keys if the settings allow it")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.disableStrictKeyRevocation();
    fixture.start();
    fixture.stopStore();
    std::this_thread::sleep_for(duration(1600));
    CHECK(fixture.sendRequest("/once/").status == 200);
    CHECK(fixture.sendRequest("/once/", "bad").status == 401);
}

// Daemons that start together read their configuration at once, but thousands of replicas take much longer.
TEST_CASE("A request that arrives before the first listing of the replicas waits for it, and is not refused for lack of replicas")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    SECTION("the listing is fast")
    {
        fixture.delayListings(duration(600));
        fixture.start(true, true);
        CHECK(fixture.sendRequest("/once/").status == 200);
        CHECK(replica.requests().size() == 1);
    }
    SECTION("the listing is slow")
    {
        fixture.delayListings(duration(4000));
        fixture.start(true, true);
        const auto asked = monotonicNow();
        const auto refused = fixture.sendRequest("/once/");
        CHECK(refused.status == 503);
        CHECK(monotonicNow() - asked < duration(1300));
        // Daemons that started at the same time may have the list at any moment.
        CHECK(std::stod(refused.header("Retry-After")) <= 0.3);
        CHECK(refused.body.find("listed") != std::string::npos);
    }
}

// The time limit for a key revocation may be shorter than that for applying a configuration.
TEST_CASE("Keys do not become outdated between two reads of the configuration")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    const auto end = monotonicNow() + duration(5000);
    int refused = 0;
    for (int number = 0; monotonicNow() < end; ++number) {
        refused += fixture.sendRequest("/once/", "good", "a" + std::to_string(number)).status == 200 ? 0 : 1;
    }
    CHECK(refused == 0);
}

TEST_CASE("A retry of a client that can no longer be served in time gets a lower priority")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    CHECK(fixture.sendRequestWithTimeout("/once/", duration(2500)).status == 200);
    CHECK(fixture.sendRequestWithTimeout("/once/", duration(2450)).status == 200);
    CHECK(fixture.sendRequestWithTimeout("/once/", duration(2000)).status == 200);
    std::vector<std::string> priorities;
    for (const auto &request : replica.requests()) {
        priorities.push_back(headerOf(request, "Request-Priority"));
    }
    CHECK(priorities == std::vector<std::string>{"1", "1", "2"});
}

TEST_CASE("A non-idempotent request is sent once, whatever becomes of its answer")
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
    for (const scripted_replica::script &script : {scripted_replica::script(noAnswer),
                                                   scripted_replica::script(cutShort),
                                                   scripted_replica::script(foreign),
                                                   scripted_replica::script(unsignedSuccess),
                                                   scripted_replica::script(garbage)}) {
        const scripted_replica first(script);
        const scripted_replica second(script);
        relay_fixture fixture;
        fixture.addPlainReplica("i-1", first);
        fixture.addPlainReplica("i-2", second);
        fixture.start();
        CHECK(fixture.sendRequest("/once/").status == 502);
        CHECK(first.requests().size() + second.requests().size() == 1);
    }
}

TEST_CASE("An idempotent request goes to another replica after a lost answer or a failure")
{
    for (const scripted_replica::script &script :
         {scripted_replica::script(noAnswer), scripted_replica::script([](const std::string &request) {
              return plainAnswer(request, "broken", "500 Internal Server Error");
          })}) {
        const scripted_replica bad(script);
        const scripted_replica fine(successAnswer);
        relay_fixture fixture;
        fixture.addPlainReplica("i-1", bad);
        fixture.addPlainReplica("i-2", fine);
        fixture.start();
        for (int i = 0; i < 4; ++i) {
            CHECK(fixture.sendRequest("/again/").status == 200);
        }
        CHECK(fine.requests().size() == 4);
    }
}

TEST_CASE("A request that a replica did not run goes to another one, and is refused as not run if none accepts it")
{
    const scripted_replica full(refusalAnswer);
    const scripted_replica fine(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", full);
    fixture.addPlainReplica("i-2", fine);
    fixture.start();
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.sendRequest("/once/").status == 200);
    }
    const scripted_replica alsoFull(refusalAnswer);
    relay_fixture crowded;
    crowded.addPlainReplica("i-1", full);
    crowded.addPlainReplica("i-2", alsoFull);
    crowded.start();
    const auto refused = crowded.sendRequest("/once/");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
}

TEST_CASE("A stream that breaks off inside an event resumes at another replica under the first head, without lost or repeated events")
{
    const auto breaking = [](const std::string &request) {
        if (headerOf(request, "Last-Event-Id") == "2") {
            return streamHead(request, "second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
        }
        // The third event is incomplete, and the connection closes without the last chunk.
        return streamHead(request, "first") + chunk(event(1) + event(2) + "id: 3\nda");
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    const auto reply = fixture.sendRequest("/stream/");
    CHECK(reply.status == 200);
    CHECK(reply.header("Server-Stamp") == "first");
    CHECK(reply.body == event(1) + event(2) + event(3) + event(4));
    CHECK(reply.isWhole);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() == 1);
}

TEST_CASE("A stream that no replica can resume does not look complete")
{
    const auto breaking = [](const std::string &request) {
        return headerOf(request, "Last-Event-Id").empty() ? streamHead(request, "first") + chunk(event(1)) : refusalAnswer(request);
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    const auto reply = fixture.sendRequest("/stream/");
    CHECK(reply.body == event(1));
    CHECK_FALSE(reply.isWhole);
}
