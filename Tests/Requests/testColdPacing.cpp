// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/cold_pacing.h"
#include "Libraries/Requests/replica_block.h"
#include "Libraries/Requests/replica_notice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace vetchpost;

namespace {

constexpr cold_bound platformBound{1.5, 5};
constexpr double coldPerSecond = 23;
constexpr double mostInOneSecond = 39.5;
constexpr duration coldTime(3000);
const instant start(std::chrono::hours(1));

replica_key replica(int number, std::uint64_t incarnation = 1)
{
    return {instance_id("i-" + std::to_string(number)), replica_incarnation(incarnation)};
}

/// The pacing of a daemon that has known the number of daemons for long; nothing if it does not know any.
cold_pacing makePacing(std::optional<int> daemons, double share = 1)
{
    cold_pacing pacing{platformBound, share, {}, {}};
    recordDaemons(pacing.daemons, daemons, start - std::chrono::minutes(1));
    return pacing;
}

/// Daemons whose demand is so high that each sends whenever its pacing allows it: the worst case for the bound.
struct saturated_run
{
    std::vector<std::optional<int>> knownDaemons;
    int replicas = 1;
    duration coldTime = vetchpost::duration(3000);
    double share = 1;
    /// The entry arrives at each daemon within this time.
    duration entryDelay{100};

    /// Returns the highest number of requests to one replica in any second.
    int highestSum(std::uint32_t seed) const
    {
        std::mt19937_64 random(seed);
        int highest = 0;
        for (int number = 0; number < replicas; ++number) {
            std::vector<instant> sent;
            for (const auto &known : knownDaemons) {
                auto pacing = makePacing(known, share);
                const auto learned = start + duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(entryDelay.count())));
                applyEntry(pacing, {replica(number), learned + coldTime, coldPerSecond}, random(), learned);
                for (auto now = learned; now < learned + coldTime; now = pacing.replicas.at(replica(number)).nextSend) {
                    if (takeSend(pacing, replica(number), now)) {
                        sent.push_back(now);
                    }
                }
            }
            std::sort(sent.begin(), sent.end());
            std::deque<instant> second;
            for (const auto at : sent) {
                second.push_back(at);
                while (at - second.front() >= std::chrono::seconds(1)) {
                    second.pop_front();
                }
                highest = std::max(highest, static_cast<int>(second.size()));
            }
        }
        return highest;
    }
};

std::vector<std::optional<int>> all(int daemons, std::optional<int> known)
{
    return std::vector<std::optional<int>>(static_cast<std::size_t>(daemons), known);
}

} // namespace

// Guards against a sum over all daemons above the platform's bound while a whole data centre of replicas returns at once.
TEST_CASE("The requests of all daemons to a cold replica stay within the bound")
{
    // Heads of a third of the replicas: 54 of 162, and 467 of 1,400 at the target size.
    const auto [daemons, replicas] = GENERATE(std::pair(8, 54), std::pair(74, 54), std::pair(350, 467));
    int highest = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        highest = std::max(highest, saturated_run{all(daemons, daemons), replicas}.highestSum(seed));
    }
    WARN(daemons << " daemons, " << replicas << " cold replicas: highest sum in a second " << highest << ", used part of the bound "
                 << highest / mostInOneSecond);
    CHECK(highest <= mostInOneSecond);
}

// Guards against a bound that holds only for the length of one cold time.
TEST_CASE("The bound holds for replicas that stay cold")
{
    const auto daemons = GENERATE(8, 74, 350);
    const auto highest = saturated_run{all(daemons, daemons), 10, std::chrono::seconds(60)}.highestSum(7);
    CHECK(highest <= mostInOneSecond);
}

