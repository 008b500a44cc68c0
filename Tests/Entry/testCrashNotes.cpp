// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_record.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

constexpr std::int64_t writtenAt = 1700000000000;
const suspect_report evidence{
    request_identity("aa"), organisation_id("o"), {replica_end(1), replica_end(2), replica_end(3)}, 4, duration(500)};
const crash_notes notes{identity_key(std::string(64, 'b')), {evidence}};

} // namespace

TEST_CASE("What the key-value service keeps is read as it was written, and has aged meanwhile")
{
    const auto read = decodeCrashNotes(encodeCrashNotes(notes, writtenAt), writtenAt + 2000);
    REQUIRE(read);
    CHECK(read->key == notes.key);
    REQUIRE(read->refused.size() == 1);
    CHECK(read->refused[0].request == evidence.request);
    CHECK(read->refused[0].organisation == evidence.organisation);
    CHECK(read->refused[0].ends == evidence.ends);
    CHECK(read->refused[0].round == evidence.round);
    CHECK(read->refused[0].age == duration(2500));
}

TEST_CASE("Notes from a daemon whose calendar is ahead were written just now")
{
    CHECK(decodeCrashNotes(encodeCrashNotes(notes, writtenAt), writtenAt - 9000)->refused[0].age == evidence.age);
}

TEST_CASE("Without a key there are no notes, and what is no evidence is passed over")
{
    CHECK_FALSE(decodeCrashNotes("", writtenAt));
    CHECK_FALSE(decodeCrashNotes("[]", writtenAt));
    CHECK_FALSE(decodeCrashNotes(R"({"key":"short","refused":[]})", writtenAt));
    const auto text
        = R"({"key":")" + notes.key.value() + R"(","refused":[5,{"req":""},{"req":"aa","ends":["x"]},{"req":"bb","ends":[1]}]})";
    const auto read = decodeCrashNotes(text, writtenAt);
    REQUIRE(read);
    REQUIRE(read->refused.size() == 1);
    CHECK(read->refused[0].request == request_identity("bb"));
}
