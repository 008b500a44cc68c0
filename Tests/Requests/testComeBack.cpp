// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/come_back.h"

#include <catch2/catch.hpp>

#include <set>

using namespace vetchpost;

TEST_CASE("Who is refused by one daemon alone comes back at once, who is refused by all comes back later")
{
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        CHECK(comeBackAfter(refusal_reach::this_daemon, draw) <= duration(30));
        CHECK(comeBackAfter(refusal_reach::this_daemon, draw) > duration(0));
        CHECK(comeBackAfter(refusal_reach::full_places, draw) >= duration(200));
        CHECK(comeBackAfter(refusal_reach::full_places, draw) <= duration(300));
        CHECK(comeBackAfter(refusal_reach::all_daemons, draw) >= duration(800));
        CHECK(comeBackAfter(refusal_reach::whole_model, draw) >= duration(800));
    }
}

TEST_CASE("Clients that are refused together do not come back together")
{
    std::set<duration> times;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        times.insert(comeBackAfter(refusal_reach::all_daemons, draw));
    }
    CHECK(times.size() > 300);
}

TEST_CASE("A stale configuration is this daemon's alone where others have a newer one or the service answers")
{
    CHECK(reachOfStaleConfiguration(true, false, true) == refusal_reach::this_daemon);
    CHECK(reachOfStaleConfiguration(true, true, false) == refusal_reach::this_daemon);
    CHECK(reachOfStaleConfiguration(true, false, false) == refusal_reach::all_daemons);
    CHECK(reachOfStaleConfiguration(false, false, true) == refusal_reach::this_daemon);
    // All daemons may have started together.
    CHECK(reachOfStaleConfiguration(false, true, false) == refusal_reach::starting);
    CHECK(reachOfStaleConfiguration(false, false, false) == refusal_reach::all_daemons);
}
