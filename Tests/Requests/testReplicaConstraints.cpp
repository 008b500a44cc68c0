// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_block.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start{duration(1000000)};
const replica_key replica{instance_id("i-1"), replica_incarnation(1)};
const replica_key nextIncarnation{instance_id("i-1"), replica_incarnation(2)};

replica_notice limitOf(double limit)
{
    replica_notice notice;
    notice.rateLimit = limit;
    return notice;
}

replica_notice backoffFor(duration time)
{
    replica_notice notice;
    notice.backoff = time;
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
    notice.isExhaustive = true;
    return notice;
}

block_cause causeOf(const replica_constraints &table, const replica_key &key, instant now)
{
    return blockOf(table, {}, key, now).cause;
}

} // namespace

TEST_CASE("A constraint applies only to the incarnation that announced it")
{
    replica_constraints table;
    CHECK(applyNotice(table, replica, limitOf(2), start).hasLimit);
    CHECK(applyNotice(table, replica, backoffFor(duration(3000)), start).hasBackoff);
    CHECK(applyNotice(table, replica, leaving(), start).isLeaving);
    CHECK(causeOf(table, replica, start + duration(9000)) == block_cause::leaving);
    CHECK(causeOf(table, nextIncarnation, start) == block_cause::none);
}

TEST_CASE("Overlapping backoffs end with the latest one, and time during which the daemon was suspended counts")
{
    replica_constraints table;
    applyNotice(table, replica, backoffFor(duration(3000)), start);
    applyNotice(table, replica, backoffFor(duration(500)), start + duration(1000));
    CHECK(causeOf(table, replica, start + duration(2999)) == block_cause::backoff);
    CHECK(blockOf(table, {}, replica, start).until == start + duration(3000));
    CHECK(causeOf(table, replica, start + duration(3000)) == block_cause::none);
    CHECK(table.changes == 0);
}

TEST_CASE("A limit ends only with an exhaustive answer without a limit")
{
    replica_constraints table;
    applyNotice(table, replica, limitOf(2), start);
    CHECK(causeOf(table, replica, start) == block_cause::limit);
    CHECK_FALSE(applyNotice(table, replica, limitOf(2), start + duration(10)).isAny());
    CHECK_FALSE(applyNotice(table, replica, replica_notice(), start + duration(20)).isAny());
    CHECK(causeOf(table, replica, start + duration(60000)) == block_cause::limit);
    CHECK(applyNotice(table, replica, withoutLimit(), start + duration(30)).hasLimit);
    CHECK(causeOf(table, replica, start + duration(40)) == block_cause::none);
}

TEST_CASE("Of two reports on a limit the later one applies, and is sent again if an earlier one is received")
{
    replica_constraints table;
    applyNotice(table, replica, limitOf(2), start + duration(1000));
    const auto changesBefore = table.changes;
    CHECK_FALSE(mergeReport(table, {replica, std::nullopt, duration(1500), false}, start + duration(2000)));
    CHECK(table.entries.at(replica).rateLimit == 2);
    CHECK(table.entries.at(replica).changed > changesBefore);
    CHECK(mergeReport(table, {replica, 5, duration(100), false}, start + duration(2000)));
    CHECK(table.entries.at(replica).rateLimit == 5);
    CHECK(mergeReport(table, {replica, 5, constraintLifetime, true}, start + duration(2000)));
    CHECK(table.entries.at(replica).isLeaving);
}

TEST_CASE("Entries without an update expire, those of leaving replicas later")
{
    replica_constraints table;
    applyNotice(table, replica, limitOf(2), start);
    expireEntries(table, start + constraintLifetime - duration(1));
    CHECK(table.entries.size() == 1);
    expireEntries(table, start + constraintLifetime);
    CHECK(table.entries.empty());

    applyNotice(table, replica, leaving(), start);
    expireEntries(table, start + constraintLifetime);
    CHECK(causeOf(table, replica, start + constraintLifetime) == block_cause::leaving);
    expireEntries(table, start + departureLifetime);
    CHECK(table.entries.empty());
}

TEST_CASE("A permit is valid for one request and for a limited time after it was requested")
{
    permit_holder holder;
    const auto request = nextPermitRequest(holder, replica, start);
    REQUIRE(request);
    CHECK_FALSE(nextPermitRequest(holder, replica, start + duration(10)));
    const permit_response response{request->nonce, replica, 1, duration(0)};
    REQUIRE(acceptResponse(holder, response, start + duration(20)));
    CHECK_FALSE(acceptResponse(holder, response, start + duration(20)));
    CHECK(hasPermit(holder, replica, start + permitLifetime - duration(1)));
    CHECK_FALSE(hasPermit(holder, replica, start + permitLifetime));
    CHECK(consumePermit(holder, replica, start + duration(30)));
    CHECK_FALSE(consumePermit(holder, replica, start + duration(30)));

    // The daemon was suspended before it read the response.
    const auto later = start + duration(5000);
    const auto second = nextPermitRequest(holder, replica, later);
    REQUIRE(second);
    acceptResponse(holder, {second->nonce, replica, 1, duration(0)}, later + permitLifetime);
    CHECK_FALSE(consumePermit(holder, replica, later + permitLifetime));
}

TEST_CASE("A daemon requests permits again after the wait time, or soon if there was no response")
{
    permit_holder holder;
    const auto first = nextPermitRequest(holder, replica, start);
    REQUIRE(first);
    CHECK(nextPermitRequest(holder, replica, start + permitRequestTimeout));
    const auto requestedAt = start + duration(1000);
    const auto second = nextPermitRequest(holder, replica, requestedAt);
    REQUIRE(second);
    acceptResponse(holder, {second->nonce, replica, 0, duration(700)}, requestedAt);
    CHECK_FALSE(nextPermitRequest(holder, replica, requestedAt + duration(699)));
    CHECK(permitExpectedAt(holder, replica, requestedAt) == requestedAt + duration(700));
    CHECK(nextPermitRequest(holder, replica, requestedAt + duration(700)));
}

TEST_CASE("A source issues no permits before the limit allows them")
{
    permit_issuer issuer;
    const permit_request request{1, 5, {replica, 2, {}, false}};
    const endpoint one{"10.0.0.1", 1};
    CHECK(issuePermits(issuer, request, 2, one, start).granted == 0);
    CHECK(issuePermits(issuer, request, 2, one, start + duration(499)).granted == 0);
    CHECK(issuePermits(issuer, request, 2, one, start + duration(500)).granted == 1);
    CHECK(issuePermits(issuer, request, 2, one, start + duration(60000)).granted == 1);
}
