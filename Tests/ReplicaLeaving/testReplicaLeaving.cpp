// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayWorld.h"

#include "Libraries/Feed/feed_messages.h"

#include <Poco/Net/DatagramSocket.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int requests = 12;

std::string served(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

std::string withLeaving(std::string answer)
{
    answer.insert(answer.find("\r\n") + 2, "Server-Leaving: 1\r\n");
    return answer;
}

void askOften(const relay_world &world)
{
    for (int number = 0; number < requests; ++number) {
        world.ask("/stream/", "good", "a" + std::to_string(number));
    }
}

} // namespace

TEST_CASE("A replica that says in an answer that it leaves gets nothing more, whatever its entry says")
{
    scripted_replica::script leaving;
    SECTION("at the head of a stream")
    {
        leaving = [](const std::string &request) { return withLeaving(served(request)); };
    }
    SECTION("in a failure")
    {
        leaving = [](const std::string &request) { return withLeaving(answerTo(request, "no", "500 Internal Server Error")); };
    }
    SECTION("in a rejection")
    {
        leaving = [](const std::string &request) { return withLeaving(refusalTo(request)); };
    }
    SECTION("in an answer to a request that went astray")
    {
        leaving = [](const std::string &request) { return withLeaving(answerTo(request, "", "421 Misdirected Request")); };
    }
    const scripted_replica one(leaving);
    const scripted_replica two(served);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    askOften(world);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() >= requests - 1);
}

TEST_CASE("A replica that leaves by another daemon's word gets nothing")
{
    const scripted_replica one(served);
    const scripted_replica two(served);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    Poco::Net::DatagramSocket other(Poco::Net::SocketAddress("127.0.0.1", 0));
    const constraint_batch list{false, 1, {{{instance_id("h-1"), {}}, std::nullopt, constraintLifetime, true}}};
    const auto bytes = encodeFeedMessage(list);
    other.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(world.peers().host, world.peers().port));
    std::this_thread::sleep_for(duration(300));
    askOften(world);
    CHECK(one.requests().empty());
    CHECK(two.requests().size() == requests);
}
