// SPDX-License-Identifier: Apache-2.0
// What users saw: for half a minute most of a model's streams were refused or broke off. A request that ends every replica which begins to
// run it came again under new ids, at all daemons. Each daemon sent it to as many replicas as its route allows and forgot it. Thirteen
// heads ended, eleven of them within ten seconds, each with all that was on board; as soon as a new group opened it got that request as
// well. What proved it: no id had more tries than its route allows, the eleven heads refused connections afterwards, and with this mended
// the same kind of day broke nothing, twice. The digest of path, organisation and body in the log is one in all lost tries of these cases.
#include "Libraries/Feed/feed_messages.h"
#include "Tests/PlatformAdapter/relayWorld.h"

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <future>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto deadlyBody = "deadly";
/// A replica is back, and its place no longer passed over for having been lost.
constexpr duration returnTime(300);

std::string endedBy(const std::string &request)
{
    return request.ends_with(deadlyBody) ? std::string(1, endHere) : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

class three_heads
{
public:
    three_heads()
    {
        world.addHead("h-1", m_replicas[0]);
        world.addHead("h-2", m_replicas[1]);
        world.addHead("h-3", m_replicas[2]);
        world.start();
    }

    /// How often a replica got the request that ends it.
    std::size_t deadlySends() const
    {
        std::size_t count = 0;
        for (const auto &replica : m_replicas) {
            const auto requests = replica.requests();
            count += static_cast<std::size_t>(
                std::count_if(requests.begin(), requests.end(), [](const std::string &request) { return request.ends_with(deadlyBody); }));
        }
        return count;
    }

private:
    std::array<scripted_replica, 3> m_replicas{scripted_replica(endedBy), scripted_replica(endedBy), scripted_replica(endedBy)};

public:
    relay_world world;
};

} // namespace

TEST_CASE("A request under which three replicas have ended is sent to no other, and the requests beside it are served")
{
    three_heads heads;
    for (int number = 0; number < 5; ++number) {
        const auto reply = heads.world.askWith("/stream/", deadlyBody, "deadly-" + std::to_string(number));
        CHECK(reply.status >= 500);
        std::this_thread::sleep_for(returnTime);
        CHECK(heads.world.askWith("/stream/", "harmless", "harmless-" + std::to_string(number)).status == 200);
    }
    CHECK(heads.deadlySends() == 3);
}

TEST_CASE("The refusal of a request that ends replicas comes at once, says that it has not run and when to come back")
{
    three_heads heads;
    for (int number = 0; number < 2; ++number) {
        heads.world.askWith("/stream/", deadlyBody, "deadly-" + std::to_string(number));
        std::this_thread::sleep_for(returnTime);
    }
    const auto asked = monotonicNow();
    const auto reply = heads.world.askWith("/stream/", deadlyBody, "deadly-again");
    CHECK(reply.status == 503);
    CHECK_FALSE(reply.header("Retry-After").empty());
    CHECK(monotonicNow() - asked < duration(100));
}

TEST_CASE("What was refused before all daemons ended is refused by those that start after them, until an operator allows it")
{
    const scripted_replica replica(endedBy);
    relay_world world;
    world.addHead("h-1", replica);
    const auto kept = relay_world::identityOfAsk("/stream/", "kept");
    world.keepRefused(kept);
    world.start();
    // The notes are read soon after the configuration.
    std::this_thread::sleep_for(duration(500));
    CHECK(world.askWith("/stream/", "kept", "k1").status == 503);
    CHECK(replica.requests().empty());

    http_call call;
    call.to = world.peers();
    call.target = "/crashing-requests";
    reason why;
    const auto listed = sendOnFreshConnection(call, why);
    REQUIRE(listed);
    CHECK(listed->body.find(kept.value()) != std::string::npos);
    call.method = "POST";
    call.target += "?allow=" + kept.value();
    const auto allowed = sendOnFreshConnection(call, why);
    REQUIRE(allowed);
    CHECK(allowed->status == 200);
    CHECK(world.askWith("/stream/", "kept", "k2").status == 200);
    CHECK(sendOnFreshConnection(call, why)->status == 404);
}

TEST_CASE("Lost answers of replicas that live refuse no request")
{
    const scripted_replica one(closed);
    const scripted_replica two(closed);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    for (int number = 0; number < 4; ++number) {
        CHECK(world.askWith("/stream/", "lost", "l" + std::to_string(number)).status == 502);
    }
    CHECK(one.requests().size() + two.requests().size() == 8);
}

TEST_CASE("A request that others send too, and that is answered, is not refused for replicas that end under it")
{
    // The first three that run it are lost for another reason.
    std::atomic<int> ends = 3;
    const auto lostAtFirst = [&](const std::string &request) {
        return ends-- > 0 ? std::string(1, endHere) : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
    };
    const scripted_replica sound([](const std::string &request) { return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n"; });
    const scripted_replica first(lostAtFirst);
    const scripted_replica second(lostAtFirst);
    relay_world world;
    world.addHead("h-1", sound);
    world.addHead("h-2", first);
    world.addHead("h-3", second);
    world.start();
    int served = 0;
    for (int number = 0; number < 12; ++number) {
        served += world.askWith("/stream/", "common", "c" + std::to_string(number)).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(duration(100));
    }
    CHECK(served >= 11);
}

TEST_CASE("A try that waits at a replica is taken back once another daemon tells that replicas ended under the same request")
{
    const scripted_replica silent([](const std::string & /*request*/) { return std::string(20, pauseHere); });
    relay_world world;
    world.addHead("h-1", silent);
    world.start();
    auto answer = std::async(std::launch::async, [&] { return world.askWith("/stream/", "told", "t1"); });
    std::this_thread::sleep_for(duration(300));
    const suspect_report told{relay_world::identityOfAsk("/stream/", "told"),
                              organisation_id("t1"),
                              {replica_end(1), replica_end(2), replica_end(3)},
                              0,
                              duration(100)};
    const auto bytes = encodeFeedMessage(suspect_batch{false, 1, {told}});
    Poco::Net::DatagramSocket socket;
    socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(world.peers().host, world.peers().port));
    const auto sent = monotonicNow();
    // It may have run, so that the answer promises nothing.
    CHECK(answer.get().status == 502);
    CHECK(monotonicNow() - sent < duration(500));
    CHECK(world.askWith("/stream/", "told", "t2").status == 503);
}
