// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"
#include "Libraries/Requests/limit_split.h"
#include "Libraries/Requests/replica_limit.h"
#include "Libraries/Requests/router.h"
#include "Tests/Fakes/fuzz.h"

#include <algorithm>
#include <numeric>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

std::vector<replica_load> replicasOf(const std::vector<int> &loads)
{
    std::vector<replica_load> replicas;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        replica_load replica;
        replica.reported = loads[i];
        replica.inFlight = loads[i] / 2;
        replica.limit = 40;
        replicas.push_back(replica);
    }
    return replicas;
}

std::optional<std::size_t> choose(const std::vector<replica_load> &replicas, std::uint64_t prefix, std::mt19937_64 &random)
{
    std::vector<std::uint64_t> places;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        places.push_back(hashOf("group" + std::to_string(i)));
    }
    std::sort(places.begin(), places.end());
    return chooseReplica({places, [&](std::size_t place) { return replicas[place]; }}, prefix, {}, random);
}

} // namespace

TEST_CASE("A choice is never excluded or full, and there is one whenever the naive search finds one", "[fuzz]")
{
    const auto property = [] {
        const auto loads = *rc::gen::resize(40, rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))));
        const auto excluded = *rc::gen::inRange<std::uint64_t>(0, 1U << 20U);
        const auto prefix = *rc::gen::arbitrary<std::uint64_t>();
        auto replicas = replicasOf(loads);
        bool hasAny = false;
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].isExcluded = (excluded >> (i % 20U) & 1U) != 0;
            hasAny = hasAny || (!replicas[i].isExcluded && replicas[i].inFlight < replicas[i].limit);
        }
        std::mt19937_64 random(7);
        const auto chosen = choose(replicas, prefix, random);
        RC_ASSERT(chosen.has_value() == hasAny);
        // RC_ASSERT evaluates both sides of an "or": the choice is looked at outside of it.
        const bool isGood = !chosen || (!replicas[*chosen].isExcluded && replicas[*chosen].inFlight < replicas[*chosen].limit);
        RC_ASSERT(isGood);
    };
    checkProperty("router", 300, property);
}

TEST_CASE("A prefix goes to the same replica until that one has too much work")
{
    auto replicas = replicasOf(std::vector<int>(20, 4));
    std::mt19937_64 random(7);
    const auto first = choose(replicas, 42, random);
    CHECK(choose(replicas, 42, random) == first);
    replicas[*first].reported = 30;
    CHECK(choose(replicas, 42, random) != first);
}

TEST_CASE("A slow replica gets less than its share of new work")
{
    auto replicas = replicasOf(std::vector<int>(10, 2));
    for (auto &replica : replicas) {
        replica.firstTokenMilliseconds = 100;
    }
    replicas[3].firstTokenMilliseconds = 500;
    std::mt19937_64 random(7);
    int toSlow = 0;
    for (int i = 0; i < 1000; ++i) {
        toSlow += choose(replicas, 0, random) == std::size_t(3) ? 1 : 0;
    }
    // Only where both random choices fall on it: one in a hundred.
    CHECK(toSlow < 30);
}

TEST_CASE("A replica's limit falls with slow first tokens and rises only while it is used")
{
    replica_limit limit;
    const auto start = limit.value;
    noteFirstToken(limit, duration(100), 1, instant(duration(5000)));
    CHECK(limit.value == start);
    noteFirstToken(limit, duration(100), 16, instant(duration(5000)));
    CHECK(limit.value > start);
    noteFirstToken(limit, duration(900), 8, instant(duration(6000)));
    const auto lowered = limit.value;
    CHECK(lowered < start);
    noteReport(limit, {8, 0, 1, 8}, instant(duration(9000)));
    CHECK(limit.value == lowered);
    // The answers to the same burst of work lower it once.
    noteFirstToken(limit, duration(900), 8, instant(duration(6100)));
    CHECK(limit.value == lowered);
}

TEST_CASE("What queues at a replica is taken back, each daemon its part")
{
    replica_limit limit;
    noteReport(limit, {20, 4, 0.5, 10}, instant(duration(5000)));
    CHECK(limit.value == 14);
    // The same queue in the next reports does not take it below what runs there.
    for (int second = 7; second < 20; ++second) {
        noteReport(limit, {20, 4, 0.5, 10}, instant(duration(second * 1000)));
    }
    CHECK(limit.value == 10);
}

TEST_CASE("A limit that long streams fill rises while nothing queues at the replica")
{
    replica_limit limit;
    noteFirstToken(limit, duration(900), 16, instant(duration(1000)));
    const auto lowered = limit.value;
    noteReport(limit, {13, 0, 1, 2}, instant(duration(2000)));
    CHECK(limit.value == lowered);
    for (int second = 3; second < 33; ++second) {
        const auto used = static_cast<int>(limit.value + 1);
        noteReport(limit, {used, 0, 1, used}, instant(duration(second * 1000)));
    }
    CHECK(limit.value > 10 * lowered);
}

TEST_CASE("The parts of a split limit add up to it under every rule", "[fuzz]")
{
    const auto property = [] {
        const auto asked = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
        std::vector<daemon_demand> demands;
        demands.reserve(asked.size());
        for (const auto demand : asked) {
            demands.push_back({static_cast<double>(demand), 1.0 + demand % 3});
        }
        for (const auto rule : {limit_split::equal, limit_split::by_demand, limit_split::weighted}) {
            const auto parts = splitLimit(1000, demands, rule);
            RC_ASSERT(std::abs(std::accumulate(parts.begin(), parts.end(), 0.0) - 1000) < 1e-6);
        }
    };
    checkProperty("limit split", 200, property);
}

TEST_CASE("A token bucket lets its rate through and no more")
{
    token_bucket bucket;
    bucket.rate = 100;
    int through = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        through += takeTokens(bucket, 10, millisecond) ? 10 : 0;
    }
    CHECK(through <= 1000 + 100 + 10);
    CHECK(through >= 900);
}
