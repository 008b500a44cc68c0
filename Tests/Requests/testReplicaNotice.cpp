// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_notice.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A backoff may be an integer, a fraction, huge, negative or not a number")
{
    CHECK(parseBackoff("3") == duration(3000));
    CHECK(parseBackoff("0.25") == duration(250));
    CHECK(parseBackoff("0.0004") == duration(1));
    CHECK(parseBackoff("1e9") == unreadableBackoff);
    CHECK(parseBackoff("99999999999999999999") == maxBackoff);
    CHECK_FALSE(parseBackoff(""));
    CHECK_FALSE(parseBackoff("0"));
    CHECK_FALSE(parseBackoff("-5"));
    CHECK(parseBackoff("Fri, 31 Dec 2027 23:59:59 GMT") == unreadableBackoff);
    CHECK(parseBackoff("nan") == unreadableBackoff);
    CHECK(parseBackoff("inf") == unreadableBackoff);
    CHECK(parseBackoff("3s") == unreadableBackoff);
}

TEST_CASE("A rate limit is a decimal number, raised to a minimum rate")
{
    CHECK(parseRateLimit("1.2") == 1.2);
    CHECK(parseRateLimit("0") == minRateLimit);
    CHECK(parseRateLimit("100") == 100);
    CHECK_FALSE(parseRateLimit(""));
    CHECK_FALSE(parseRateLimit("-1"));
    CHECK_FALSE(parseRateLimit("junk"));
    CHECK_FALSE(parseRateLimit("1.2 a second"));
    CHECK_FALSE(parseRateLimit("nan"));
}
