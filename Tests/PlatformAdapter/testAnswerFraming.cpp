// SPDX-License-Identifier: Apache-2.0
// An answer may come with neither a length nor chunks and end with its connection. A stream that ends inside an event has been broken off,
// and one that is reset is never whole.
#include "Tests/Fakes/raw_client.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

std::string unframedHead(const std::string &request, const std::string &type)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\nContent-Type: {}\r\n\r\n", headerOf(request, "Attempt-Id"), type);
}

std::string unframedStreamHead(const std::string &request)
{
    return unframedHead(request, "text/event-stream");
}

/// The events from the one after that the request names, up to the last.
std::string eventsFrom(const std::string &request, int last)
{
    const auto known = headerOf(request, "Last-Event-Id");
    std::string events;
    for (int number = known.empty() ? 1 : std::stoi(known) + 1; number <= last; ++number) {
        events += event(number);
    }
    return events;
}

std::string wholeUnframedStream(const std::string &request)
{
    return unframedStreamHead(request) + eventsFrom(request, 3);
}

/// A head whose first answer comes from \a first, and a second head that answers whole.
client_answer answerAfter(const scripted_replica::script &first)
{
    std::atomic<bool> isFirst = true;
    const auto script = [&](const std::string &request) { return isFirst.exchange(false) ? first(request) : wholeUnframedStream(request); };
    const scripted_replica one(script);
    const scripted_replica two(script);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    return fixture.sendRequest("/stream/");
}

const std::string wholeStream = event(1) + event(2) + event(3);

} // namespace

TEST_CASE("A plain answer without a length or chunks is passed on whole")
{
    const scripted_replica replica([](const std::string &request) { return unframedHead(request, "text/plain") + "whole answer"; });
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    for (const auto *path : {"/once/", "/again/"}) {
        const auto answer = fixture.sendRequest(path);
        CHECK(answer.status == 200);
        CHECK(answer.isWhole);
        CHECK(answer.body == "whole answer");
    }
}

TEST_CASE("A stream without chunks that ends after an event is whole")
{
    const auto answer = answerAfter(wholeUnframedStream);
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(answer.body == wholeStream);
}

TEST_CASE("A stream without chunks that ends inside an event is resumed, and the part of the event is not passed on")
{
    for (const std::string partial : {"id: 3\ndata: pie", "id: 3\n", "id: 3\ndata: piece 3\n"}) {
        const auto answer
            = answerAfter([&](const std::string &request) { return unframedStreamHead(request) + eventsFrom(request, 2) + partial; });
        CHECK(answer.isWhole);
        CHECK(answer.body == wholeStream);
    }
}

TEST_CASE("A stream without chunks that ends before its first event is not taken for a whole answer")
{
    const auto answer = answerAfter(unframedStreamHead);
    CHECK(answer.isWhole);
    CHECK(answer.body == wholeStream);
}

TEST_CASE("A stream without chunks that cannot be resumed ends for the client as broken off")
{
    const auto script = [](const std::string &request) { return unframedStreamHead(request) + event(1) + "id: 2\nda"; };
    const scripted_replica replica(script);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", replica);
    fixture.start();
    const auto answer = fixture.sendRequest("/stream/");
    CHECK_FALSE(answer.isWhole);
    CHECK(answer.body.find("id: 2") == std::string::npos);
}

TEST_CASE("A stream without chunks whose connection is reset is never whole")
{
    const auto answer = answerAfter(
        [](const std::string &request) { return unframedStreamHead(request) + eventsFrom(request, 2) + std::string(1, resetMarker); });
    CHECK(answer.isWhole);
    CHECK(answer.body == wholeStream);
}

TEST_CASE("A plain answer without a length whose connection is reset is not passed on")
{
    const scripted_replica replica(
        [](const std::string &request) { return unframedHead(request, "text/plain") + "half an" + resetMarker; });
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    const auto answer = fixture.sendRequest("/once/");
    CHECK(answer.status >= 500);
    CHECK(answer.body.find("half an") == std::string::npos);
}

TEST_CASE("A stream that is given up because its client shut down the connection for sending does not look complete")
{
    const scripted_replica replica([](const std::string &request) {
        return streamHead(request, "s") + chunk(event(1)) + std::string(8, pauseMarker) + chunk(event(2)) + "0\r\n\r\n";
    });
    relay_fixture fixture;
    fixture.addGroupHead("h-1", replica);
    fixture.start();
    raw_client client(fixture.callers());
    client.send("POST /stream/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\nModel: m\r\n"
                "Authorization: Bearer good\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(duration(200));
    client.shutdownSend();
    const auto answer = client.receiveAll();
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(answer.find("[open]") == std::string::npos);
}
