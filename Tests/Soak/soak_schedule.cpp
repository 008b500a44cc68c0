// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_schedule.h"

#include "Tests/Soak/schedule_draw.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace vetchpost::test {

namespace {

constexpr std::array<std::string_view, faultKindCount + 1> faultNames
    = {"stop_daemon",     "move_daemon",        "kill_daemon",          "freeze_daemon", "reload_daemon",    "delay_callers",
       "reset_callers",   "cut_callers",        "silence_callers",      "drip_callers",  "delay_store_link", "reset_store_link",
       "cut_store_link",  "silence_store_link", "drip_store_link",      "silent_store",  "refusing_store",   "slow_store",
       "losing_store",    "forgetting_store",   "kill_replica",         "dark_replica",  "drain_replica",    "slow_replicas",
       "losing_replicas", "garbling_replicas",  "change_configuration", "withdraw_key",  "isolated_head"};

/// The longest time between the starts of two faults of a series. Most faults last longer, so that they overlap.
constexpr duration maxStep(1500);
/// The pause between two series of faults.
constexpr duration minPause(1000);
constexpr duration maxPause(3000);
constexpr int maxSeriesLength = 4;
constexpr duration minFaultLength(300);
constexpr duration maxFaultLength(6500);

bool targetsReplica(fault_kind kind)
{
    return kind >= fault_kind::kill_replica && kind <= fault_kind::garbling_replicas;
}

/// Yields all fault kinds in random order before any of them is repeated, with a new order for each round.
class shuffled_fault_kinds
{
public:
    explicit shuffled_fault_kinds(deterministic_random &randomNumbers)
        : m_randomNumbers(randomNumbers)
    {
    }

    fault_kind next()
    {
        if (m_left.empty()) {
            for (std::size_t number = 0; number < faultKindCount; ++number) {
                m_left.push_back(static_cast<fault_kind>(number));
            }
            m_randomNumbers.shuffle(m_left);
        }
        const auto kind = m_left.back();
        m_left.pop_back();
        return kind;
    }

private:
    deterministic_random &m_randomNumbers;
    std::vector<fault_kind> m_left;
};

} // namespace

std::string_view faultName(fault_kind kind)
{
    return faultNames.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> planFaults(std::uint64_t seed, const schedule_size &size)
{
    deterministic_random randomNumbers(seed);
    shuffled_fault_kinds kinds(randomNumbers);
    std::vector<planned_fault> plan;
    const auto latest = size.length - recoveryLength;
    auto at = initialQuietTime;
    while (at < latest) {
        const int count = 1 + randomNumbers.below(maxSeriesLength);
        for (int number = 0; number < count && at < latest; ++number) {
            planned_fault fault;
            fault.at = at;
            fault.kind = kinds.next();
            fault.lasts = std::min(randomNumbers.between(minFaultLength, maxFaultLength), latest - at);
            fault.target = randomNumbers.below(targetsReplica(fault.kind) ? size.replicas + size.plainReplicas : size.daemons);
            plan.push_back(fault);
            at += randomNumbers.between(duration(0), maxStep);
        }
        at += randomNumbers.between(minPause, maxPause);
    }
    return plan;
}

std::string describe(const planned_fault &fault)
{
    return fmt::format("{:>7} ms  {:<20} {:>3}  for {} ms", fault.at.count(), faultName(fault.kind), fault.target, fault.lasts.count());
}

std::vector<planned_notice> planNotices(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr std::array<std::string_view, 8> limits = {"0.5", "1.2", "2", "5", "10", "40", "100", "many"};
    constexpr std::array<std::string_view, 7> backoffs = {"0.4", "1", "2.5", "3", "6", "-1", "soon"};
    constexpr duration minNoticeLength(1500);
    constexpr int kinds = 3;
    // Separates the random numbers from those of the faults.
    constexpr std::uint64_t noticeSeedMask = 0x9e3779b97f4a7c15ULL;
    deterministic_random randomNumbers(seed ^ noticeSeedMask);
    std::vector<planned_notice> plan;
    const auto time = size.length - recoveryLength - initialQuietTime;
    for (int number = 0; number < count; ++number) {
        planned_notice notice;
        notice.at = initialQuietTime + time * number / count;
        notice.lasts = std::min(randomNumbers.between(minNoticeLength, maxFaultLength), size.length - recoveryLength - notice.at);
        notice.kind = static_cast<notice_kind>(randomNumbers.below(kinds));
        notice.target = randomNumbers.below(size.replicas + size.plainReplicas);
        notice.value = notice.kind == notice_kind::limit ? limits.at(static_cast<std::size_t>(randomNumbers.below(limits.size())))
                                                         : backoffs.at(static_cast<std::size_t>(randomNumbers.below(backoffs.size())));
        plan.push_back(notice);
    }
    return plan;
}

std::string describe(const planned_notice &notice)
{
    constexpr std::array<std::string_view, 3> noticeNames = {"limit", "rest", "leaving"};
    return fmt::format("{:>7} ms  says {:<15} {:>3}  for {} ms: {}",
                       notice.at.count(),
                       noticeNames.at(static_cast<std::size_t>(notice.kind)),
                       notice.target,
                       notice.lasts.count(),
                       notice.value);
}

std::vector<planned_evacuation> planEvacuations(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr duration pause(1500);
    constexpr std::uint64_t evacuationSeedMask = 0xc2b2ae3d27d4eb4fULL;
    deterministic_random randomNumbers(seed ^ evacuationSeedMask);
    std::vector<planned_evacuation> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        planned_evacuation evacuation;
        evacuation.at = initialQuietTime + time * number;
        evacuation.lasts = randomNumbers.between(time / 2, time - pause);
        evacuation.zone = soakZones.at(static_cast<std::size_t>(randomNumbers.below(soakZones.size())));
        plan.push_back(evacuation);
    }
    return plan;
}

