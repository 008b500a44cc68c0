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
    std::vector<std::uint64_t> ringPositions;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        ringPositions.push_back(hashOf("group" + std::to_string(i)));
    }
    std::sort(ringPositions.begin(), ringPositions.end());
    return chooseReplica({ringPositions, [&](std::size_t index) { return replicas[index]; }}, prefix, {}, random);
}

} // namespace

TEST_CASE("A chosen replica is never excluded or full, and one is found whenever a linear search finds one", "[fuzz]")
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
        // RC_ASSERT evaluates both operands of ||, so the choice is checked outside of it.
        const bool isValid = !chosen || (!replicas[*chosen].isExcluded && replicas[*chosen].inFlight < replicas[*chosen].limit);
        RC_ASSERT(isValid);
    };
    checkProperty("router", 300, property);
}

TEST_CASE("A prefix is sent to the same replica until that replica is overloaded")
{
    auto replicas = replicasOf(std::vector<int>(20, 4));
    std::mt19937_64 random(7);
    const auto first = choose(replicas, 42, random);
    CHECK(choose(replicas, 42, random) == first);
    replicas[*first].reported = 30;
    CHECK(choose(replicas, 42, random) != first);
}

TEST_CASE("A slow replica gets less than its share of new requests")
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
    // It is chosen only if both random choices are this replica, which happens once in a hundred times.
    CHECK(toSlow < 30);
}

TEST_CASE("A replica's limit falls with slow first tokens and rises only while it is used up")
{
    replica_limit limit;
    const auto start = limit.value;
    recordFirstToken(limit, duration(100), 1, instant(duration(5000)));
    CHECK(limit.value == start);
    recordFirstToken(limit, duration(100), 16, instant(duration(5000)));
    CHECK(limit.value > start);
    recordFirstToken(limit, duration(900), 8, instant(duration(6000)));
    const auto lowered = limit.value;
    CHECK(lowered < start);
    applyReport(limit, {8, 0, 1, 8}, instant(duration(9000)));
    CHECK(limit.value == lowered);
    // The answers to one burst of work decrease it once.
    recordFirstToken(limit, duration(900), 8, instant(duration(6100)));
    CHECK(limit.value == lowered);
}

TEST_CASE("The limit falls by this daemon's share of the requests queued at the replica")
{
    replica_limit limit;
    applyReport(limit, {20, 4, 0.5, 10}, instant(duration(5000)));
    CHECK(limit.value == 14);
    // The same queue in later reports does not decrease it below the running requests.
    for (int second = 7; second < 20; ++second) {
        applyReport(limit, {20, 4, 0.5, 10}, instant(duration(second * 1000)));
    }
    CHECK(limit.value == 10);
}

TEST_CASE("A limit that is used up by long streams rises while nothing is queued at the replica")
{
    replica_limit limit;
    recordFirstToken(limit, duration(900), 16, instant(duration(1000)));
    const auto lowered = limit.value;
    applyReport(limit, {13, 0, 1, 2}, instant(duration(2000)));
    CHECK(limit.value == lowered);
    for (int second = 3; second < 33; ++second) {
        const auto used = static_cast<int>(limit.value + 1);
        applyReport(limit, {used, 0, 1, used}, instant(duration(second * 1000)));
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

TEST_CASE("A token bucket admits its rate and no more")
{
    token_bucket bucket;
    bucket.rate = 100;
    int admitted = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        admitted += consumeTokens(bucket, 10, millisecond) ? 10 : 0;
    }
    CHECK(admitted <= 1000 + 100 + 10);
    CHECK(admitted >= 900);
}
