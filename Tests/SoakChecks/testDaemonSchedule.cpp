// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_schedule.h"

#include <catch2/catch.hpp>

using namespace vetchpost::test;

TEST_CASE("Cuts between daemons follow each other, leave daemons on both sides, and restart some of one side before they end")
{
    constexpr int cuts = 2;
    const schedule_size size{std::chrono::seconds(80), 8, 24};
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
        const auto plan = planCuts(seed, size, cuts);
        REQUIRE(plan.size() == cuts);
        CHECK(plan[0].at + plan[0].lasts < plan[1].at);
        for (const auto &cut : plan) {
            CHECK_FALSE(cut.side.empty());
            CHECK(cut.side.size() < static_cast<std::size_t>(size.daemons));
            CHECK(cut.at + cut.lasts <= size.length - recoveryLength);
            CHECK(cut.restartsAt > cut.at);
            CHECK(cut.restartsAt + cut.downtime < cut.at + cut.lasts);
        }
    }
    CHECK(describe(planCuts(3, size, cuts).front()) == describe(planCuts(3, size, cuts).front()));
    CHECK(describe(planCuts(3, size, cuts).front()) != describe(planCuts(4, size, cuts).front()));
}

TEST_CASE("Some replicas stand still for 1 to 10 s while others go on")
{
    const schedule_size size{std::chrono::seconds(80), 8, 24};
    const int all = size.replicas + size.plainReplicas;
    for (const auto &standstill : planStandstills(3, size, 4)) {
        CHECK(standstill.lasts >= std::chrono::seconds(1));
        CHECK(standstill.lasts <= std::chrono::seconds(10));
        CHECK_FALSE(standstill.replicas.empty());
        CHECK(static_cast<int>(standstill.replicas.size()) < all);
    }
}
