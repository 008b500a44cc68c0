// SPDX-License-Identifier: Apache-2.0
// One part of a prompt crashes each replica that begins to write an answer on it. Requests with that part come at any daemon, no two alike,
// and sound requests share their other parts.
#include "Libraries/Base/json.h"
#include "Tests/PromptParts/crashingHeads.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("Requests with a part of a prompt that ends replicas reach no more of them, and sound requests with the other parts are served")
{
    crashing_heads system;
    checkDeadlyPart(system);
}

TEST_CASE("Requests with a refused part are refused at once, as not run and with a retry-after time")
{
    crashing_heads system;
    REQUIRE(system.refuseDeadlyPart());
    const auto asked = monotonicNow();
    const auto reply = system.send(1, 200, true);
    CHECK(reply.status == 503);
    CHECK_FALSE(reply.header("Retry-After").empty());
    CHECK(monotonicNow() - asked < duration(100));
}

TEST_CASE("A refused part is listed for operators, and allowed again at all daemons once one of them is told so")
{
    crashing_heads system;
    REQUIRE(system.refuseDeadlyPart());
    const auto &daemon = system.fixture.daemon(1);
    const auto listed = parseJson(daemon.get(daemon.peers, "/crashing-requests").body);
    REQUIRE(listed);
    REQUIRE((*listed)["refused_parts"].size() == 1);
    const auto part = (*listed)["refused_parts"][0]["part"].asString();
    http_call call;
    call.to = daemon.peers;
    call.method = "POST";
    call.target = "/crashing-requests?allow=" + part;
    reason why;
    const auto allowed = sendOnFreshConnection(call, why);
    REQUIRE(allowed);
    CHECK(allowed->status == 200);
    const auto ends = system.ends();
    std::this_thread::sleep_for(duration(1000));
    CHECK(system.send(0, 300, true).status != 503);
    CHECK(system.ends() > ends);
}

TEST_CASE("A statement of parts that cannot be read is counted and passed on as it is, and its request is served")
{
    crashing_heads system;
    int number = 0;
    for (const std::string parts : {"no hex:3,ab:1", "ab:-4,cd:5", "ab", ",,,", "ab:1,ab:1,cd:2"}) {
        const auto id = "unreadable-" + std::to_string(++number);
        INFO(parts);
        CHECK(system.sendWithParts(0, id, parts).status == 200);
        CHECK(system.receivedParts(id) == std::vector{parts});
    }
    CHECK(system.fixture.daemon(0).metric("vetchpost_prompt_parts_invalid_total") == number);
}
