// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_notice.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A time of rest may be whole, a fraction, huge, negative or no number at all")
{
    CHECK(restOf("3") == duration(3000));
    CHECK(restOf("0.25") == duration(250));
    CHECK(restOf("0.0004") == duration(1));
    CHECK(restOf("1e9") == unreadableRest);
    CHECK(restOf("99999999999999999999") == longestRest);
    CHECK_FALSE(restOf(""));
    CHECK_FALSE(restOf("0"));
    CHECK_FALSE(restOf("-5"));
    CHECK(restOf("Fri, 31 Dec 2027 23:59:59 GMT") == unreadableRest);
    CHECK(restOf("nan") == unreadableRest);
    CHECK(restOf("inf") == unreadableRest);
    CHECK(restOf("3s") == unreadableRest);
}

TEST_CASE("A limit is a decimal number from a least rate on")
{
    CHECK(rateLimitOf("1.2") == 1.2);
    CHECK(rateLimitOf("0") == leastRateLimit);
    CHECK(rateLimitOf("100") == 100);
    CHECK_FALSE(rateLimitOf(""));
    CHECK_FALSE(rateLimitOf("-1"));
    CHECK_FALSE(rateLimitOf("junk"));
    CHECK_FALSE(rateLimitOf("1.2 a second"));
    CHECK_FALSE(rateLimitOf("nan"));
}
