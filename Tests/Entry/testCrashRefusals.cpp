// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_refusal_store.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

constexpr std::int64_t writtenAt = 1700000000000;
const suspect_report evidence{
    request_identity("aa"), organisation_id("o"), {replica_end(1), replica_end(2), replica_end(3)}, 4, duration(500)};
const crash_refusals refusals{identity_key(std::string(64, 'b')), {evidence}};

} // namespace

TEST_CASE("A record is decoded as it was encoded, and its evidence has aged since")
{
    const auto read = decodeCrashRefusals(encodeCrashRefusals(refusals, writtenAt), writtenAt + 2000);
    REQUIRE(read);
    CHECK(read->key == refusals.key);
    REQUIRE(read->refused.size() == 1);
    CHECK(read->refused[0].request == evidence.request);
    CHECK(read->refused[0].organisation == evidence.organisation);
    CHECK(read->refused[0].ends == evidence.ends);
    CHECK(read->refused[0].round == evidence.round);
    CHECK(read->refused[0].age == duration(2500));
}

TEST_CASE("Refused parts of prompts are decoded as they were encoded, and their ends have aged since")
{
    auto written = refusals;
    written.parts = {{{model_id("m"), part_identity("cc")}, {{replica_end(7), fullEnd, duration(300), 5}}, 2}};
    const auto read = decodeCrashRefusals(encodeCrashRefusals(written, writtenAt), writtenAt + 2000);
    REQUIRE(read);
    REQUIRE(read->parts.size() == 1);
    CHECK(read->parts[0].key == written.parts[0].key);
    CHECK(read->parts[0].round == 2);
    REQUIRE(read->parts[0].ends.size() == 1);
    CHECK(read->parts[0].ends[0].end == replica_end(7));
    CHECK(read->parts[0].ends[0].age == duration(2300));
    const auto text = R"({"key":")" + refusals.key.value() + R"(","refused":[],"parts":[5,{"part":""},{"part":"dd","ends":["x"]}]})";
    CHECK(decodeCrashRefusals(text, writtenAt)->parts.empty());
}

TEST_CASE("A record from a daemon whose calendar clock is ahead counts as written now")
{
    CHECK(decodeCrashRefusals(encodeCrashRefusals(refusals, writtenAt), writtenAt - 9000)->refused[0].age == evidence.age);
}

TEST_CASE("A record without a digest key is invalid, and invalid evidence is skipped")
{
    CHECK_FALSE(decodeCrashRefusals("", writtenAt));
    CHECK_FALSE(decodeCrashRefusals("[]", writtenAt));
    CHECK_FALSE(decodeCrashRefusals(R"({"key":"short","refused":[]})", writtenAt));
    const auto text
        = R"({"key":")" + refusals.key.value() + R"(","refused":[5,{"req":""},{"req":"aa","ends":["x"]},{"req":"bb","ends":[1]}]})";
    const auto read = decodeCrashRefusals(text, writtenAt);
    REQUIRE(read);
    REQUIRE(read->refused.size() == 1);
    CHECK(read->refused[0].request == request_identity("bb"));
}
