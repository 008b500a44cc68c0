// SPDX-License-Identifier: Apache-2.0
// One part of a prompt crashes each replica that begins to write an answer on it. Requests with that part come at any daemon, no two alike,
// and sound requests share their other parts.
#include "Libraries/Base/json.h"
#include "Tests/Partition/partitionFixture.h"

#include <random>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto deadlyPart = "dead";
/// Parts that sound requests and deadly ones share.
constexpr int commonParts = 4;
constexpr int heads = 6;
/// After the fifth end and this time no more than maxLateSends requests with the part may reach replicas.
constexpr std::size_t endsUntilKnown = 5;
constexpr duration contactTime(3000);
constexpr std::size_t maxLateSends = 3;
/// After this time a replica has restarted and is no longer avoided because of the lost request.
constexpr duration restartTime(300);

std::string partsOf(int number, bool isDeadly)
{
    return fmt::format("c{:x}:40,{}{:x}:700", number % commonParts, isDeadly ? std::string(deadlyPart) + ":300," : "", 0x1000 + number);
}

/// The replica sends the head of its answer and ends if the prompt has the deadly part, and answers otherwise.
std::string endOnDeadlyPart(const std::string &request)
{
    const bool isDeadly = headerOf(request, "Prompt-Prefix").find(deadlyPart) != std::string::npos;
    return isDeadly ? streamHead(request, "s") + restartMarker : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

class crashing_heads
{
public:
    crashing_heads()
    {
        for (int number = 0; number < heads; ++number) {
            m_heads.push_back(std::make_unique<scripted_replica>(endOnDeadlyPart));
            fixture.addGroupHead("h-" + std::to_string(number), *m_heads.back());
        }
        fixture.startAll();
    }

    /// Sends a request whose body and last part are its own.
    client_answer send(int daemon, int number, bool isDeadly)
    {
        return sendWithParts(daemon, fmt::format("{}-{}", isDeadly ? "deadly" : "sound", number), partsOf(number, isDeadly));
    }

    client_answer sendWithParts(int daemon, const std::string &requestId, const std::string &parts)
    {
        auto call = fixture.daemon(daemon).callFor("/stream/", requestId);
        call.body = "question of " + requestId;
        call.headers.push_back({"Prompt-Prefix", parts});
        return sendCall(call);
    }

    /// Sends deadly requests until both daemons refuse their part. Returns whether they do.
    bool refuseDeadlyPart()
    {
        for (int number = 0; number < 6; ++number) {
            send(number % 2, number, true);
            std::this_thread::sleep_for(restartTime);
        }
        return send(0, 100, true).status == 503 && send(1, 101, true).status == 503;
    }

    /// The header Prompt-Prefix of the requests with this id that have reached replicas.
    std::vector<std::string> receivedParts(const std::string &requestId) const
    {
        std::vector<std::string> received;
        for (const auto &head : m_heads) {
            for (const auto &request : head->requests()) {
                if (headerOf(request, "Attempt-Id") == requestId) {
                    received.push_back(headerOf(request, "Prompt-Prefix"));
                }
            }
        }
        return received;
    }

    /// The number of deadly requests that have reached a replica, each of which has ended by it.
    std::size_t ends() const
    {
        std::size_t count = 0;
        for (const auto &head : m_heads) {
            const auto requests = head->requests();
            count += static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [](const std::string &request) {
                return headerOf(request, "Attempt-Id").starts_with("deadly");
            }));
        }
        return count;
    }

private:
    std::vector<std::unique_ptr<scripted_replica>> m_heads;

public:
    partition_fixture fixture{2, false};
};

} // namespace

TEST_CASE("Requests with a part of a prompt that ends replicas reach no more of them, and sound requests with the other parts are served")
{
    crashing_heads system;
    std::size_t endsWhenKnown = 0;
    std::optional<instant> knownAt;
    int soundServed = 0;
    int soundOffered = 0;
    constexpr int rounds = 30;
    for (int number = 0; number < rounds; ++number) {
        system.send(number % 2, number, true);
        // The replicas restart, and sound requests come beside.
        for (int sound = 0; sound < 2; ++sound) {
            const bool isServed = system.send((number + sound) % 2, 1000 + 2 * number + sound, false).status == 200;
            soundOffered += knownAt ? 1 : 0;
            soundServed += knownAt && isServed ? 1 : 0;
            std::this_thread::sleep_for(duration(150));
        }
        if (!knownAt && (system.ends() >= endsUntilKnown || number == rounds / 2)) {
            std::this_thread::sleep_for(contactTime);
            knownAt = monotonicNow();
            endsWhenKnown = system.ends();
        }
    }
    INFO(endsWhenKnown << " ends when it must be known, " << system.ends() << " in all");
    CHECK(endsWhenKnown <= endsUntilKnown);
    CHECK(system.ends() - endsWhenKnown <= maxLateSends);
    CHECK(soundServed >= 0.95 * soundOffered);
}

TEST_CASE("Requests with a refused part are refused at once, as not run and with a retry-after time")
{
    crashing_heads system;
    REQUIRE(system.refuseDeadlyPart());
    const auto asked = monotonicNow();
    const auto reply = system.send(1, 200, true);
    CHECK(reply.status == 503);
    CHECK_FALSE(reply.header("Retry-After").empty());
    CHECK(monotonicNow() - asked < duration(100));
}

TEST_CASE("A refused part is listed for operators, and allowed again at all daemons once one of them is told so")
{
    crashing_heads system;
    REQUIRE(system.refuseDeadlyPart());
    const auto &daemon = system.fixture.daemon(1);
    const auto listed = parseJson(daemon.get(daemon.peers, "/crashing-requests").body);
    REQUIRE(listed);
    REQUIRE((*listed)["refused_parts"].size() == 1);
    const auto part = (*listed)["refused_parts"][0]["part"].asString();
    http_call call;
    call.to = daemon.peers;
    call.method = "POST";
    call.target = "/crashing-requests?allow=" + part;
    reason why;
    const auto allowed = sendOnFreshConnection(call, why);
    REQUIRE(allowed);
    CHECK(allowed->status == 200);
    const auto ends = system.ends();
    std::this_thread::sleep_for(duration(1000));
    CHECK(system.send(0, 300, true).status != 503);
    CHECK(system.ends() > ends);
}

TEST_CASE("A statement of parts that cannot be read is counted and passed on as it is, and its request is served")
{
    crashing_heads system;
    int number = 0;
    for (const std::string parts : {"no hex:3,ab:1", "ab:-4,cd:5", "ab", ",,,", "ab:1,ab:1,cd:2"}) {
        const auto id = "unreadable-" + std::to_string(++number);
        INFO(parts);
        CHECK(system.sendWithParts(0, id, parts).status == 200);
        CHECK(system.receivedParts(id) == std::vector{parts});
    }
    CHECK(system.fixture.daemon(0).metric("vetchpost_prompt_parts_invalid_total") == number);
}
