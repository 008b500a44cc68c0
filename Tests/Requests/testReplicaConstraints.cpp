// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/place_closure.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start{duration(1000000)};
const replica_key replica{instance_id("i-1"), replica_life(1)};
const replica_key nextLife{instance_id("i-1"), replica_life(2)};

replica_notice limitOf(double limit)
{
    replica_notice notice;
    notice.rateLimit = limit;
    return notice;
}

replica_notice restFor(duration time)
{
    replica_notice notice;
    notice.rest = time;
    return notice;
}

replica_notice leaving()
{
    replica_notice notice;
    notice.isLeaving = true;
    return notice;
}

replica_notice withoutLimit()
{
    replica_notice notice;
    notice.tellsAll = true;
    return notice;
}

closure_cause causeOf(const replica_constraints &table, const replica_key &key, instant now)
{
    return closureOf(table, {}, key, now).cause;
}

} // namespace

TEST_CASE("What a replica said holds for its life alone")
{
    replica_constraints table;
    CHECK(noteAnswer(table, replica, limitOf(2), start).hasLimit);
    CHECK(noteAnswer(table, replica, restFor(duration(3000)), start).hasRest);
    CHECK(noteAnswer(table, replica, leaving(), start).isLeaving);
    CHECK(causeOf(table, replica, start + duration(9000)) == closure_cause::leaving);
    CHECK(causeOf(table, nextLife, start) == closure_cause::none);
}

TEST_CASE("Rests that overlap end with the latest, and a suspension counts")
{
    replica_constraints table;
    noteAnswer(table, replica, restFor(duration(3000)), start);
    noteAnswer(table, replica, restFor(duration(500)), start + duration(1000));
    CHECK(causeOf(table, replica, start + duration(2999)) == closure_cause::rest);
    CHECK(closureOf(table, {}, replica, start).until == start + duration(3000));
    CHECK(causeOf(table, replica, start + duration(3000)) == closure_cause::none);
    CHECK(table.changes == 0);
}

TEST_CASE("A limit ends with an answer that names none, and with nothing less")
{
    replica_constraints table;
    noteAnswer(table, replica, limitOf(2), start);
    CHECK(causeOf(table, replica, start) == closure_cause::limit);
    CHECK_FALSE(noteAnswer(table, replica, limitOf(2), start + duration(10)).isAny());
    CHECK_FALSE(noteAnswer(table, replica, replica_notice(), start + duration(20)).isAny());
    CHECK(causeOf(table, replica, start + duration(60000)) == closure_cause::limit);
    CHECK(noteAnswer(table, replica, withoutLimit(), start + duration(30)).hasLimit);
    CHECK(causeOf(table, replica, start + duration(40)) == closure_cause::none);
}

TEST_CASE("Of two words on a limit the later one holds, and is told again to whoever holds the earlier")
{
    replica_constraints table;
    noteAnswer(table, replica, limitOf(2), start + duration(1000));
    const auto told = table.changes;
    CHECK_FALSE(takeEvidence(table, {replica, std::nullopt, duration(1500), false}, start + duration(2000)));
    CHECK(table.known.at(replica).rateLimit == 2);
    CHECK(table.known.at(replica).changed > told);
    CHECK(takeEvidence(table, {replica, 5, duration(100), false}, start + duration(2000)));
    CHECK(table.known.at(replica).rateLimit == 5);
    CHECK(takeEvidence(table, {replica, 5, constraintLifetime, true}, start + duration(2000)));
    CHECK(table.known.at(replica).isLeaving);
}

TEST_CASE("What was learned long ago is forgotten")
{
    replica_constraints table;
    noteAnswer(table, replica, limitOf(2), start);
    forgetOld(table, start + constraintLifetime - duration(1));
    CHECK(table.known.size() == 1);
    forgetOld(table, start + constraintLifetime);
    CHECK(table.known.empty());

    noteAnswer(table, replica, leaving(), start);
    forgetOld(table, start + constraintLifetime);
    CHECK(causeOf(table, replica, start + constraintLifetime) == closure_cause::leaving);
    forgetOld(table, start + departureLifetime);
    CHECK(table.known.empty());
}

TEST_CASE("A permit serves one request, within its time, whenever its answer is read")
{
    permit_wallet wallet;
    const auto question = wantPermit(wallet, replica, start);
    REQUIRE(question);
    CHECK_FALSE(wantPermit(wallet, replica, start + duration(10)));
    const permit_answer answer{question->nonce, replica, 1, duration(0)};
    REQUIRE(takeAnswer(wallet, answer, start + duration(20)));
    CHECK_FALSE(takeAnswer(wallet, answer, start + duration(20)));
    CHECK(hasPermit(wallet, replica, start + permitLifetime - duration(1)));
    CHECK_FALSE(hasPermit(wallet, replica, start + permitLifetime));
    CHECK(takePermit(wallet, replica, start + duration(30)));
    CHECK_FALSE(takePermit(wallet, replica, start + duration(30)));

    // The daemon was suspended before it read the answer.
    const auto later = start + duration(5000);
    const auto second = wantPermit(wallet, replica, later);
    REQUIRE(second);
    takeAnswer(wallet, {second->nonce, replica, 1, duration(0)}, later + permitLifetime);
    CHECK_FALSE(takePermit(wallet, replica, later + permitLifetime));
}

TEST_CASE("Who is told to wait for a permit asks again after that time, and one without an answer soon")
{
    permit_wallet wallet;
    const auto first = wantPermit(wallet, replica, start);
    REQUIRE(first);
    CHECK(wantPermit(wallet, replica, start + permitQuestionTimeout));
    const auto asked = start + duration(1000);
    const auto second = wantPermit(wallet, replica, asked);
    REQUIRE(second);
    takeAnswer(wallet, {second->nonce, replica, 0, duration(700)}, asked);
    CHECK_FALSE(wantPermit(wallet, replica, asked + duration(699)));
    CHECK(permitExpectedAt(wallet, replica, asked) == asked + duration(700));
    CHECK(wantPermit(wallet, replica, asked + duration(700)));
}

TEST_CASE("A source issues nothing before the limit allows it")
{
    permit_issuer issuer;
    const permit_question question{1, 5, {replica, 2, {}, false}};
    const endpoint one{"10.0.0.1", 1};
    CHECK(issuePermits(issuer, question, 2, one, start).granted == 0);
    CHECK(issuePermits(issuer, question, 2, one, start + duration(499)).granted == 0);
    CHECK(issuePermits(issuer, question, 2, one, start + duration(500)).granted == 1);
    CHECK(issuePermits(issuer, question, 2, one, start + duration(60000)).granted == 1);
}