std::string describe(const planned_evacuation &evacuation)
{
    return fmt::format("{:>7} ms  evacuates {:<15} for {} ms", evacuation.at.count(), evacuation.zone, evacuation.lasts.count());
}

std::vector<planned_pause> planPauses(std::uint64_t seed, const schedule_size &size, int count, duration minLength)
{
    constexpr duration afterChange(600);
    constexpr duration moreLength(300);
    constexpr std::uint64_t pauseSeedMask = 0x27d4eb2f165667c5ULL;
    deterministic_random randomNumbers(seed ^ pauseSeedMask);
    std::vector<planned_pause> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        planned_pause pause;
        pause.changeAt = initialQuietTime + time * number + randomNumbers.between(duration(0), time / 4);
        pause.at = pause.changeAt + afterChange;
        pause.lasts = randomNumbers.between(minLength, minLength + moreLength);
        plan.push_back(pause);
    }
    return plan;
}

std::string describe(const planned_pause &pause)
{
    return fmt::format("{:>7} ms  all replicas are silent for {} ms, configuration at {} ms",
                       pause.at.count(),
                       pause.lasts.count(),
                       pause.changeAt.count());
}

std::vector<planned_fault> planOutages(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr int minOutages = 2;
    constexpr int moreOutages = 3;
    constexpr duration minLength(1300);
    constexpr duration maxLength(4500);
    constexpr duration minBetween(300);
    constexpr duration maxBetween(1900);
    constexpr duration minDowntime(500);
    constexpr duration maxDowntime(2500);
    constexpr std::uint64_t outageSeedMask = 0x9fb21c651e98df25ULL;
    deterministic_random randomNumbers(seed ^ outageSeedMask);
    std::vector<planned_fault> plan;
    const auto time = timeForEach(size, count);
    const auto latest = size.length - recoveryLength;
    for (int number = 0; number < count; ++number) {
        auto at = initialQuietTime + time * number;
        const int outages = minOutages + randomNumbers.below(moreOutages);
        for (int outage = 0; outage < outages && at < latest; ++outage) {
            const auto lasts = std::min(randomNumbers.between(minLength, maxLength), latest - at);
            plan.push_back({at, lasts, fault_kind::silent_store, 0});
            const auto downtime = std::min(randomNumbers.between(minDowntime, maxDowntime), lasts);
            plan.push_back(
                {at + randomNumbers.between(duration(0), lasts), downtime, fault_kind::kill_daemon, randomNumbers.below(size.daemons)});
            at += lasts + randomNumbers.between(minBetween, maxBetween);
        }
    }
    return plan;
}

