// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Partition/partitionFixture.h"

/// Two daemons in front of replicas that a part of a prompt crashes. No two requests are alike, and sound ones share their other parts.
namespace vetchpost::test {

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

inline std::string partsOf(int number, bool isDeadly)
{
    return fmt::format("c{:x}:40,{}{:x}:700", number % commonParts, isDeadly ? std::string(deadlyPart) + ":300," : "", 0x1000 + number);
}

/// The replica sends the head of its answer and ends, as \a end says, if the prompt has the deadly part, and answers otherwise.
inline std::string endOnDeadlyPart(const std::string &request, char end)
{
    const bool isDeadly = headerOf(request, "Prompt-Prefix").find(deadlyPart) != std::string::npos;
    return isDeadly ? streamHead(request, "s") + end : streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

class crashing_heads
{
public:
    /// \a end: restartMarker or slowRestartMarker.
    explicit crashing_heads(char end = restartMarker)
    {
        for (int number = 0; number < heads; ++number) {
            m_heads.push_back(
                std::make_unique<scripted_replica>([end](const std::string &request) { return endOnDeadlyPart(request, end); }));
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

/// Sends deadly requests among sound ones, and checks that few reach replicas once the part must be known, and that sound ones are served.
inline void checkDeadlyPart(crashing_heads &system)
{
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

} // namespace vetchpost::test
