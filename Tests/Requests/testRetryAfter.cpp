// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/retry_after.h"

#include <catch2/catch.hpp>

#include <set>

using namespace vetchpost;

TEST_CASE("A client retries immediately if one daemon alone is affected, and later if all are")
{
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        CHECK(retryAfterFor(refusal_scope::this_daemon, draw) <= duration(30));
        CHECK(retryAfterFor(refusal_scope::this_daemon, draw) > duration(0));
        CHECK(retryAfterFor(refusal_scope::full_slots, draw) >= duration(200));
        CHECK(retryAfterFor(refusal_scope::full_slots, draw) <= duration(300));
        CHECK(retryAfterFor(refusal_scope::all_daemons, draw) >= duration(800));
        CHECK(retryAfterFor(refusal_scope::whole_model, draw) >= duration(800));
    }
}

TEST_CASE("Clients that are refused at the same time do not retry at the same time")
{
    std::set<duration> times;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        times.insert(retryAfterFor(refusal_scope::all_daemons, draw));
    }
    CHECK(times.size() > 300);
}

TEST_CASE("A stale configuration affects this daemon alone if others have a newer one or the service answers")
{
    CHECK(scopeOfStaleConfiguration(true, false, true) == refusal_scope::this_daemon);
    CHECK(scopeOfStaleConfiguration(true, true, false) == refusal_scope::this_daemon);
    CHECK(scopeOfStaleConfiguration(true, false, false) == refusal_scope::all_daemons);
    CHECK(scopeOfStaleConfiguration(false, false, true) == refusal_scope::this_daemon);
    // All daemons may have started at the same time.
    CHECK(scopeOfStaleConfiguration(false, true, false) == refusal_scope::starting);
    CHECK(scopeOfStaleConfiguration(false, false, false) == refusal_scope::all_daemons);
}
