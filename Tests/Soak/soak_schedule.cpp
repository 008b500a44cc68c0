// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace vetchpost::test {

namespace {

constexpr std::array<std::string_view, faultKindCount> names
    = {"stop_daemon",     "move_daemon",        "kill_daemon",          "freeze_daemon", "reload_daemon",    "delay_callers",
       "reset_callers",   "cut_callers",        "silence_callers",      "drip_callers",  "delay_store_link", "reset_store_link",
       "cut_store_link",  "silence_store_link", "drip_store_link",      "silent_store",  "refusing_store",   "slow_store",
       "losing_store",    "forgetting_store",   "kill_replica",         "dark_replica",  "drain_replica",    "slow_replicas",
       "losing_replicas", "garbling_replicas",  "change_configuration", "withdraw_key"};

/// Traffic runs undisturbed for a while first.
constexpr duration calmBegin(2000);
/// Between two faults of a series, from the begin of the one to that of the next; most faults last longer, so that they overlap.
constexpr duration longestStep(1500);
/// Between two series.
constexpr duration shortestPause(1000);
constexpr duration longestPause(3000);
constexpr int longestSeries = 4;
constexpr duration shortestFault(300);
constexpr duration longestFault(6500);

/// The standard distributions differ between libraries; the schedule of a seed must not.
class draw
{
public:
    explicit draw(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    int below(std::int64_t limit)
    {
        return static_cast<int>(m_generator() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit)));
    }

    duration between(duration least, duration most)
    {
        return least + duration(below((most - least).count() + 1));
    }

    template <class List>
    void shuffle(List &list)
    {
        for (auto left = list.size(); left > 1; --left) {
            std::swap(list[left - 1], list[static_cast<std::size_t>(below(static_cast<std::int64_t>(left)))]);
        }
    }

private:
    std::mt19937_64 m_generator;
};

bool isOfReplica(fault_kind kind)
{
    return kind >= fault_kind::kill_replica && kind <= fault_kind::garbling_replicas;
}

/// Each kind once, in an order of its own, before any comes again.
class deck
{
public:
    explicit deck(draw &numbers)
        : m_numbers(numbers)
    {
    }

    fault_kind next()
    {
        if (m_left.empty()) {
            for (std::size_t number = 0; number < faultKindCount; ++number) {
                m_left.push_back(static_cast<fault_kind>(number));
            }
            m_numbers.shuffle(m_left);
        }
        const auto kind = m_left.back();
        m_left.pop_back();
        return kind;
    }

private:
    draw &m_numbers;
    std::vector<fault_kind> m_left;
};

} // namespace

std::string_view faultName(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> planFaults(std::uint64_t seed, const schedule_size &size)
{
    draw numbers(seed);
    deck kinds(numbers);
    std::vector<planned_fault> plan;
    const auto latest = size.length - calmEnd;
    auto at = calmBegin;
    while (at < latest) {
        const int count = 1 + numbers.below(longestSeries);
        for (int number = 0; number < count && at < latest; ++number) {
            planned_fault fault;
            fault.at = at;
            fault.kind = kinds.next();
            fault.lasts = std::min(numbers.between(shortestFault, longestFault), latest - at);
            fault.target = numbers.below(isOfReplica(fault.kind) ? size.replicas + size.plainReplicas : size.daemons);
            plan.push_back(fault);
            at += numbers.between(duration(0), longestStep);
        }
        at += numbers.between(shortestPause, longestPause);
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
    constexpr std::array<std::string_view, 7> rests = {"0.4", "1", "2.5", "3", "6", "-1", "soon"};
    constexpr duration shortestNotice(1500);
    constexpr int kinds = 3;
    // Other numbers than those of the faults.
    constexpr std::uint64_t ownStream = 0x9e3779b97f4a7c15ULL;
    draw numbers(seed ^ ownStream);
    std::vector<planned_notice> plan;
    const auto time = size.length - calmEnd - calmBegin;
    for (int number = 0; number < count; ++number) {
        planned_notice notice;
        notice.at = calmBegin + time * number / count;
        notice.lasts = std::min(numbers.between(shortestNotice, longestFault), size.length - calmEnd - notice.at);
        notice.kind = static_cast<notice_kind>(numbers.below(kinds));
        notice.target = numbers.below(size.replicas + size.plainReplicas);
        notice.value = notice.kind == notice_kind::limit ? limits.at(static_cast<std::size_t>(numbers.below(limits.size())))
                                                         : rests.at(static_cast<std::size_t>(numbers.below(rests.size())));
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

} // namespace vetchpost::test
