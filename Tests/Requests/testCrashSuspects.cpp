// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/recent_answers.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <iostream>
#include <random>

using namespace vetchpost;

namespace {

const instant start(duration(5000000));
const organisation_id organisation("o");
const request_identity deadly("deadly");
const request_identity harmless("harmless");

replica_end replica(std::uint64_t number)
{
    return replicaEndOf("i-" + std::to_string(number), 0);
}

void recordReplicaEnds(crash_suspects &table, const request_identity &request, std::initializer_list<std::uint64_t> replicas)
{
    for (const auto number : replicas) {
        recordReplicaEnd(table, request, organisation, replica(number), start);
    }
}

} // namespace

TEST_CASE("A request is refused once three replicas have terminated while it was there, for ten minutes after the last")
{
    crash_suspects table;
    recordReplicaEnds(table, deadly, {1, 2});
    CHECK_FALSE(isRefused(table, deadly, start));
    recordReplicaEnds(table, deadly, {2});
    CHECK_FALSE(isRefused(table, deadly, start));
    recordReplicaEnds(table, deadly, {3});
    CHECK(refusedFor(table, deadly, start) == refusalTime);
    CHECK(isRefused(table, deadly, start + refusalTime - duration(1)));
    CHECK_FALSE(isRefused(table, deadly, start + refusalTime));
    recordReplicaEnd(table, deadly, organisation, replica(4), start + refusalTime);
    CHECK(isRefused(table, deadly, start + refusalTime));
}

TEST_CASE("Terminations of two incarnations of a replica have different ids")
{
    CHECK(replicaEndOf("i-1", 1) != replicaEndOf("i-1", 2));
    CHECK(replicaEndOf("i-1", 1) == replicaEndOf("i-1", 1));
}

TEST_CASE("A completely answered request is cleared, and an older report does not make it a suspect again")
{
    crash_suspects table;
    recordReplicaEnds(table, harmless, {1, 2, 3});
    const auto older = makeReport(harmless, table.suspects.at(harmless), start);
    CHECK(clearSuspect(table, harmless));
    CHECK_FALSE(isRefused(table, harmless, start));
    CHECK_FALSE(clearSuspect(table, harmless));
    CHECK_FALSE(mergeReport(table, older, start));
    CHECK_FALSE(isRefused(table, harmless, start));
    CHECK_FALSE(clearSuspect(table, request_identity("never seen")));
}

TEST_CASE("Terminations that a refused request explains do not count against requests that ran beside it")
{
    crash_suspects table;
    recordReplicaEnds(table, deadly, {1, 2, 3});
    recordReplicaEnds(table, harmless, {1, 2, 9});
    CHECK(isRefused(table, deadly, start));
    CHECK_FALSE(isRefused(table, harmless, start));
}

TEST_CASE("If a request that ran beside the cause shares all of its terminations, the next termination separates them")
{
    crash_suspects table;
    recordReplicaEnds(table, deadly, {1, 2, 3});
    recordReplicaEnds(table, harmless, {1, 2, 3});
    CHECK(isRefused(table, deadly, start) != isRefused(table, harmless, start));
    recordReplicaEnds(table, deadly, {4});
    CHECK(isRefused(table, deadly, start));
    CHECK_FALSE(isRefused(table, harmless, start));
}

TEST_CASE("Terminations that three daemons have each seen once are merged")
{
    crash_suspects local;
    recordReplicaEnds(local, deadly, {1});
    for (const std::uint64_t number : {2, 3}) {
        crash_suspects remote;
        recordReplicaEnds(remote, deadly, {number});
        CHECK(mergeReport(local, makeReport(deadly, remote.suspects.at(deadly), start), start));
    }
    CHECK(isRefused(local, deadly, start));
    CHECK_FALSE(mergeReport(local, makeReport(deadly, local.suspects.at(deadly), start), start));
}

TEST_CASE("The table is bounded, and a client with many crashing requests displaces only its own")
{
    crash_suspects table;
    const organisation_id flooding("flooding");
    recordReplicaEnds(table, deadly, {1, 2, 3});
    for (std::size_t number = 0; number < 3 * maxSuspects; ++number) {
        recordReplicaEnd(table, request_identity("r" + std::to_string(number)), flooding, replica(number), start);
    }
    CHECK(table.suspects.size() == maxSuspects);
    CHECK(table.evicted == 2 * maxSuspects + 1);
    CHECK(isRefused(table, deadly, start));
    // The oldest of those with as few terminations is evicted first.
    recordReplicaEnd(table, request_identity("newest"), flooding, replica(1), start + duration(1));
    CHECK(table.suspects.contains(request_identity("newest")));
}

TEST_CASE("A suspect without a new termination for an hour is removed")
{
    crash_suspects table;
    recordReplicaEnds(table, deadly, {1, 2, 3});
    expireEntries(table, start + suspectLifetime - duration(1));
    CHECK(table.suspects.size() == 1);
    expireEntries(table, start + suspectLifetime);
    CHECK(table.suspects.empty());
    CHECK(table.refused.empty());
}

