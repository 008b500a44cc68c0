// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/fair_queue.h"
#include "Tests/Fakes/fuzz.h"

#include <algorithm>
#include <map>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// A reference implementation: one list, tags by the definition of start-time fair queueing, and a linear search for the next request.
struct reference_queue
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

TEST_CASE("The fair queue serves requests in the same order as the reference implementation", "[fuzz]")
{
    constexpr int stepsPerCase = 200;
    const auto property = [] {
        const auto plan
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(stepsPerCase, rc::gen::inRange(0, 100000)));
        fair_queue queue;
        reference_queue reference;
        std::uint64_t ticket = 0;
        for (const auto step : plan) {
            if (step % 5 < 3) {
                const auto request = requestOf(++ticket, step / 5 % 4, step / 20 % 3, 1 + step / 60 % 100);
                enqueue(queue, request);
                reference.add(request);
                continue;
            }
            const auto taken = dequeue(queue, instant(duration(1)));
            const auto expected = reference.next();
            RC_ASSERT(taken.has_value() == expected.has_value());
            // RC_ASSERT evaluates both operands of ||, so the tickets are compared outside of it.
            const bool isSame = !taken || taken->ticket == *expected;
            RC_ASSERT(isSame);
        }
    };
    checkProperty("fair queue", fuzzSteps(10000) / stepsPerCase, property);
}

TEST_CASE("Organisations with constant demand get tokens in proportion to their weights")
{
    fair_queue queue;
    queue.limits.maxLength = 100000;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 4000; ++i) {
        // The first organisation sends large requests, the second small ones with three times the weight.
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

TEST_CASE("An organisation is not charged for requests that expired while they waited")
{
    fair_queue queue;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 100; ++i) {
        auto expiring = requestOf(++ticket, 0, 1, 1000);
        expiring.deadline = instant(duration(10));
        enqueue(queue, expiring);
    }
    removeExpired(queue, instant(duration(20)));
    enqueue(queue, requestOf(++ticket, 1, 1, 100));
    enqueue(queue, requestOf(++ticket, 1, 1, 100));
    enqueue(queue, requestOf(++ticket, 0, 1, 1));
    const auto first = dequeue(queue, instant(duration(21)))->organisation;
    const auto second = dequeue(queue, instant(duration(22)))->organisation;
    CHECK((first == organisation_id("o0") || second == organisation_id("o0")));
}

TEST_CASE("The idle time of an empty queue does not reduce the measured rate")
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

TEST_CASE("Slots are reserved for higher priorities in proportion to their demand")
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

TEST_CASE("A higher priority is always served first, and expired requests are removed")
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

TEST_CASE("A full queue refuses requests, and a cancelled request frees its entry")
{
    fair_queue queue;
    queue.limits.maxLength = 1;
    CHECK(enqueue(queue, requestOf(1, 0, 1, 1)));
    CHECK_FALSE(enqueue(queue, requestOf(2, 0, 1, 1)));
    CHECK(removeTicket(queue, 1));
    CHECK_FALSE(removeTicket(queue, 1));
    CHECK(enqueue(queue, requestOf(3, 0, 1, 1)));
}
