// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/fair_queue.h"
#include "Tests/Fakes/fuzz.h"

#include <algorithm>
#include <map>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The naive version: one list, tags by the definition of start-time fair queueing, the next found by looking at all.
struct naive_queue
{
    struct entry
    {
        queued_request request;
        double start = 0;
    };

    std::vector<entry> entries;
    std::map<std::pair<int, organisation_id>, double> finish;
    std::map<int, double> virtualTime;

    void add(const queued_request &request)
    {
        auto &last = finish[{request.priority, request.organisation}];
        const auto start = std::max(last, virtualTime[request.priority]);
        last = start + request.cost / request.weight;
        entries.push_back({request, start});
    }

    std::optional<std::uint64_t> next()
    {
        if (entries.empty()) {
            return std::nullopt;
        }
        const auto before = [](const entry &left, const entry &right) {
            return std::tuple(-left.request.priority, left.start, left.request.organisation, left.request.ticket)
                < std::tuple(-right.request.priority, right.start, right.request.organisation, right.request.ticket);
        };
        const auto first = std::min_element(entries.begin(), entries.end(), before);
        const auto ticket = first->request.ticket;
        auto &time = virtualTime[first->request.priority];
        time = std::max(time, first->start);
        entries.erase(first);
        return ticket;
    }
};

queued_request requestOf(std::uint64_t ticket, int organisation, int priority, double cost)
{
    queued_request request;
    request.ticket = ticket;
    request.organisation = organisation_id("o" + std::to_string(organisation));
    request.priority = priority;
    request.weight = 1 + organisation;
    request.cost = cost;
    request.deadline = instant(duration(1000000));
    return request;
}

} // namespace

TEST_CASE("The fair queue gives the same order as its naive version", "[fuzz]")
{
    constexpr int stepsPerCase = 200;
    const auto property = [] {
        const auto plan
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(stepsPerCase, rc::gen::inRange(0, 100000)));
        fair_queue queue;
        naive_queue naive;
        std::uint64_t ticket = 0;
        for (const auto step : plan) {
            if (step % 5 < 3) {
                const auto request = requestOf(++ticket, step / 5 % 4, step / 20 % 3, 1 + step / 60 % 100);
                enqueue(queue, request);
                naive.add(request);
                continue;
            }
            const auto taken = dequeue(queue, instant(duration(1)));
            const auto expected = naive.next();
            RC_ASSERT(taken.has_value() == expected.has_value());
            // RC_ASSERT evaluates both sides of an "or": the tickets are compared outside of it.
            const bool isSame = !taken || taken->ticket == *expected;
            RC_ASSERT(isSame);
        }
    };
    checkProperty("fair queue", fuzzSteps(10000) / stepsPerCase, property);
}

TEST_CASE("Organisations that always wait get tokens in proportion to their weights")
{
    fair_queue queue;
    queue.limits.longest = 100000;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 4000; ++i) {
        // The first floods with large requests, the second asks for small ones at three times the weight.
        enqueue(queue, requestOf(++ticket, 0, 1, 100));
        enqueue(queue, requestOf(++ticket, 2, 1, 10));
    }
    std::map<organisation_id, double> served;
    for (int i = 0; i < 2000; ++i) {
        const auto taken = dequeue(queue, instant(duration(1)));
        served[taken->organisation] += taken->cost;
    }
    CHECK(served.at(organisation_id("o2")) / served.at(organisation_id("o0")) == Approx(3).epsilon(0.02));
}

TEST_CASE("An organisation is not charged for requests that expired before their turn")
{
    fair_queue queue;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 100; ++i) {
        auto doomed = requestOf(++ticket, 0, 1, 1000);
        doomed.deadline = instant(duration(10));
        enqueue(queue, doomed);
    }
    removeExpired(queue, instant(duration(20)));
    enqueue(queue, requestOf(++ticket, 1, 1, 100));
    enqueue(queue, requestOf(++ticket, 1, 1, 100));
    enqueue(queue, requestOf(++ticket, 0, 1, 1));
    const auto first = dequeue(queue, instant(duration(21)))->organisation;
    const auto second = dequeue(queue, instant(duration(22)))->organisation;
    CHECK((first == organisation_id("o0") || second == organisation_id("o0")));
}

TEST_CASE("A queue that was empty for long does not take its idle time for slowness")
{
    fair_queue queue;
    auto first = requestOf(1, 0, 1, 400);
    auto second = requestOf(2, 0, 1, 400);
    first.arrived = second.arrived = instant(duration(5000000));
    enqueue(queue, first);
    enqueue(queue, second);
    dequeue(queue, first.arrived + duration(500));
    CHECK_FALSE(expectedWait(queue, second));
    dequeue(queue, first.arrived + duration(1000));
    // 800 tokens in a second: 400 more take half a second.
    CHECK(expectedWait(queue, second) == duration(500));
}

TEST_CASE("Places are kept for the priorities above, as far as they have asked for them")
{
    fair_queue queue;
    std::uint64_t ticket = 0;
    for (int second = 1; second < 20; ++second) {
        auto high = requestOf(++ticket, 0, 5, 100);
        auto low = requestOf(++ticket, 0, 1, 900);
        high.arrived = instant(duration(second * 1000));
        low.arrived = high.arrived;
        enqueue(queue, high);
        enqueue(queue, low);
        dequeue(queue, high.arrived);
        dequeue(queue, high.arrived);
    }
    CHECK(reservedShare(queue, 5) == 0);
    CHECK(reservedShare(queue, 1) > 0.1);
    CHECK(reservedShare(queue, 1) < 0.2);
}

TEST_CASE("A higher priority always goes first, and expired requests leave the queue")
{
    fair_queue queue;
    auto low = requestOf(1, 0, 1, 1);
    low.deadline = instant(duration(50));
    enqueue(queue, low);
    enqueue(queue, requestOf(2, 0, 5, 1000));
    CHECK(dequeue(queue, instant(duration(1)))->ticket == 2);
    CHECK(removeExpired(queue, instant(duration(60))).size() == 1);
    CHECK(queue.length == 0);
}

TEST_CASE("A full queue refuses, and a request that gave up leaves its place")
{
    fair_queue queue;
    queue.limits.longest = 1;
    CHECK(enqueue(queue, requestOf(1, 0, 1, 1)));
    CHECK_FALSE(enqueue(queue, requestOf(2, 0, 1, 1)));
    CHECK(removeTicket(queue, 1));
    CHECK_FALSE(removeTicket(queue, 1));
    CHECK(enqueue(queue, requestOf(3, 0, 1, 1)));
}
