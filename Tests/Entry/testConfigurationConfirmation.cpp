// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/configuration_confirmation.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));

key_revision revisionOf(std::uint64_t number, std::uint64_t era)
{
    return key_revision(number, store_era(era));
}

/// A daemon that waits for what the service may have lost.
configuration_confirmation awaiting(bool isFirstStart)
{
    configuration_confirmation confirmation;
    confirmation.policy = {true, isFirstStart};
    return confirmation;
}

/// A daemon that has known version 7 at revision 20 of era 1, and has learned of era 2 at \a start.
configuration_confirmation restored()
{
    auto confirmation = awaiting(true);
    recordEra(confirmation, store_era(1), start - duration(9000));
    recordVersion(confirmation, 7, revisionOf(20, 1));
    recordEra(confirmation, store_era(2), start);
    return confirmation;
}

} // namespace

TEST_CASE("Each reading is conclusive where the service has not come back from an older copy")
{
    auto confirmation = awaiting(true);
    CHECK(isConclusive(confirmation, revisionOf(20, 0), start));
    recordEra(confirmation, store_era(4), start);
    CHECK(isConclusive(confirmation, revisionOf(20, 4), start));
    CHECK_FALSE(isAwaitingRewrite(confirmation, start));
}

TEST_CASE("A reading soon after the service's return is not conclusive")
{
    auto confirmation = restored();
    recordVersion(confirmation, 7, revisionOf(20, 2));
    const auto deadline = rewriteDeadline(confirmation);
    REQUIRE(deadline);
    CHECK(*deadline >= start + duration(2000));
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 2), start));
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 2), *deadline - duration(1)));
    CHECK(isConclusive(confirmation, revisionOf(20, 2), *deadline));
}

TEST_CASE("An answer of the former era is conclusive for the time at which it was asked for")
{
    CHECK(isConclusive(restored(), revisionOf(20, 1), start - duration(100)));
}

TEST_CASE("A version that is found at another number in a later era was written again")
{
    auto confirmation = restored();
    recordVersion(confirmation, 7, revisionOf(18, 2));
    CHECK(isConclusive(confirmation, revisionOf(18, 2), start));
    CHECK_FALSE(isAwaitingRewrite(confirmation, start));
}

TEST_CASE("A version that had two numbers is not taken for written again when a copy holds the earlier one")
{
    auto confirmation = restored();
    recordVersion(confirmation, 7, revisionOf(18, 2));
    recordEra(confirmation, store_era(3), start + duration(100));
    recordVersion(confirmation, 7, revisionOf(20, 3));
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 3), start + duration(200)));
}

TEST_CASE("A newer version that the copy holds is not taken for written again")
{
    auto confirmation = restored();
    recordVersion(confirmation, 8, revisionOf(22, 2));
    CHECK_FALSE(isConclusive(confirmation, revisionOf(22, 2), start));
}

TEST_CASE("A daemon that starts takes the era for a new one until it is declared as settled")
{
    auto confirmation = awaiting(false);
    recordEra(confirmation, store_era(3), start);
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 3), start));
    confirmation.settledIn = store_era(2);
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 3), start));
    confirmation.settledIn = store_era(3);
    CHECK(isConclusive(confirmation, revisionOf(20, 3), start));
    recordEra(confirmation, store_era(4), start + duration(100));
    CHECK_FALSE(isConclusive(confirmation, revisionOf(20, 4), start + duration(100)));
}

TEST_CASE("Without a strict limit for keys a reading is conclusive whatever the era")
{
    configuration_confirmation confirmation;
    recordEra(confirmation, store_era(1), start - duration(9000));
    recordEra(confirmation, store_era(2), start);
    CHECK(isConclusive(confirmation, revisionOf(20, 2), start));
}

TEST_CASE("An era is settled only once lost entries and orders of former coordinators are no longer under way")
{
    auto confirmation = restored();
    const auto deadline = rewriteDeadline(confirmation);
    REQUIRE(deadline);
    CHECK_FALSE(maySettle(confirmation, *deadline));
    CHECK(maySettle(confirmation, *deadline + duration(1000)));
    confirmation.settledIn = store_era(2);
    CHECK_FALSE(maySettle(confirmation, *deadline + duration(1000)));
    auto first = awaiting(true);
    CHECK_FALSE(maySettle(first, start));
    recordEra(first, store_era(1), start);
    CHECK(maySettle(first, start));
}
