// SPDX-License-Identifier: Apache-2.0
// Compares slot dispatch, in virtual time, with turn-based selection and load shedding on the same arrivals, and measures the time of a
// decision.
#include "Benchmarks/figure.h"
#include "Tests/Dispatch/loadModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace {

using namespace vetchpost;
using namespace vetchpost::bench;
using namespace vetchpost::test;

std::int64_t percentile(std::vector<std::int64_t> values, std::size_t percent)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, values.size() * percent / 100)];
}

void printKind(const std::string &name, const load_result &result, const std::function<bool(const caller &)> &kind)
{
    const auto share = [&](const std::function<bool(const caller &)> &what) { return 100 * shareOf(result, kind, what); };
    std::vector<std::int64_t> told;
    std::vector<std::int64_t> after;
    for (const auto &next : result.callers) {
        for (const auto &refusal : next.refusals) {
            if (kind(next)) {
                told.push_back(refusal.told.count());
                after.push_back(refusal.after.count());
            }
        }
    }
    const auto back = [&](const caller &next) { return kind(next) && !next.isHasty && !next.refusals.empty(); };
    const auto taken = shareOf(result, back, [](const caller &next) { return next.refusals.size() == 1 && next.firstEvent >= duration(); });
    fmt::print("  {:14}: in time at once {:5.1f}%, in time {:5.1f}%, late {:5.1f}%, refused {:5.1f}% (after p50 {} p99 {} ms, told p50 {} "
               "p99 {} ms, "
               "{:.1f}% taken on return), never served {:.1f}%\n",
               name,
               share([](const caller &next) { return next.refusals.empty() && next.isInTime(); }),
               share([](const caller &next) { return next.isInTime(); }),
               share([](const caller &next) { return next.isLate(); }),
               share([](const caller &next) { return !next.refusals.empty(); }),
               percentile(after, 50),
               percentile(after, 99),
               percentile(told, 50),
               percentile(told, 99),
               100 * taken,
               share([](const caller &next) { return next.firstEvent < duration(); }));
}

void compare(const std::string &name, load_options options)
{
    for (const bool isDispatched : {true, false}) {
        options.isDispatched = isDispatched;
        const auto result = runLoad(options);
        fmt::print("{}, {}: {} rejections by full groups, {:.0f}% of the slots in use\n",
                   name,
                   isDispatched ? "slot dispatch" : "turn-based selection",
                   result.rejections,
                   100 * result.utilisation);
        printKind("short", result, [](const caller &next) { return next.isShort(); });
        printKind("priority 1", result, [](const caller &next) { return next.priority == 1; });
        printKind("priority 2", result, [](const caller &next) { return next.priority == 2; });
        printKind("organisation 0", result, [](const caller &next) { return next.organisation == 0; });
        printKind("others", result, [](const caller &next) { return next.organisation != 0; });
        printKind("prompt < 3000", result, [](const caller &next) { return next.promptTokens < 3000; });
        printKind("prompt >= 3000", result, [](const caller &next) { return next.promptTokens >= 3000; });
    }
}

template <class Action>
double microsecondsOf(int times, Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        action(i);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / times;
}

/// The time of each decision with 60 full groups and a queue of 400.
void measureDecisions()
{
    constexpr int groups = 60;
    constexpr int slots = 20;
    constexpr int queued = 400;
    constexpr int decisions = 20000;
    slot_dispatcher dispatcher;
    std::vector<dispatch_group> told;
    told.reserve(groups);
    for (int i = 0; i < groups; ++i) {
        told.push_back(
            {instance_id("replica-" + std::to_string(i)), replica_incarnation(1), model_id("m"), data_centre_id("a"), slots, 1, {}, {}});
    }
    const instant now(duration(100000));
    updateGroups(dispatcher, told, loadEngine(), now - duration(50000));
    slot_request request;
    request.model = model_id("m");
    request.promptTokens = 400;
    request.expectedTokens = 112;
    request.priority = 1;
    request.untilLate = duration(60000);
    request.timeLeft = duration(60000);
    const endpoint asker{"10.0.0.1", 1};
    const auto ask = [&](int i) {
        request.ticket = static_cast<std::uint64_t>(i);
        request.organisation = organisation_id("organisation-" + std::to_string(i % 24));
        return requestSlot(dispatcher, request, asker, now);
    };
    const auto grantTime = microsecondsOf(groups * slots, ask);
    microsecondsOf(queued, [&](int i) { ask(groups * slots + i); });
    const auto queueLength = dispatcher.queues[model_id("m")].waiting.size();
    const auto refuseTime = microsecondsOf(decisions, [&](int i) {
        request.untilLate = duration(200);
        ask(groups * slots + queued + i);
    });
    request.untilLate = duration(60000);
    const auto advanceTime = microsecondsOf(decisions, [&](int) { advance(dispatcher, now); });
    const auto updateTime = microsecondsOf(100, [&](int) { updateGroups(dispatcher, told, loadEngine(), now); });
    // Each release grants the slot to a waiting request, and a new one takes its place in the queue.
    std::uint64_t held = 0;
    const auto turnTime = microsecondsOf(decisions, [&](int i) {
        const auto answers = releaseSlot(dispatcher, held, asker, slot_end::done, now);
        held = answers.empty() ? held : answers.front().ticket;
        ask(groups * slots + queued + decisions + i);
    });
    fmt::print("a decision at {} groups and {} waiting requests:\n", groups, queueLength);
    printFigure({"dispatch_grant", grantTime, "us", {}, {}});
    printFigure({"dispatch_refuse", refuseTime, "us", {}, {}});
    printFigure({"dispatch_release_and_queue", turnTime, "us", {}, {}});
    printFigure({"dispatch_advance", advanceTime, "us", {}, {}});
    printFigure({"dispatch_update_groups", updateTime, "us", {}, {}});
}

} // namespace

int main()
{
    load_options burst;
    burst.groups = 44;
    compare("burst of 1.8 for 4 s", burst);
    auto longer = burst;
    longer.length = duration(30000);
    longer.burstUntil = longer.burstFrom + duration(14000);
    compare("burst of 1.8 for 14 s", longer);
    auto half = burst;
    half.firstShare = 0.5;
    compare("burst, one organisation with half of the load", half);
    auto hasty = burst;
    hasty.hastyShare = 0.3;
    compare("burst, three callers in ten come back at once and often", hasty);
    auto lost = burst;
    lost.lostReleases = 0.05;
    compare("burst, 5% of releases lost", lost);
    auto restart = burst;
    restart.restartAt = duration(8000);
    compare("burst, dispatcher restarted in it", restart);
    auto slow = burst;
    slow.slowFactor = 2;
    compare("burst, every fourth group half as fast as described", slow);
    measureDecisions();
    return 0;
}
