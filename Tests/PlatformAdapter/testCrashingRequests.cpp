// SPDX-License-Identifier: Apache-2.0
// A request that crashes every replica which begins to run it arrives again and again under new ids at all daemons. If each daemon treats
// these as unrelated requests and retries each of them as often as its route allows, group heads crash in quick succession, each with all
// requests in flight, and every new group receives the request as well, so that most of a model's streams are refused or break off. All
// these requests have the same identity: the digest of organisation, method, host, path and body.
#include "Libraries/Feed/feed_messages.h"
#include "Tests/PlatformAdapter/relayFixture.h"

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <future>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto deadlyBody = "deadly";
/// After this time a replica has restarted and is no longer avoided because of the lost request.
constexpr duration restartTime(300);

/// The script of a replica that is stopped by the deadly request and serves all others.
std::string stopOnDeadlyRequest(const std::string &request)
{
    return request.ends_with(deadlyBody) ? std::string(1, restartMarker) : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

class three_heads
{
public:
    three_heads()
    {
        fixture.addGroupHead("h-1", m_replicas[0]);
        fixture.addGroupHead("h-2", m_replicas[1]);
        fixture.addGroupHead("h-3", m_replicas[2]);
        fixture.start();
    }

    /// How many times the replicas received the deadly request.
    std::size_t deadlyRequests() const
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
    std::array<scripted_replica, 3> m_replicas{
        scripted_replica(stopOnDeadlyRequest), scripted_replica(stopOnDeadlyRequest), scripted_replica(stopOnDeadlyRequest)};

public:
    relay_fixture fixture;
};

} // namespace

TEST_CASE("A request that has ended three replicas is sent to no other, and other requests are served")
{
    three_heads heads;
    for (int number = 0; number < 5; ++number) {
        const auto reply = heads.fixture.sendRequestWithBody("/stream/", deadlyBody, "deadly-" + std::to_string(number));
        CHECK(reply.status >= 500);
        std::this_thread::sleep_for(restartTime);
        CHECK(heads.fixture.sendRequestWithBody("/stream/", "harmless", "harmless-" + std::to_string(number)).status == 200);
    }
    CHECK(heads.deadlyRequests() == 3);
}

TEST_CASE("A request that ends replicas is refused at once, as not run and with a retry-after time")
{
    three_heads heads;
    for (int number = 0; number < 2; ++number) {
        heads.fixture.sendRequestWithBody("/stream/", deadlyBody, "deadly-" + std::to_string(number));
        std::this_thread::sleep_for(restartTime);
    }
    const auto asked = monotonicNow();
    const auto reply = heads.fixture.sendRequestWithBody("/stream/", deadlyBody, "deadly-again");
    CHECK(reply.status == 503);
    CHECK_FALSE(reply.header("Retry-After").empty());
    CHECK(monotonicNow() - asked < duration(100));
}

TEST_CASE("A refusal survives a restart of all daemons until an operator allows the request")
{
    const scripted_replica replica(stopOnDeadlyRequest);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", replica);
    const auto kept = relay_fixture::identityOfRequest("/stream/", "kept");
    fixture.storeRefusal(kept);
    fixture.start();
    // The stored refusals are read soon after the configuration.
    std::this_thread::sleep_for(duration(500));
    CHECK(fixture.sendRequestWithBody("/stream/", "kept", "k1").status == 503);
    CHECK(replica.requests().empty());

    http_call call;
    call.to = fixture.peers();
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
    CHECK(fixture.sendRequestWithBody("/stream/", "kept", "k2").status == 200);
    CHECK(sendOnFreshConnection(call, why)->status == 404);
}

TEST_CASE("Answers lost by replicas that are still running cause no refusal")
{
    const scripted_replica one(noAnswer);
    const scripted_replica two(noAnswer);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    for (int number = 0; number < 4; ++number) {
        CHECK(fixture.sendRequestWithBody("/stream/", "lost", "l" + std::to_string(number)).status == 502);
    }
    CHECK(one.requests().size() + two.requests().size() == 8);
}

TEST_CASE("A request that is answered elsewhere is not refused because replicas end while running it")
{
    // The first three replicas that run it end for another reason.
    std::atomic<int> ends = 3;
    const auto lostAtFirst = [&](const std::string &request) {
        return ends-- > 0 ? std::string(1, restartMarker) : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
    };
    const scripted_replica sound([](const std::string &request) { return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n"; });
    const scripted_replica first(lostAtFirst);
    const scripted_replica second(lostAtFirst);
    relay_fixture fixture;
    fixture.addGroupHead("h-1", sound);
    fixture.addGroupHead("h-2", first);
    fixture.addGroupHead("h-3", second);
    fixture.start();
    int served = 0;
    for (int number = 0; number < 12; ++number) {
        served += fixture.sendRequestWithBody("/stream/", "common", "c" + std::to_string(number)).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(duration(100));
    }
    CHECK(served >= 11);
}

TEST_CASE("A waiting attempt is withdrawn when another daemon reports that replicas ended while running the same request")
{
    const scripted_replica silent([](const std::string & /*request*/) { return std::string(20, pauseMarker); });
    relay_fixture fixture;
    fixture.addGroupHead("h-1", silent);
    fixture.start();
    auto answer = std::async(std::launch::async, [&] { return fixture.sendRequestWithBody("/stream/", "told", "t1"); });
    std::this_thread::sleep_for(duration(300));
    const suspect_report reported{relay_fixture::identityOfRequest("/stream/", "told"),
                                  organisation_id("t1"),
                                  {replica_end(1), replica_end(2), replica_end(3)},
                                  0,
                                  duration(100)};
    const auto bytes = encodeFeedMessage(suspect_batch{false, 1, {reported}});
    Poco::Net::DatagramSocket socket;
    socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(fixture.peers().host, fixture.peers().port));
    const auto sent = monotonicNow();
    // The request may have run, so the answer does not say that it has not.
    CHECK(answer.get().status == 502);
    CHECK(monotonicNow() - sent < duration(500));
    CHECK(fixture.sendRequestWithBody("/stream/", "told", "t2").status == 503);
}
