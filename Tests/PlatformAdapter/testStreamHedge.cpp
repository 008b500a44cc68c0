// SPDX-License-Identifier: Apache-2.0
// A stream that is silent for a moment is requested from a second group, and the first of the two to send an event goes on.
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const std::string tick(1, shortPauseMarker);
constexpr auto streamEnd = "0\r\n\r\n";

std::string silence(int tenths)
{
    return std::string(static_cast<std::size_t>(tenths), pauseMarker);
}

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += tick + chunk(event(number));
    }
    return text;
}

std::string eventText(int last)
{
    std::string text;
    for (int number = 1; number <= last; ++number) {
        text += event(number);
    }
    return text;
}

bool isResumption(const std::string &request)
{
    return !headerOf(request, "Last-Event-Id").empty();
}

bool isTraining(const std::string &request)
{
    return request.starts_with("POST /paced/training");
}

/// A stream whose connection loses three packets, each of which arrives with the retransmission 220 ms later.
std::string trainingAnswer(const std::string &request)
{
    std::string answer = streamHead(request, "s") + events(1, 12);
    for (int number = 13; number <= 15; ++number) {
        answer += silence(2) + events(number, number);
    }
    return answer + events(16, 20) + streamEnd;
}

/// Two groups that answer by the same scripts: \a original to the first request, \a resumed to one that asks for the rest of the stream.
class hedge_fixture
{
public:
    hedge_fixture(const scripted_replica::script &original, const scripted_replica::script &resumed)
        : m_one(scriptFor(original, resumed))
        , m_two(scriptFor(original, resumed))
    {
        m_fixture.addGroupHead("h-1", m_one);
        m_fixture.addGroupHead("h-2", m_two);
        m_fixture.start();
    }

    /// Shows the daemon the usual pauses and first events, and a network that loses packets.
    void train(int streams = 9)
    {
        for (int number = 0; number < streams; ++number) {
            CHECK(m_fixture.sendRequest("/paced/training", "good", fmt::format("t{}", number)).isWhole);
        }
        m_trained = requests().size();
    }

    client_answer ask()
    {
        return m_fixture.sendRequest("/paced/x", "good", "a1");
    }

    /// The requests after the training.
    std::size_t asked() const
    {
        return requests().size() - m_trained;
    }

    std::vector<std::string> requests() const
    {
        auto all = m_one.requests();
        const auto more = m_two.requests();
        all.insert(all.end(), more.begin(), more.end());
        return all;
    }

private:
    static scripted_replica::script scriptFor(const scripted_replica::script &original, const scripted_replica::script &resumed)
    {
        return [=](const std::string &request) {
            return isTraining(request) ? trainingAnswer(request) : isResumption(request) ? resumed(request) : original(request);
        };
    }

    scripted_replica m_one;
    scripted_replica m_two;
    relay_fixture m_fixture;
    std::size_t m_trained = 0;
};

std::string pausing(const std::string &request)
{
    return streamHead(request, "one") + events(1, 3) + silence(6) + events(4, 6) + streamEnd;
}

std::string restOfStream(const std::string &request)
{
    CHECK(headerOf(request, "Last-Event-Id") == "3");
    return streamHead(request, "two") + events(4, 6) + streamEnd;
}

} // namespace

// A lost packet costs the sender's retransmission timeout, after which every event of the stream is late.
TEST_CASE("A silent stream is continued by the second group, each event once, within the pause limit")
{
    hedge_fixture fixture(pausing, restOfStream);
    fixture.train();
    const auto asked = monotonicNow();
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(6));
    CHECK(reply.header("Server-Stamp") == "one");
    CHECK(fixture.asked() == 2);
    CHECK(monotonicNow() - asked < duration(500));
}

// Without losses an unusual pause shows a slow or stalled group; asking twice would add load to groups that may be overloaded.
TEST_CASE("Without observed losses a silent stream is not requested twice")
{
    hedge_fixture fixture(pausing, restOfStream);
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(6));
    CHECK(fixture.asked() == 1);
}

TEST_CASE("If the first group is faster, it goes on, and the second connection is closed")
{
    const auto shortlyPausing
        = [](const std::string &request) { return streamHead(request, "one") + events(1, 3) + silence(2) + events(4, 6) + streamEnd; };
    const auto slow = [](const std::string &request) { return silence(4) + streamHead(request, "two") + events(4, 6) + streamEnd; };
    hedge_fixture fixture(shortlyPausing, slow);
    fixture.train();
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(6));
    CHECK(fixture.asked() == 2);
}

TEST_CASE("If the second group rejects the request, the first one goes on")
{
    hedge_fixture fixture(pausing, refusalAnswer);
    fixture.train();
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(6));
    CHECK(fixture.asked() == 2);
}

// The first connection may be lost after the second group was asked; its loss must not end a stream that the second one continues.
TEST_CASE("If the first connection breaks off while both are silent, the second group goes on")
{
    const auto breaking = [](const std::string &request) { return streamHead(request, "one") + events(1, 3) + silence(2); };
    const auto slow = [](const std::string &request) { return streamHead(request, "two") + silence(3) + events(4, 6) + streamEnd; };
    hedge_fixture fixture(breaking, slow);
    fixture.train();
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(6));
}

TEST_CASE("If both connections break off, the stream is broken off and not completed falsely")
{
    const auto breaking = [](const std::string &request) { return streamHead(request, "one") + events(1, 3) + silence(2); };
    const auto breakingToo = [](const std::string &request) { return streamHead(request, "two") + silence(4); };
    hedge_fixture fixture(breaking, breakingToo);
    fixture.train();
    const auto reply = fixture.ask();
    CHECK_FALSE(reply.isWhole);
    CHECK(reply.body == eventText(3));
    CHECK(fixture.asked() == 2);
}

TEST_CASE("A first event that is unusually late is requested from the second group")
{
    const auto late = [](const std::string &request) { return silence(7) + streamHead(request, "one") + events(1, 3) + streamEnd; };
    hedge_fixture fixture(
        [&, first = std::make_shared<std::atomic<bool>>(true)](const std::string &request) {
            return first->exchange(false) ? late(request) : streamHead(request, "two") + events(1, 3) + streamEnd;
        },
        restOfStream);
    fixture.train();
    const auto asked = monotonicNow();
    const auto reply = fixture.ask();
    CHECK(reply.isWhole);
    CHECK(reply.body == eventText(3));
    CHECK(reply.header("Server-Stamp") == "two");
    CHECK(monotonicNow() - asked < duration(400));
}