TEST_CASE("An answer clears a request once, within half a minute, and the newest answers are remembered")
{
    recent_answers answers;
    recordAnswer(answers, harmless, start);
    CHECK(consumeAnswer(answers, harmless, start + recentAnswerLifetime - duration(1)));
    CHECK_FALSE(consumeAnswer(answers, harmless, start));
    recordAnswer(answers, harmless, start);
    CHECK_FALSE(consumeAnswer(answers, harmless, start + recentAnswerLifetime));
    recordAnswer(answers, harmless, start);
    recordAnswer(answers, request_identity("twice"), start);
    recordAnswer(answers, request_identity("twice"), start + duration(1));
    for (std::size_t number = 0; number < maxRecentAnswers - 1; ++number) {
        recordAnswer(answers, request_identity("r" + std::to_string(number)), start + duration(2));
    }
    CHECK(answers.times.size() == maxRecentAnswers);
    CHECK_FALSE(consumeAnswer(answers, harmless, start + duration(2)));
    CHECK(consumeAnswer(answers, request_identity("twice"), start + duration(2)));
}

namespace {

/// Simulates requests at a hundred replicas, some of which terminate at random. One request may crash every replica that runs it. All
/// requests are retried at another replica.
class crash_simulation
{
public:
    explicit crash_simulation(unsigned seed)
        : m_random(seed)
    {
    }

    /// Terminates \a count random replicas with 26 requests each. Each of the requests is retried at another replica, at most twice, and
    /// then answered.
    void terminateAtRandom(int count)
    {
        for (int terminated = 0; terminated < count; ++terminated) {
            terminate(randomReplica());
        }
        answerSome();
    }

    /// Sends the crashing request to up to \a sends replicas while it is not refused. Returns how many replicas it crashes.
    int sendDeadly(int sends)
    {
        int terminated = 0;
        for (int number = 0; number < sends; ++number) {
            const auto index = randomReplica();
            if (isRefused(m_table, deadly, start)) {
                continue;
            }
            recordReplicaEnd(m_table, deadly, organisation, currentEndAt(index), start);
            terminate(index);
            ++terminated;
            answerSome();
        }
        return terminated;
    }

    int wronglyRefused() const
    {
        return m_wronglyRefused;
    }

    int requests() const
    {
        return m_requests;
    }

private:
    static constexpr int replicas = 100;
    static constexpr int requestsPerReplica = 26;
    static constexpr int maxRetries = 2;

    struct retried_request
    {
        request_identity request;
        int retries = 0;
    };

    int randomReplica()
    {
        return static_cast<int>(m_random() % replicas);
    }

    replica_end currentEndAt(int index)
    {
        return replicaEndOf(fmt::format("i-{}", index), m_incarnations[index]);
    }

    void terminate(int index)
    {
        const auto currentEnd = currentEndAt(index);
        auto affected = std::move(m_requestsAt[index]);
        m_requestsAt[index].clear();
        while (affected.size() < requestsPerReplica) {
            affected.push_back({request_identity(fmt::format("r{}", ++m_requests)), 0});
        }
        ++m_incarnations[index];
        for (auto &request : affected) {
            recordReplicaEnd(m_table, request.request, organisation, currentEnd, start);
            if (isRefused(m_table, request.request, start)) {
                ++m_wronglyRefused;
            } else if (++request.retries <= maxRetries) {
                m_requestsAt[randomReplica()].push_back(request);
            }
        }
    }

    /// Answers a random half of the retried requests; the other half continues to run beside later ones.
    void answerSome()
    {
        for (auto &[index, affected] : m_requestsAt) {
            std::vector<retried_request> unanswered;
            for (const auto &request : affected) {
                if (m_random() % 2 == 0) {
                    unanswered.push_back(request);
                } else {
                    clearSuspect(m_table, request.request);
                }
            }
            affected = std::move(unanswered);
        }
    }

    std::mt19937 m_random;
    crash_suspects m_table;
    std::map<int, std::vector<retried_request>> m_requestsAt;
    std::map<int, std::uint64_t> m_incarnations;
    int m_requests = 0;
    int m_wronglyRefused = 0;
};

} // namespace

TEST_CASE("Hardly any request is refused for running beside random terminations or beside a request that crashes replicas")
{
    int requests = 0;
    int wrong = 0;
    int terminated = 0;
    constexpr int runs = 40;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        crash_simulation simulation(seed);
        simulation.terminateAtRandom(15);
        terminated += simulation.sendDeadly(20);
        simulation.terminateAtRandom(15);
        requests += simulation.requests();
        wrong += simulation.wronglyRefused();
    }
    std::cout << runs << " runs with 30 random terminations each: " << requests << " requests lost a replica, " << wrong
              << " of them refused wrongly; replicas crashed by the crashing request: " << terminated << "\n";
    CHECK(wrong * 250 <= requests);
    CHECK(terminated <= runs * 4);
}