std::vector<planned_fault> planIsolations(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr int maxHeads = 3;
    constexpr duration minLength(4000);
    constexpr duration maxLength(13000);
    constexpr duration minDowntime(500);
    constexpr duration maxDowntime(2500);
    constexpr std::uint64_t isolationSeedMask = 0x85ebca77c2b2ae63ULL;
    deterministic_random randomNumbers(seed ^ isolationSeedMask);
    std::vector<planned_fault> plan;
    const auto time = timeForEach(size, count);
    const auto latest = size.length - recoveryLength;
    for (int number = 0; number < count; ++number) {
        const auto begin = initialQuietTime + time * number;
        const int heads = 1 + randomNumbers.below(maxHeads);
        for (int head = 0; head < heads; ++head) {
            const auto at = begin + randomNumbers.between(duration(0), time / 2);
            const auto lasts = std::min(randomNumbers.between(minLength, maxLength), latest - at);
            plan.push_back({at, lasts, fault_kind::isolated_head, randomNumbers.below(size.replicas)});
        }
        const auto at = begin + randomNumbers.between(duration(0), time / 2);
        plan.push_back({at, randomNumbers.between(minDowntime, maxDowntime), fault_kind::kill_daemon, randomNumbers.below(size.daemons)});
    }
    return plan;
}

std::vector<planned_restore> planRestores(std::uint64_t seed, const schedule_size &size, int count)
{
    constexpr duration minAge(500);
    constexpr duration maxAge(8000);
    constexpr duration minAway(100);
    constexpr duration maxAway(3500);
    constexpr duration maxRewriteDelay(1500);
    constexpr duration maxUntilChange(3000);
    constexpr std::uint64_t restoreSeedMask = 0x165667b19e3779f9ULL;
    deterministic_random randomNumbers(seed ^ restoreSeedMask);
    std::vector<planned_restore> plan;
    const auto time = timeForEach(size, count);
    for (int number = 0; number < count; ++number) {
        planned_restore restore;
        restore.backAt = initialQuietTime + time * (number + 1);
        restore.at = restore.backAt - std::min(randomNumbers.between(minAway, maxAway), time / 2);
        restore.copiedAt = restore.at - std::min(randomNumbers.between(minAge, maxAge), time / 2);
        restore.rewriteDelay = randomNumbers.between(duration(0), maxRewriteDelay);
        restore.changeAt = randomNumbers.between(restore.copiedAt, restore.at);
        restore.withdrawAt = restore.backAt + randomNumbers.between(duration(0), maxUntilChange);
        restore.drainAt = restore.backAt + randomNumbers.between(duration(0), maxUntilChange);
        restore.target = randomNumbers.below(size.replicas + size.plainReplicas);
        plan.push_back(restore);
    }
    return plan;
}

std::string describe(const planned_restore &restore)
{
    return fmt::format("{:>7} ms  store away, back at {} ms from a copy of {} ms, rewritten after {} ms, configurations at {} and {} ms, "
                       "replica {} leaves at {} "
                       "ms",
                       restore.at.count(),
                       restore.backAt.count(),
                       restore.copiedAt.count(),
                       restore.rewriteDelay.count(),
                       restore.changeAt.count(),
                       restore.withdrawAt.count(),
                       restore.target,
                       restore.drainAt.count());
}

std::vector<planned_fault>
planStartsAtReturns(std::uint64_t seed, const schedule_size &size, const std::vector<planned_restore> &restores, int count)
{
    constexpr duration minDowntime(500);
    constexpr duration maxDowntime(2500);
    constexpr duration latestStart(1000);
    constexpr std::uint64_t startSeedMask = 0x27d4eb2f165667c5ULL;
    deterministic_random randomNumbers(seed ^ startSeedMask);
    std::vector<planned_fault> plan;
    for (std::size_t number = 0; number < std::min(restores.size(), static_cast<std::size_t>(count)); ++number) {
        planned_fault loss;
        loss.kind = fault_kind::kill_daemon;
        loss.lasts = randomNumbers.between(minDowntime, maxDowntime);
        loss.at = randomNumbers.between(restores[number].at, restores[number].backAt + latestStart) - loss.lasts;
        loss.target = randomNumbers.below(size.daemons);
        plan.push_back(loss);
    }
    return plan;
}

} // namespace vetchpost::test
