// SPDX-License-Identifier: Apache-2.0
// Guards against a verdict on a replica that lost a request which is made too early, or from what happened for another reason.
#include "Tests/Partition/partitionFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto suspectPart = "0bad";
/// In this time a replica restarts, and the end is known.
constexpr duration settleTime(500);

bool hasSuspectPart(const std::string &request)
{
    return headerOf(request, "Prompt-Prefix").find(suspectPart) != std::string::npos;
}

bool isDeadly(const std::string &request)
{
    return request.ends_with("deadly");
}

/// Resets the connections of requests with the suspect part once their answer has begun. Others are answered for two seconds.
std::string resetOnSuspectPart(const std::string &request)
{
    if (hasSuspectPart(request)) {
        return streamHead(request, "s") + resetMarker;
    }
    std::string answer = streamHead(request, "s");
    for (int number = 1; number <= 20; ++number) {
        answer += chunk(event(number)) + pauseMarker;
    }
    return answer + "0\r\n\r\n";
}

std::string restartSlowlyOnDeadlyRequest(const std::string &request)
{
    return isDeadly(request) ? std::string(1, slowRestartMarker) : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// A daemon in front of three heads of groups.
class three_heads
{
public:
    three_heads(const scripted_replica::script &script, bool isConcurrent)
    {
        for (int number = 0; number < 3; ++number) {
            m_heads.push_back(std::make_unique<scripted_replica>(script, isConcurrent));
            m_fixture.addGroupHead("h-" + std::to_string(number), *m_heads.back());
        }
        m_fixture.startAll();
    }

    /// The number of requests for which \a isCounted holds that have reached a replica.
    std::size_t received(const std::function<bool(const std::string &)> &isCounted) const
    {
        std::size_t count = 0;
        for (const auto &head : m_heads) {
            const auto requests = head->requests();
            count += static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), isCounted));
        }
        return count;
    }

    /// Whether each replica has received a request.
    bool allAreBusy() const
    {
        return std::all_of(m_heads.begin(), m_heads.end(), [](const auto &head) { return !head->requests().empty(); });
    }

    std::size_t probes() const
    {
        std::size_t count = 0;
        for (const auto &head : m_heads) {
            count += head->probes();
        }
        return count;
    }

    /// Stops the replicas that have received a request with the suspect part. The others stay, so that the daemon is not cut off.
    void stopSuspectHeads()
    {
        std::erase_if(m_heads, [](const auto &head) {
            const auto requests = head->requests();
            return std::any_of(requests.begin(), requests.end(), hasSuspectPart);
        });
        REQUIRE(m_heads.size() == 1);
    }

    http_call callFor(const std::string &requestId, const std::string &parts)
    {
        auto call = daemon().callFor("/stream/", requestId);
        call.body = "question of " + requestId;
        call.headers.push_back({"Prompt-Prefix", parts});
        return call;
    }

    /// Sends a request with the suspect part, whose other part is its own.
    client_answer sendSuspect(int number)
    {
        return sendCall(callFor(fmt::format("suspect-{}", number), fmt::format("{}:300,{:x}:40", suspectPart, 0x1000 + number)));
    }

    /// How many attempts that were lost with their replicas speak against a part.
    double partEnds()
    {
        return daemon().metric("vetchpost_part_ends_total");
    }

    linked_daemon &daemon()
    {
        return m_fixture.daemon(0);
    }

private:
    std::vector<std::unique_ptr<scripted_replica>> m_heads;
    partition_fixture m_fixture{1, false};
};

} // namespace

TEST_CASE("A request that has ended three replicas, whose ports close later than their connections, is sent to no other")
{
    three_heads heads(restartSlowlyOnDeadlyRequest, false);
    for (int number = 0; number < 5; ++number) {
        auto call = heads.callFor("deadly-" + std::to_string(number), "");
        call.body = "deadly";
        CHECK(sendCall(call).status >= 500);
        std::this_thread::sleep_for(settleTime);
    }
    CHECK(heads.received(isDeadly) == endsForRefusal);
}

TEST_CASE("Requests whose connections are reset by replicas that go on are retried and not refused, and cost few probes")
{
    three_heads heads(resetOnSuspectPart, true);
    constexpr std::size_t requests = 20;
    // Checks of a replica follow each other with a delay that doubles.
    constexpr std::size_t maxProbesPerLoss = 8;
    for (int number = 0; number < static_cast<int>(requests); ++number) {
        CHECK(heads.sendSuspect(number).status == 502);
    }
    CHECK(heads.received(hasSuspectPart) == 2 * requests);
    CHECK(heads.partEnds() == 0);
    CHECK(heads.probes() <= maxProbesPerLoss * 2 * requests);
}

TEST_CASE("The end of a replica counts that follows the loss of a request after a while in which it has answered nothing")
{
    three_heads heads(resetOnSuspectPart, true);
    heads.sendSuspect(1);
    std::this_thread::sleep_for(settleTime);
    heads.stopSuspectHeads();
    std::this_thread::sleep_for(duration(1500));
    CHECK(heads.partEnds() > 0);
}

TEST_CASE("The end of a replica does not count against a request that it lost before it went on to answer others")
{
    three_heads heads(resetOnSuspectPart, true);
    std::vector<std::future<client_answer>> streams;
    for (int number = 0; number < 10 && !heads.allAreBusy(); ++number) {
        streams.push_back(
            std::async(std::launch::async, [&heads, number] { return sendCall(heads.callFor("stream-" + std::to_string(number), "")); }));
        std::this_thread::sleep_for(duration(50));
    }
    REQUIRE(heads.allAreBusy());
    heads.sendSuspect(1);
    std::this_thread::sleep_for(2 * settleTime);
    heads.stopSuspectHeads();
    std::this_thread::sleep_for(duration(1500));
    CHECK(heads.partEnds() == 0);
}