// Guards against daemons that assume too few others, or do not know their number.
TEST_CASE("The bound holds when some daemons have a wrong number of daemons")
{
    auto known = all(74, 74);
    std::fill_n(known.begin(), 10, 37);
    std::fill_n(known.begin() + 10, 10, std::nullopt);
    std::fill_n(known.begin() + 20, 10, 350);
    const auto highest = saturated_run{known, 54}.highestSum(3);
    WARN("10 of 74 daemons assume 37, 10 none, 10 350: highest sum in a second " << highest);
    CHECK(highest <= mostInOneSecond);
}

// Guards against a rate derived from a source that was partitioned from most daemons or has just started.
TEST_CASE("The largest reported number of daemons counts, and none before it has settled")
{
    daemon_count count;
    CHECK(pacingDaemons(count, start) == assumedColdDaemons);
    recordDaemons(count, 1, start);
    CHECK(pacingDaemons(count, start + duration(9999)) == assumedColdDaemons);
    recordDaemons(count, 74, start + duration(5000));
    CHECK(pacingDaemons(count, start + daemonCountSettleTime) == 74);
    recordDaemons(count, 2, start + std::chrono::minutes(5));
    recordDaemons(count, std::nullopt, start + std::chrono::minutes(5));
    recordDaemons(count, -3, start + std::chrono::minutes(5));
    CHECK(pacingDaemons(count, start + std::chrono::minutes(5)) == 74);
}

// Guards against pacing and slot dispatch that together exceed the rate.
TEST_CASE("A share of the rate lengthens the interval in proportion")
{
    const auto whole = pacedRate(coldPerSecond, platformBound, 74, 1);
    CHECK(whole < coldPerSecond);
    CHECK(pacedRate(coldPerSecond, platformBound, 74, 0.5) == Approx(whole / 2));
    // Few daemons cannot exceed the bound by chance, and use the whole rate.
    CHECK(pacedRate(coldPerSecond, platformBound, 8, 1) == coldPerSecond);
    CHECK(pacingInterval(23, 8) == duration(348));
    CHECK(pacingInterval(0, 350) == pacingInterval(0.01, 350));
}

// Guards against a cold time that ends before the replica's does.
TEST_CASE("A newer entry replaces the end of the cold time, a header only extends it")
{
    auto pacing = makePacing(74);
    CHECK(applyEntry(pacing, {replica(1), start + coldTime, coldPerSecond}, 5, start));
    CHECK_FALSE(applyEntry(pacing, {replica(1), start + duration(4000), coldPerSecond}, 6, start));
    CHECK_FALSE(applyHeader(pacing, {replica(1), start + duration(2000), coldPerSecond}, 7, start));
    CHECK(pacing.replicas.at(replica(1)).coldUntil() == start + duration(4000));
    CHECK_FALSE(applyEntry(pacing, {replica(1), instant(), coldPerSecond}, 8, start));
    CHECK(pacing.replicas.at(replica(1)).coldUntil() == start + duration(2000));
    CHECK_FALSE(applyHeader(pacing, {replica(1), start + duration(1), coldPerSecond}, 9, start));
    CHECK(pacing.replicas.at(replica(1)).coldUntil() == start + duration(2000));
    // A huge header must not exclude a replica for good.
    CHECK_FALSE(applyHeader(pacing, {replica(1), start + std::chrono::hours(1000), coldPerSecond}, 9, start));
    CHECK(pacing.replicas.at(replica(1)).coldUntil() == start + maxHeaderColdTime);
}

// Guards against state of an earlier incarnation that is applied to a restarted replica.
TEST_CASE("Another incarnation under the same id begins with new state")
{
    auto pacing = makePacing(74);
    applyEntry(pacing, {replica(1, 1), start + coldTime, coldPerSecond}, 0, start);
    CHECK(takeSend(pacing, replica(1, 1), start));
    CHECK_FALSE(takeSend(pacing, replica(1, 1), start + duration(1)));
    CHECK_FALSE(coldBlockUntil(pacing, replica(1, 2), start));
    CHECK(applyEntry(pacing, {replica(1, 2), start + coldTime, coldPerSecond}, 1500, start));
    CHECK(coldBlockUntil(pacing, replica(1, 2), start) == start + duration(1500));
}

