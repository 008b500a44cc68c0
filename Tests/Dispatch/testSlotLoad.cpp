// SPDX-License-Identifier: Apache-2.0
#include "Tests/Dispatch/loadModel.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("Trial")
{
    load_options options;
    if (const auto *groups = std::getenv("GROUPS")) {
        options.groups = std::atoi(groups);
    }
    const auto set = [](const char *name, auto &value) {
        if (const auto *text = std::getenv(name)) {
            value = std::remove_reference_t<decltype(value)>(std::atof(text));
        }
    };
    set("BURST", options.burstFactor);
    set("FIRST", options.firstShare);
    set("HASTY", options.hastyShare);
    set("LOST", options.lostReleases);
    set("SLOW", options.slowFactor);
    int until = 10000;
    set("UNTIL", until);
    options.burstUntil = duration(until);
    options.length = duration(until + 10000);
    int restart = 0;
    set("RESTART", restart);
    options.restartAt = duration(restart);
    set("RATE", options.requestsPerSecond);
    for (const bool isDispatched : {true, false}) {
        options.isDispatched = isDispatched;
        const auto result = runLoad(options);
        printLoad(isDispatched ? "dispatch" : "turns", result);
        for (int second = 0; second < 20 && std::getenv("SECONDS_SHOWN"); second += 1) {
            std::vector<std::int64_t> firsts{0};
            for (const auto &next : result.callers) {
                if (next.isShort() && next.firstEvent >= duration() && next.asked >= instant(duration(1000 * second))
                    && next.asked < instant(duration(1000 * second + 1000)))
                    firsts.push_back(next.firstEvent.count());
            }
            std::sort(firsts.begin(), firsts.end());
            printf("%d: n %zu p10 %ld p50 %ld p90 %ld p99 %ld\n",
                   second,
                   firsts.size(),
                   firsts[firsts.size() / 10],
                   firsts[firsts.size() / 2],
                   firsts[firsts.size() * 9 / 10],
                   firsts[firsts.size() * 99 / 100]);
        }
    }
}
