// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/request_identity.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("The identity of a request depends on organisation, method, host, target, body and key")
{
    const auto key = makeIdentityKey();
    REQUIRE(parseIdentityKey(key.value()) == key);
    const identifying_parts parts{organisation_id("o"), "POST", "a.example", "/x", "body"};
    const auto same = identityOf(key, parts);
    CHECK(identityOf(key, parts) == same);
    CHECK(identityOf(makeIdentityKey(), parts) != same);
    CHECK(identityOf(key, {organisation_id("p"), "POST", "a.example", "/x", "body"}) != same);
    CHECK(identityOf(key, {organisation_id("o"), "PUT", "a.example", "/x", "body"}) != same);
    CHECK(identityOf(key, {organisation_id("o"), "POST", "b.example", "/x", "body"}) != same);
    CHECK(identityOf(key, {organisation_id("o"), "POST", "a.example", "/xb", "ody"}) != same);
    CHECK(identityOf(key, {organisation_id("o"), "POST", "a.example", "/x", "bod"}) != same);
}

TEST_CASE("A malformed key is rejected")
{
    CHECK_FALSE(parseIdentityKey(""));
    CHECK_FALSE(parseIdentityKey("abcd"));
    CHECK_FALSE(parseIdentityKey(std::string(64, 'x')));
}
