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
