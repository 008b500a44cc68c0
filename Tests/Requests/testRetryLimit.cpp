// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/retry_limit.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("The parts of all daemons together are within the slack for retries, whatever the number of daemons")
{
    for (const int daemons : {1, 9, 16, 79, 200}) {
        CHECK(daemons * maxRetriesPerDaemon(273, daemons) <= 273);
        CHECK(maxRetriesPerDaemon(273, daemons) >= 1);
    }
    // A daemon that does not know the number of daemons must not use more than its part in the largest deployment.
    CHECK(79 * maxRetriesPerDaemon(273, std::nullopt) <= 273);
}

// Guards against a fault that users saw: after all daemons had been killed and restarted, they sent more retries within ten seconds than
// the limit allows. A coordinator that has just started as well knows only some of the daemons at first (8, 19, 31, 43 and finally 79), so
// that a daemon that was given the number 8 used ten times its part of the slack. In addition each start granted a full part again,
// whatever the daemon had sent before.
TEST_CASE("Daemons that all restart at once stay within the slack for retries, although they discover each other one by one")
{
    constexpr int daemons = 79;
    const retry_limit limit{0.2, 273};
    int sent = 0;
    for (int knownDaemons = 1; knownDaemons <= daemons; ++knownDaemons) {
        auto budget = initialBudget(limit, knownDaemons, false);
        while (spendRetry(budget)) {
            ++sent;
        }
    }
    CHECK(sent <= limit.slack);
}

TEST_CASE("Daemons that restart within one window stay within the limit")
{
    constexpr int daemons = 8;
    constexpr int startsWithinTheWindow = 4;
    constexpr int requestsPerStart = 30;
    const retry_limit limit{0.2, 134};
    int sent = 0;
    int requests = 0;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        for (int start = 0; start < startsWithinTheWindow; ++start) {
            auto budget = initialBudget(limit, daemons, start == 0);
            for (int i = 0; i < requestsPerStart; ++i) {
                ++requests;
                recordFirstAttempt(budget);
                while (spendRetry(budget)) {
                    ++sent;
                }
            }
        }
    }
    CHECK(sent <= limit.share * requests + limit.slack);
    // The limit must be usable: a daemon that continues to serve earns retries.
    CHECK(sent >= limit.share * requests / 2);
}