// Guards against a replica that stays excluded, or is sent a burst, after the machine was suspended.
TEST_CASE("A suspension counts towards the cold time and gives no requests in arrears")
{
    auto pacing = makePacing(74);
    applyEntry(pacing, {replica(1), start + std::chrono::minutes(10), coldPerSecond}, 0, start);
    const auto resumed = start + std::chrono::minutes(5);
    CHECK(takeSend(pacing, replica(1), resumed));
    CHECK_FALSE(takeSend(pacing, replica(1), resumed));
    CHECK(takeSend(pacing, replica(1), start + std::chrono::minutes(10)));
    CHECK(takeSend(pacing, replica(1), start + std::chrono::minutes(10)));
    CHECK(removeWarm(pacing, start + std::chrono::minutes(10)) == std::vector{replica(1)});
    CHECK(pacing.replicas.empty());
}

// Guards against several requests that wait for the same turn, and against waits for a turn that comes too late.
TEST_CASE("Each waiting request reserves its own turn, the earliest of all replicas")
{
    auto pacing = makePacing(74);
    applyEntry(pacing, {replica(1), start + coldTime, coldPerSecond}, 200, start);
    applyEntry(pacing, {replica(2), start + coldTime, coldPerSecond}, 100, start);
    const auto until = start + duration(250);
    const std::vector both{replica(1), replica(2)};
    const auto first = reserveSend(pacing, both, start, until);
    const auto second = reserveSend(pacing, both, start, until);
    REQUIRE((first && second));
    CHECK(first->replica == replica(2));
    CHECK(first->at == start + duration(100));
    CHECK(second->replica == replica(1));
    CHECK_FALSE(reserveSend(pacing, both, start, until));
    CHECK_FALSE(takeSend(pacing, replica(2), start + duration(100)));
    // The refusal's time is the end of the cold time, as the next turns are later.
    CHECK(blockOf(pacing, replica(1), start).until == start + coldTime);
    CHECK(blockOf(pacing, replica(1), start).cause == block_cause::cold);
}

// Guards against a service without a cold rate whose replicas are paced.
TEST_CASE("Replicas of a service without a cold rate are never cold")
{
    auto pacing = makePacing(74);
    CHECK_FALSE(applyEntry(pacing, {replica(1), start + coldTime, 0}, 0, start));
    CHECK_FALSE(applyHeader(pacing, {replica(1), start + coldTime, -1}, 0, start));
    CHECK(pacing.replicas.empty());
    CHECK(takeSend(pacing, replica(1), start));
    // The configuration may take the rate away while a replica is cold.
    applyEntry(pacing, {replica(1), start + coldTime, coldPerSecond}, 1, start);
    CHECK_FALSE(applyEntry(pacing, {replica(1), start + coldTime, 0}, 1, start));
    CHECK(pacing.replicas.empty());
}

// Guards against a header that is ignored because one of its copies is invalid, and against invalid ones that are not reported.
TEST_CASE("Remaining cold times in headers are read, and invalid ones are reported")
{
    CHECK(parseColdTimes({}).unreadable.empty());
    CHECK_FALSE(parseColdTimes({}).left);
    CHECK(parseColdTimes({"1500"}).left == duration(1500));
    CHECK(parseColdTimes({"1500"}).unreadable.empty());
    CHECK(parseColdTimes({"1500", "2500"}).left == duration(2500));
    CHECK(parseColdTimes({"1500", "2500"}).unreadable == "1500, 2500");
    CHECK(parseColdTimes({"no", "300"}).left == duration(300));
    for (const auto *invalid : {"-1", "99999999999999999999", "soon", "1.5", "", " 7"}) {
        CHECK_FALSE(parseColdTimes({invalid}).left);
        CHECK_FALSE(parseColdTimes({invalid}).unreadable.empty());
    }
}
