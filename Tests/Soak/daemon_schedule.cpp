// SPDX-License-Identifier: Apache-2.0
// The plans of what happens to many daemons, or many replicas, together.
#include "Tests/Soak/schedule_draw.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <numeric>

namespace vetchpost::test {

std::vector<planned_fault> planHerdKills(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr duration minDowntime(300);
    constexpr duration maxDowntime(2000);
    constexpr std::uint64_t herdSeedMask = 0xd6e8feb86659fd93ULL;
    deterministic_random randomNumbers(seed ^ herdSeedMask);
    std::vector<planned_fault> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        const auto at = initialQuietTime + time * number + randomNumbers.between(time / 2, time);
        for (int daemon = 0; daemon < size.daemons; ++daemon) {
            plan.push_back({at, randomNumbers.between(minDowntime, maxDowntime), fault_kind::kill_daemon, daemon});
        }
    }
    return plan;
}

std::vector<planned_fault> planRolls(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr duration minDowntime(100);
    constexpr duration maxDowntime(800);
    constexpr duration maxGap(900);
    constexpr std::uint64_t rollSeedMask = 0xff51afd7ed558ccdULL;
    deterministic_random randomNumbers(seed ^ rollSeedMask);
    std::vector<planned_fault> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        auto at = initialQuietTime + time * number;
        for (int daemon = 0; daemon < size.daemons; ++daemon) {
            plan.push_back({at, randomNumbers.between(minDowntime, maxDowntime), fault_kind::stop_daemon, daemon});
            at += randomNumbers.between(duration(0), maxGap);
        }
    }
    return plan;
}

std::vector<planned_standstill> planStandstills(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr duration minLength(1000);
    constexpr duration maxLength(10000);
    constexpr std::uint64_t standstillSeedMask = 0xc4ceb9fe1a85ec53ULL;
    deterministic_random randomNumbers(seed ^ standstillSeedMask);
    std::vector<planned_standstill> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        planned_standstill standstill;
        standstill.at = initialQuietTime + time * number + randomNumbers.between(duration(0), time / 4);
        standstill.lasts = std::min(randomNumbers.between(minLength, maxLength), size.length - recoveryLength - standstill.at);
        for (int replica = 0; replica < size.replicas + size.plainReplicas; ++replica) {
            if (randomNumbers.below(2) == 0) {
                standstill.replicas.push_back(replica);
            }
        }
        plan.push_back(standstill);
    }
    return plan;
}

std::string describe(const planned_standstill &standstill)
{
    return fmt::format("{:>7} ms  replicas {} stand still for {} ms",
                       standstill.at.count(),
                       fmt::join(standstill.replicas, ","),
                       standstill.lasts.count());
}

std::vector<planned_cut> planCuts(std::uint64_t seed, const schedule_size &size, int count)
{
    // A daemon counts as present for five seconds after its last datagram.
    constexpr duration minUntilRestart(5500);
    constexpr duration maxUntilRestart(9000);
    constexpr duration minDowntime(100);
    constexpr duration maxDowntime(800);
    constexpr std::uint64_t cutSeedMask = 0x94d049bb133111ebULL;
    deterministic_random randomNumbers(seed ^ cutSeedMask);
    std::vector<planned_cut> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        planned_cut cut;
        cut.at = initialQuietTime + time * number + randomNumbers.between(duration(0), time / 8);
        cut.lasts = randomNumbers.between(time * 3 / 4, time * 7 / 8);
        cut.side.resize(static_cast<std::size_t>(size.daemons));
        std::iota(cut.side.begin(), cut.side.end(), 0);
        randomNumbers.shuffle(cut.side);
        const int sideSize = 1 + randomNumbers.below(size.daemons - 1);
        cut.side.resize(static_cast<std::size_t>(sideSize));
        cut.restartsAt = cut.at + randomNumbers.between(minUntilRestart, maxUntilRestart);
        cut.downtime = randomNumbers.between(minDowntime, maxDowntime);
        cut.restartsCoordinator = cut.side.size() == 1 || randomNumbers.below(2) == 0;
        plan.push_back(cut);
    }
    return plan;
}

std::string describe(const planned_cut &cut)
{
    return fmt::format(
        "{:>7} ms  daemons {} and the coordinator are cut off from the others for {} ms, restarted at {} ms {} the coordinator",
        cut.at.count(),
        fmt::join(cut.side, ","),
        cut.lasts.count(),
        cut.restartsAt.count(),
        cut.restartsCoordinator ? "with" : "without");
}

} // namespace vetchpost::test
