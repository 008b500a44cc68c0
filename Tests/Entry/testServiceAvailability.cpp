// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_availability.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));
constexpr duration remembered(2000);

} // namespace

TEST_CASE("A service that answers each call late had no outage")
{
    service_availability availability{start};
    CHECK_FALSE(recordCall(availability, true, start + duration(5000)));
    CHECK(outageDuration(availability, remembered, start + duration(5000)) == duration());
}

TEST_CASE("An outage lasts from the last answer to the first one after a failed call, and is remembered for a while")
{
    service_availability availability{start};
    recordCall(availability, true, start);
    CHECK(recordCall(availability, false, start + duration(800)));
    CHECK_FALSE(recordCall(availability, false, start + duration(1200)));
    CHECK(outageDuration(availability, remembered, start + duration(1300)) == duration(1300));
    CHECK(recordCall(availability, true, start + duration(1500)));
    CHECK(outageDuration(availability, remembered, start + duration(1500)) == duration(1500));
    CHECK(outageDuration(availability, remembered, start + duration(3499)) == duration(1500));
    CHECK(outageDuration(availability, remembered, start + duration(3500)) == duration());
}

// Guards against replicas that count as gone after outages that are each too short for entries to lapse.
TEST_CASE("Outages in quick succession count as one")
{
    service_availability availability{start};
    recordCall(availability, true, start);
    recordCall(availability, false, start + duration(700));
    recordCall(availability, true, start + duration(800));
    recordCall(availability, true, start + duration(1500));
    recordCall(availability, false, start + duration(2200));
    CHECK(outageDuration(availability, remembered, start + duration(2200)) == duration(2200));
    recordCall(availability, true, start + duration(2300));
    CHECK(outageDuration(availability, remembered, start + duration(2300)) == duration(2300));
}

TEST_CASE("An outage that follows long after another one is counted by itself")
{
    service_availability availability{start};
    recordCall(availability, true, start);
    recordCall(availability, false, start + duration(700));
    recordCall(availability, true, start + duration(800));
    const auto later = start + duration(800) + successiveOutages;
    recordCall(availability, true, later);
    recordCall(availability, false, later + duration(700));
    recordCall(availability, true, later + duration(800));
    CHECK(outageDuration(availability, remembered, later + duration(800)) == duration(800));
}
