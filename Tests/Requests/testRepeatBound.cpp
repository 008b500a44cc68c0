// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/repeat_bound.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("The parts of all daemons together keep within the slack for repeats, however many there are")
{
    for (const int daemons : {1, 9, 16, 79, 200}) {
        CHECK(daemons * repeatsAtOnce(273, daemons) <= 273);
        CHECK(repeatsAtOnce(273, daemons) >= 1);
    }
    // A daemon that has heard nobody must not take more than one of the largest deployment.
    CHECK(79 * repeatsAtOnce(273, std::nullopt) <= 273);
}

// What users saw: after all daemons had been killed and started again, the replicas were sent more repeats within ten seconds than the
// bound allows. Each daemon begins with its part of the slack and learns from the coordinator how many daemons share it. The coordinator,
// which had just started as well, had heard 8, 19, 31, 43 and at last 79 of them; a daemon that was told 8 took ten times its part. And
// each start gave a whole part anew, whatever the daemon had sent before. The evidence: the numbers in the daemons' lines on the first
// answer of the coordinator, in this order.
TEST_CASE("Daemons that all start again at once keep within the slack for repeats, although they hear of each other one by one")
{
    constexpr int daemons = 79;
    const repeat_bound bound{0.2, 273};
    int sent = 0;
    for (int heard = 1; heard <= daemons; ++heard) {
        auto budget = startBudget(bound, heard, false);
        while (takeRetry(budget)) {
            ++sent;
        }
    }
    CHECK(sent <= bound.slack);
}

TEST_CASE("Daemons that start again within one window keep within the whole bound")
{
    constexpr int daemons = 8;
    constexpr int startsWithinTheWindow = 4;
    constexpr int requestsPerStart = 30;
    const repeat_bound bound{0.2, 134};
    int sent = 0;
    int requests = 0;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        for (int start = 0; start < startsWithinTheWindow; ++start) {
            auto budget = startBudget(bound, daemons, start == 0);
            for (int i = 0; i < requestsPerStart; ++i) {
                ++requests;
                noteFirstTry(budget);
                while (takeRetry(budget)) {
                    ++sent;
                }
            }
        }
    }
    CHECK(sent <= bound.share * requests + bound.slack);
    // The bound is there to be used: a daemon that serves on earns repeats.
    CHECK(sent >= bound.share * requests / 2);
}
