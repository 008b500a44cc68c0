// SPDX-License-Identifier: Apache-2.0
// Guards against answers that are lost because their replica was silent for a second: the request must not be given up there before another
// replica has answered it.
#include "Tests/PlatformAdapter/twoReplicas.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto streamEnd = "0\r\n\r\n";

/// Makes the replica send nothing for this many tenths of a second.
std::string silence(int tenths)
{
    return std::string(static_cast<std::size_t>(tenths), pauseMarker);
}

std::string streamOf(const std::string &request, const std::string &stamp, const std::string &afterFirst = {})
{
    const bool isResumed = !headerOf(request, "Last-Event-Id").empty();
    return streamHead(request, stamp) + (isResumed ? std::string() : chunk(event(1))) + afterFirst + chunk(event(2)) + chunk(event(3))
        + streamEnd;
}

std::string pausedStream(const std::string &request)
{
    return streamOf(request, "one", silence(12));
}

std::string lateStream(const std::string &request)
{
    return silence(12) + streamOf(request, "one");
}

std::string latePlainAnswer(const std::string &request)
{
    return silence(8) + plainAnswer(request, "late");
}

std::string wholeStream(const std::string &request)
{
    return streamOf(request, "two");
}

/// Answers the first request by \a first and all others by \a second.
scripted_replica::script inTurn(scripted_replica::script first, scripted_replica::script second)
{
    return [first = std::move(first), second = std::move(second), isFirst = std::make_shared<std::atomic<bool>>(true)](
               const std::string &request) { return isFirst->exchange(false) ? first(request) : second(request); };
}

/// Two replicas, of which the first one that is asked answers by \a first and the other one by \a second.
class replicas_in_turn : public two_replicas
{
public:
    replicas_in_turn(scripted_replica::script first, scripted_replica::script second)
        : two_replicas(inTurn(std::move(first), std::move(second)), false)
    {
    }
};

const std::string allEvents = event(1) + event(2) + event(3);

} // namespace

TEST_CASE("A stream whose replica pauses is not cut when the second replica refuses it")
{
    const replicas_in_turn replicas(pausedStream, refusalAnswer);
    const auto answer = replicas.sendRequest("/stream/");
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(answer.body == allEvents);
    CHECK(answer.header("Server-Stamp") == "one");
    CHECK(replicas.received() == 2);
}

TEST_CASE("A stream whose replica pauses is not cut when the second replica ends its connection")
{
    const replicas_in_turn replicas(pausedStream, noAnswer);
    const auto answer = replicas.sendRequest("/stream/");
    CHECK(answer.isWhole);
    CHECK(answer.body == allEvents);
}

TEST_CASE("A stream whose first event is late is not failed when the second replica refuses it")
{
    const replicas_in_turn replicas(lateStream, refusalAnswer);
    const auto answer = replicas.sendRequest("/stream/");
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(answer.body == allEvents);
    CHECK(replicas.received() == 2);
}

TEST_CASE("A late answer to an idempotent request is not lost when the second replica refuses the request")
{
    for (const auto &second : {scripted_replica::script(refusalAnswer), scripted_replica::script(noAnswer)}) {
        const replicas_in_turn replicas(latePlainAnswer, second);
        const auto answer = replicas.sendRequest("/again/");
        CHECK(answer.status == 200);
        CHECK(answer.body == "late");
        CHECK(replicas.received() == 2);
    }
}

TEST_CASE("A request whose replica stays silent is answered by the second replica without waiting for the first")
{
    const auto silentStream = [](const std::string &request) { return streamOf(request, "one", silence(24)); };
    const auto silentPlain = [](const std::string &request) { return silence(24) + plainAnswer(request, "late"); };
    {
        const replicas_in_turn replicas(silentStream, wholeStream);
        const auto asked = monotonicNow();
        const auto answer = replicas.sendRequest("/stream/");
        CHECK(answer.isWhole);
        CHECK(answer.body == allEvents);
        CHECK(monotonicNow() - asked < duration(1500));
    }
    {
        const replicas_in_turn replicas(silentPlain, successAnswer);
        const auto asked = monotonicNow();
        CHECK(replicas.sendRequest("/again/").body == "answer");
        CHECK(monotonicNow() - asked < duration(1500));
    }
}

TEST_CASE("A stream whose silent replica ends its connection goes on at the second replica, which was asked before")
{
    const auto ending = [](const std::string &request) { return streamHead(request, "one") + chunk(event(1)) + silence(9); };
    const auto slow = [](const std::string &request) { return silence(4) + streamOf(request, "two"); };
    const replicas_in_turn replicas(ending, slow);
    const auto answer = replicas.sendRequest("/stream/");
    CHECK(answer.isWhole);
    CHECK(answer.body == allEvents);
    CHECK(replicas.received() == 2);
}

TEST_CASE("A server error of a silent replica is passed on only if the second replica does not succeed")
{
    const auto failing
        = [](const std::string &request) { return silence(8) + plainAnswer(request, "failure", "500 Internal Server Error"); };
    {
        const replicas_in_turn replicas(failing, [](const std::string &request) { return silence(8) + successAnswer(request); });
        CHECK(replicas.sendRequest("/again/").status == 200);
    }
    {
        const replicas_in_turn replicas(failing, noAnswer);
        const auto answer = replicas.sendRequest("/again/");
        CHECK(answer.status == 500);
        CHECK(answer.header("Server-Stamp") == "s");
    }
}

TEST_CASE("A request that both replicas refuse after a silence has not run, and its client is told when to come back")
{
    const auto lateRefusal = [](const std::string &request) { return silence(12) + refusalAnswer(request); };
    for (const auto *path : {"/again/", "/stream/"}) {
        const replicas_in_turn replicas(lateRefusal, refusalAnswer);
        const auto answer = replicas.sendRequest(path);
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.header("Retry-After").empty());
    }
}

TEST_CASE("A silence that all replicas share moves no stream")
{
    const scripted_replica one(pausedStream, true);
    const scripted_replica two(pausedStream, true);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    std::vector<std::thread> clients;
    std::atomic<int> whole = 0;
    constexpr int streams = 6;
    clients.reserve(streams);
    for (int number = 0; number < streams; ++number) {
        clients.emplace_back([&, number] {
            const auto answer = fixture.sendRequest("/stream/", "good", fmt::format("a{}", number));
            whole += answer.isWhole && answer.body == allEvents ? 1 : 0;
        });
    }
    std::for_each(clients.begin(), clients.end(), [](std::thread &client) { client.join(); });
    CHECK(whole == streams);
    CHECK_FALSE(one.requests().empty());
    CHECK_FALSE(two.requests().empty());
    CHECK(one.requests().size() + two.requests().size() == streams);
}
