// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/client_patience.h"

#include <catch2/catch.hpp>

#include <set>
#include <tuple>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));
constexpr duration objective(300);
constexpr duration deadline(6000);

struct waiting_client
{
    int priority = 0;
    duration arrived{};
    /// When its first attempt arrived.
    duration first{};
    int number = 0;

    bool operator<(const waiting_client &other) const
    {
        return std::tie(priority, arrived, number) < std::tie(other.priority, other.arrived, other.number);
    }
};

struct outcome
{
    int newInTime = 0;
    int newLate = 0;
    int retriesServed = 0;
    int retriesLost = 0;
};

/// Simulates replicas that start one request every 2 ms, the most urgent first, and in the order of arrival within a priority. 700 clients
/// that have waited for 0.4 to 1.6 s retry at once, and 400 new clients per second arrive for four seconds. Requests that are late are
/// served behind the others if \a areLateBehind.
outcome simulateRetries(bool areLateBehind)
{
    constexpr int retryingClients = 700;
    constexpr duration serviceTime(2);
    client_patience known;
    recordPatience(known, deadline, start);
    std::set<waiting_client> queue;
    int number = 0;
    const auto arrive = [&](duration now, duration waited) {
        const auto patience = deadline - waited;
        recordPatience(known, patience, start + now);
        const bool isLate = priorWait(known, patience) > objective;
        queue.insert({areLateBehind ? replicaPriority(1, isLate) : 1, now, now - waited, ++number});
    };
    for (int i = 0; i < retryingClients; ++i) {
        arrive(duration(0), duration(400 + i * 1200 / retryingClients));
    }
    outcome result;
    for (duration now(0); now < duration(8000); now += duration(1)) {
        if (now < duration(4000) && now.count() % 5 < 2) {
            arrive(now, duration(0));
        }
        if (now.count() % serviceTime.count() != 0 || queue.empty()) {
            continue;
        }
        const auto next = *queue.begin();
        queue.erase(queue.begin());
        const auto waited = now - next.first;
        const bool isRetry = next.number <= retryingClients;
        result.newInTime += !isRetry && waited <= objective ? 1 : 0;
        result.newLate += !isRetry && waited > objective ? 1 : 0;
        result.retriesServed += isRetry && waited < deadline ? 1 : 0;
        result.retriesLost += isRetry && waited >= deadline ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("Clients that retry after an outage are served without making new clients late")
{
    const auto inOrderOfArrival = simulateRetries(false);
    const auto lateBehind = simulateRetries(true);
    // In the order of arrival all new clients are late until the whole queue has drained.
    CHECK(inOrderOfArrival.newInTime == 0);
    CHECK(inOrderOfArrival.newLate == 1600);
    CHECK(lateBehind.newInTime == 1600);
    CHECK(lateBehind.newLate == 0);
    CHECK(lateBehind.retriesServed + lateBehind.retriesLost == 700);
    CHECK(lateBehind.retriesServed >= 560);
    CHECK(inOrderOfArrival.retriesServed == 700);
}

TEST_CASE("The time that a client has waited is estimated from the longest recent patience on its route")
{
    client_patience known;
    recordPatience(known, duration(4000), start);
    CHECK(priorWait(known, duration(4000)) == duration(0));
    recordPatience(known, duration(6000), start + duration(100));
    CHECK(priorWait(known, duration(4000)) == duration(2000));
    recordPatience(known, duration(4000), start + duration(5000));
    CHECK(priorWait(known, duration(4000)) == duration(2000));
    // No client has been as patient for longer than the memory lasts.
    recordPatience(known, duration(4000), start + duration(10200));
    CHECK(priorWait(known, duration(4000)) == duration(0));
}

TEST_CASE("A late request is one priority step less urgent, down to the lowest priority")
{
    CHECK(replicaPriority(1, false) == 1);
    CHECK(replicaPriority(1, true) == 2);
    CHECK(replicaPriority(9, true) == 9);
}
