// SPDX-License-Identifier: Apache-2.0
// How long a request waits for a replica, and when it is taken elsewhere.
#include "Tests/PlatformAdapter/relayWorld.h"

#include "Libraries/Feed/feed_messages.h"

#include <Poco/Net/DatagramSocket.h>

#include <array>

using namespace vetchpost;
using namespace vetchpost::test;

// What users saw: after a restart of all daemons, requests were answered 502 after 0.9 of the 6 seconds that their callers would have
// waited. The daemon gave the try up as soon as the replica had been silent for a while, and only then found that no repeat was left in its
// budget: the answer that the replica was about to give was thrown away. The evidence: lines "refused" with one try of two, the reason "the
// replica is silent", and five seconds left.
TEST_CASE("A slow answer is waited for where no other replica may take the request")
{
    const auto slow = [](const std::string &request) {
        std::this_thread::sleep_for(duration(1400));
        return streamHead(request, "slow") + chunk(event(1)) + "0\r\n\r\n";
    };
    const scripted_replica one(slow);
    const scripted_replica two(slow);

    SECTION("there is no other")
    {
        relay_world world;
        world.addHead("h-1", one);
        world.start();
        const auto reply = world.ask("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.body == event(1));
        CHECK(reply.isWhole);
    }

    SECTION("the budget of repeats is used up")
    {
        relay_world world;
        world.addHead("h-1", one);
        world.addHead("h-2", two);
        world.start(true, true);
        const auto reply = world.ask("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.isWhole);
        CHECK(one.requests().size() + two.requests().size() == 1);
    }
}

TEST_CASE("An idempotent request whose answer is late is waited for where no other replica may take it")
{
    const auto late = [](const std::string &request) {
        std::this_thread::sleep_for(duration(600));
        return answerTo(request, "late");
    };
    const scripted_replica only(late);
    relay_world world;
    world.addPlain("i-1", only);
    world.start();
    const auto reply = world.ask("/again/");
    CHECK(reply.status == 200);
    CHECK(reply.body == "late");
}

namespace {

/// A coordinator that tells nothing but what a test lets it tell.
class scripted_coordinator
{
public:
    scripted_coordinator()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
    }

    std::string address() const
    {
        return m_socket.address().toString();
    }

    /// Waits until the daemon follows it.
    bool isFollowed()
    {
        std::array<char, 2048> bytes{};
        constexpr int patienceSeconds = 5;
        return m_socket.poll(Poco::Timespan(patienceSeconds, 0), Poco::Net::Socket::SELECT_READ)
            && m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0;
    }

    /// Tells that the group of a head is likely to stand still.
    void tellDoubt(const std::string &head, const endpoint &to)
    {
        const auto bytes = encodeFeedMessage(group_stall_warning{instance_id(head)});
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
    }

private:
    Poco::Net::DatagramSocket m_socket;
};

/// Without the daemon's own looks.
std::ptrdiff_t callsTo(const scripted_replica &replica)
{
    const auto requests = replica.requests();
    return std::count_if(requests.begin(), requests.end(), [](const std::string &request) { return request.starts_with("POST "); });
}

const std::string shortPause(1, pauseHere);
const std::string longPause(5, pauseHere);

} // namespace

// What could be lost: the coordinator, to which one look at a member had no answer in time, tells that a group is likely to stand still. A
// stream there pauses for a moment. The daemon breaks it off, although no repeat is left in its budget, and although the replica goes on:
// the caller's connection is closed in the middle of an answer, while the daemon stops or a configuration changes too. The evidence: lines
// "broken_off" with the end "silent" whose "no_repeat" says that the budget of repeats is used up.
TEST_CASE("A stream that has begun is not broken off on a doubt where nobody else may go on with it")
{
    const auto pausing = [](const std::string &request) {
        return streamHead(request, "one") + chunk(event(1)) + longPause + chunk(event(2)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.setCoordinator(coordinator.address());
    world.start(true, true);
    REQUIRE(coordinator.isFollowed());
    std::thread doubting([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.tellDoubt("h-1", world.peers());
        coordinator.tellDoubt("h-2", world.peers());
    });
    const auto reply = world.ask("/stream/");
    doubting.join();
    CHECK(reply.status == 200);
    CHECK(reply.body == event(1) + event(2));
    CHECK(reply.isWhole);
    CHECK(callsTo(one) + callsTo(two) == 1);
}

// A doubt of a group whose events come on afterwards was wrong. It stayed with the stream all the same: at its next pause of a quarter of a
// second, which a full group may well make, the stream was taken to another replica and a repeat was spent.
TEST_CASE("A doubt that events have refuted moves no stream")
{
    const auto pausing = [](const std::string &request) {
        std::string events;
        for (int number = 1; number <= 5; ++number) {
            events += chunk(event(number)) + shortPause;
        }
        return streamHead(request, "one") + events + longPause + chunk(event(6)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.setCoordinator(coordinator.address());
    world.start();
    REQUIRE(coordinator.isFollowed());
    std::thread doubting([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.tellDoubt("h-1", world.peers());
        coordinator.tellDoubt("h-2", world.peers());
    });
    const auto reply = world.ask("/stream/");
    doubting.join();
    CHECK(reply.status == 200);
    CHECK(reply.isWhole);
    CHECK(callsTo(one) + callsTo(two) == 1);
}
