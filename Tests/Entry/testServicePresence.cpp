// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_presence.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));
constexpr duration remembered(2000);

} // namespace

TEST_CASE("A service that answers late, but each call, was never away")
{
    service_presence presence{start};
    CHECK_FALSE(noteCall(presence, true, start + duration(5000)));
    CHECK(absenceBefore(presence, remembered, start + duration(5000)) == duration());
}

TEST_CASE("An absence lasts from the last answer to the first one after a call that failed, and is remembered for a while")
{
    service_presence presence{start};
    noteCall(presence, true, start);
    CHECK(noteCall(presence, false, start + duration(800)));
    CHECK_FALSE(noteCall(presence, false, start + duration(1200)));
    CHECK(absenceBefore(presence, remembered, start + duration(1300)) == duration(1300));
    CHECK(noteCall(presence, true, start + duration(1500)));
    CHECK(absenceBefore(presence, remembered, start + duration(1500)) == duration(1500));
    CHECK(absenceBefore(presence, remembered, start + duration(3499)) == duration(1500));
    CHECK(absenceBefore(presence, remembered, start + duration(3500)) == duration());
}
