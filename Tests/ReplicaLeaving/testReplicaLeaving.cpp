// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayFixture.h"

#include "Libraries/Feed/feed_messages.h"

#include <Poco/Net/DatagramSocket.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int requestCount = 12;

std::string served(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// The answer with a header that announces that the replica leaves.
std::string withLeaving(std::string answer)
{
    answer.insert(answer.find("\r\n") + 2, "Server-Leaving: 1\r\n");
    return answer;
}

void sendRequests(const relay_fixture &fixture)
{
    for (int number = 0; number < requestCount; ++number) {
        fixture.sendRequest("/stream/", "good", "a" + std::to_string(number));
    }
}

} // namespace

TEST_CASE("A replica that announces in an answer that it leaves gets no more requests, whatever its entry says")
{
    scripted_replica::script leaving;
    SECTION("at the head of a stream")
    {
        leaving = [](const std::string &request) { return withLeaving(served(request)); };
    }
    SECTION("in a failure")
    {
        leaving = [](const std::string &request) { return withLeaving(plainAnswer(request, "no", "500 Internal Server Error")); };
    }
    SECTION("in a rejection")
    {
        leaving = [](const std::string &request) { return withLeaving(refusalAnswer(request)); };
    }
    SECTION("in an answer to a misdirected request")
    {
        leaving = [](const std::string &request) { return withLeaving(plainAnswer(request, "", "421 Misdirected Request")); };
    }
    const scripted_replica one(leaving);
    const scripted_replica two(served);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    sendRequests(fixture);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() >= requestCount - 1);
}

TEST_CASE("A replica gets no requests after another daemon has reported that it leaves")
{
    const scripted_replica one(served);
    const scripted_replica two(served);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    Poco::Net::DatagramSocket other(Poco::Net::SocketAddress("127.0.0.1", 0));
    const constraint_batch list{false, 1, {{{instance_id("h-1"), {}}, std::nullopt, constraintLifetime, true}}};
    const auto bytes = encodeFeedMessage(list);
    other.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(fixture.peers().host, fixture.peers().port));
    std::this_thread::sleep_for(duration(300));
    sendRequests(fixture);
    CHECK(one.requests().empty());
    CHECK(two.requests().size() == requestCount);
}
