// SPDX-License-Identifier: Apache-2.0
// Guards against a client that gets a success with an empty or short body since the head of a replica's answer ended early.
#include "Tests/Fakes/raw_client.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr std::size_t stepBetweenCuts = 5;
/// Each of these cuts needs a daemon of its own, since resumptions use up the retry budget.
constexpr std::size_t stepBetweenResumedCuts = 17;

std::string headOf(const std::string &request, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + headerOf(request, "Attempt-Id") + "\r\nServer-Stamp: s\r\n" + framing + "\r\n";
}

/// The events of a stream of two, from the one after that the request names.
std::string streamFor(const std::string &request)
{
    const bool isResumed = !headerOf(request, "Last-Event-Id").empty();
    return streamHead(request, "s") + (isResumed ? "" : chunk(event(1))) + chunk(event(2)) + "0\r\n\r\n";
}

/// The beginnings of an answer's head, each with the marker that resets the connection, and without.
std::vector<std::string> cutHeads(const std::string &framing, std::size_t step = stepBetweenCuts)
{
    const auto head = headOf("POST / HTTP/1.1\r\nAttempt-Id: a1\r\n\r\n", framing);
    std::vector<std::string> cuts;
    for (std::size_t length = 0; length < head.size(); length += step) {
        cuts.push_back(head.substr(0, length));
        cuts.push_back(head.substr(0, length) + resetMarker);
    }
    cuts.push_back(head.substr(0, head.size() - 1));
    return cuts;
}

/// A daemon in front of two heads that answer by the same script.
class two_heads
{
public:
    explicit two_heads(const scripted_replica::script &script)
        : m_one(script)
        , m_two(script)
    {
        m_fixture.addGroupHead("one", m_one);
        m_fixture.addGroupHead("two", m_two);
        m_fixture.start();
    }

    client_answer sendRequest() const
    {
        return m_fixture.sendRequest("/stream/x");
    }

private:
    scripted_replica m_one;
    scripted_replica m_two;
    relay_fixture m_fixture;
};

} // namespace

TEST_CASE("A plain answer whose head ends early is no success, and another replica answers where the request may run again")
{
    for (const auto *framing : {"Content-Length: 5\r\n", "Content-Length: 0\r\n", ""}) {
        std::string cut;
        std::atomic<bool> isCut = false;
        const auto script = [&](const std::string &request) { return isCut.exchange(false) ? cut : plainAnswer(request, "whole"); };
        const scripted_replica one(script);
        const scripted_replica two(script);
        relay_fixture fixture;
        fixture.addPlainReplica("one", one);
        fixture.addPlainReplica("two", two);
        fixture.start();
        for (const auto &head : cutHeads(framing)) {
            CAPTURE(head, framing);
            cut = head;
            isCut = true;
            const auto once = fixture.sendRequest("/once/x");
            CHECK(once.status / 100 != 2);
            CHECK_FALSE(isCut);
            isCut = true;
            const auto again = fixture.sendRequest("/again/x");
            CHECK_FALSE(isCut);
            CHECK((again.status / 100 != 2 || (again.isWhole && again.body == "whole")));
        }
    }
}

TEST_CASE("A stream whose head ends early is not whole without all of its events")
{
    std::string cut;
    std::atomic<bool> isCut = false;
    const auto script = [&](const std::string &request) { return isCut.exchange(false) ? cut : streamFor(request); };
    const two_heads heads(script);
    for (const auto *framing : {"Transfer-Encoding: chunked\r\n", "Content-Length: 0\r\n"}) {
        for (const auto &head : cutHeads(framing)) {
            CAPTURE(head);
            cut = head;
            isCut = true;
            const auto answer = heads.sendRequest();
            CHECK_FALSE(isCut);
            CHECK((answer.status / 100 != 2 || !answer.isWhole || answer.body == event(1) + event(2)));
        }
    }
}

TEST_CASE("A stream that is resumed by an answer whose head ends early is not whole without all of its events")
{
    for (const auto &head : cutHeads("Transfer-Encoding: chunked\r\n", stepBetweenResumedCuts)) {
        CAPTURE(head);
        const auto script = [&](const std::string &request) {
            const bool isResumed = !headerOf(request, "Last-Event-Id").empty();
            return isResumed ? head : streamHead(request, "s") + chunk(event(1));
        };
        const two_heads heads(script);
        const auto answer = heads.sendRequest();
        CHECK((answer.status / 100 != 2 || !answer.isWhole));
    }
}
