// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/death_witnesses.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instance_id replica("r1");
const instant now(duration(100000));

death_witnesses silentFor(int daemons)
{
    death_witnesses witnesses;
    for (int i = 0; i < daemons; ++i) {
        noteLook(witnesses, replica, daemon_id("d" + std::to_string(i)), {now, false});
    }
    return witnesses;
}

} // namespace

TEST_CASE("A replica is dead once enough daemons found it silent")
{
    CHECK(confirmedDead(silentFor(neededWitnesses - 1), now).empty());
    CHECK(confirmedDead(silentFor(neededWitnesses), now).contains(replica));
}

TEST_CASE("One daemon that finds it alive outweighs all that do not")
{
    auto witnesses = silentFor(neededWitnesses + 3);
    noteLook(witnesses, replica, daemon_id("other"), {now, true});
    CHECK(confirmedDead(witnesses, now).empty());
}

TEST_CASE("The same daemon counts once, and an old look not at all")
{
    death_witnesses witnesses;
    for (int i = 0; i < neededWitnesses; ++i) {
        noteLook(witnesses, replica, daemon_id("d"), {now, false});
    }
    CHECK(confirmedDead(witnesses, now).empty());
    auto old = silentFor(neededWitnesses);
    CHECK(confirmedDead(old, now + lookLifetime + duration(1)).empty());
    forgetOldLooks(old, now + lookLifetime + duration(1));
    CHECK(old.looks.empty());
}
