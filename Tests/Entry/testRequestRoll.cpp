// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_roll.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A request that is still held is named as arrived, once")
{
    request_roll roll;
    roll.noteArrival("r1");
    roll.noteArrival("r2");
    CHECK(roll.take().arrived == "r1 r2");
    CHECK(roll.take().isEmpty());
}

TEST_CASE("A request that was served before the roll is named as served alone; a later one in both rolls")
{
    request_roll roll;
    roll.noteArrival("r1");
    roll.noteArrival("r2");
    roll.noteServed("r1");
    const auto first = roll.take();
    CHECK(first.arrived == "r2");
    CHECK(first.served == "r1");
    roll.noteServed("r2");
    const auto second = roll.take();
    CHECK(second.arrived.empty());
    CHECK(second.served == "r2");
}

TEST_CASE("A request that has lines of its own is not named beside them, nor one without an id")
{
    request_roll roll;
    roll.noteArrival("r1");
    roll.noteTold("r1");
    roll.noteArrival("");
    roll.noteServed("");
    CHECK(roll.take().isEmpty());
}

TEST_CASE("A roll is bounded whatever clients send, and counts what it does not name")
{
    request_roll roll;
    for (int i = 0; i < 1000; ++i) {
        roll.noteArrival(std::string(5000, 'x'));
    }
    const auto lines = roll.take();
    CHECK(lines.arrived.size() < 20000);
    CHECK(lines.leftOut == 1000 - 256);
    CHECK(roll.take().isEmpty());
}
