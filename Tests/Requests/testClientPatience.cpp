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
    /// When it came for the first time.
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
    int returnedServed = 0;
    int returnedLost = 0;
};

/// Places that begin a request each 2 ms, the most urgent first and of equals the one that waits longest. 700 clients who have waited for
/// 0.4 to 1.6 s come back at once, and 400 a second come new for four seconds.
outcome playReturn(bool areLateBehind)
{
    constexpr int returning = 700;
    constexpr duration each(2);
    client_patience known;
    notePatience(known, deadline, start);
    std::set<waiting_client> queue;
    int number = 0;
    const auto come = [&](duration now, duration waited) {
        const auto patience = deadline - waited;
        notePatience(known, patience, start + now);
        const bool isLate = waitedBefore(known, patience) > objective;
        queue.insert({areLateBehind ? priorityOf(1, isLate) : 1, now, now - waited, ++number});
    };
    for (int i = 0; i < returning; ++i) {
        come(duration(0), duration(400 + i * 1200 / returning));
    }
    outcome result;
    for (duration now(0); now < duration(8000); now += duration(1)) {
        if (now < duration(4000) && now.count() % 5 < 2) {
            come(now, duration(0));
        }
        if (now.count() % each.count() != 0 || queue.empty()) {
            continue;
        }
        const auto next = *queue.begin();
        queue.erase(queue.begin());
        const auto waited = now - next.first;
        const bool isReturning = next.number <= returning;
        result.newInTime += !isReturning && waited <= objective ? 1 : 0;
        result.newLate += !isReturning && waited > objective ? 1 : 0;
        result.returnedServed += isReturning && waited < deadline ? 1 : 0;
        result.returnedLost += isReturning && waited >= deadline ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("Clients who come back after an outage are served, and make nobody late who comes new")
{
    const auto firstCome = playReturn(false);
    const auto behind = playReturn(true);
    // Before: everybody new is late until the whole queue has gone.
    CHECK(firstCome.newInTime == 0);
    CHECK(firstCome.newLate == 1600);
    CHECK(behind.newInTime == 1600);
    CHECK(behind.newLate == 0);
    CHECK(behind.returnedServed + behind.returnedLost == 700);
    CHECK(behind.returnedServed >= 560);
    CHECK(firstCome.returnedServed == 700);
}

TEST_CASE("What clients have waited is told from what the most patient of their route brought lately")
{
    client_patience known;
    notePatience(known, duration(4000), start);
    CHECK(waitedBefore(known, duration(4000)) == duration(0));
    notePatience(known, duration(6000), start + duration(100));
    CHECK(waitedBefore(known, duration(4000)) == duration(2000));
    notePatience(known, duration(4000), start + duration(5000));
    CHECK(waitedBefore(known, duration(4000)) == duration(2000));
    // Nobody is so patient any more.
    notePatience(known, duration(4000), start + duration(10200));
    CHECK(waitedBefore(known, duration(4000)) == duration(0));
}

TEST_CASE("A late request goes one step behind its like, and never behind the last")
{
    CHECK(priorityOf(1, false) == 1);
    CHECK(priorityOf(1, true) == 2);
    CHECK(priorityOf(9, true) == 9);
}
