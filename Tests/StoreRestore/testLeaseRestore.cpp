// SPDX-License-Identifier: Apache-2.0
// Leases that the platform's store has lost by coming back from an older copy, and whose numbers it grants again.
#include "Tests/StoreRestore/restorableStore.h"
#include "platform/platform_store.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration leaseTime(5000);

/// A lease that the store has lost, and that of another daemon with the same number.
class lost_lease_fixture
{
public:
    lost_lease_fixture()
    {
        m_store.saveCopy();
        lost = grant(former);
        m_store.restore();
        m_store.reuseLeaseNumbers();
        present = grant(other);
        REQUIRE(lost.number() == present.number());
    }

    restorable_store &store()
    {
        return m_store;
    }

private:
    lease_number grant(platform_store &service) const
    {
        reason why;
        const auto lease = service.grantLease(leaseTime, why);
        REQUIRE(lease);
        return *lease;
    }

    restorable_store m_store;
    metrics m_formerCounters;
    metrics m_otherCounters;

public:
    platform_store former{m_store.address(), m_formerCounters};
    platform_store other{m_store.address(), m_otherCounters};
    lease_number lost;
    lease_number present;
};

} // namespace

TEST_CASE("A key counts as not written if the number of its lease has been granted to another daemon")
{
    lost_lease_fixture fixture;
    CHECK(fixture.former.compareAndSwap("vetchpost/first", {}, "x", fixture.lost).outcome == swap_outcome::unknown);
    CHECK(fixture.former.compareAndSwap("vetchpost/second", {}, "x", fixture.lost).outcome == swap_outcome::conflict);
    CHECK(fixture.store().read("vetchpost/second").empty());
}

TEST_CASE("A lease whose number has been granted to another daemon counts as expired")
{
    lost_lease_fixture fixture;
    reason why;
    CHECK(fixture.former.renewLease(fixture.lost, why) == false);
    CHECK(fixture.former.renewLease(fixture.lost, why) == false);
    CHECK(fixture.other.renewLease(fixture.present, why) == true);
}

TEST_CASE("A lease is not ended by the daemon that had its number before")
{
    lost_lease_fixture fixture;
    reason why;
    REQUIRE(fixture.former.get("vetchpost/key", read_freshness::current, why));
    fixture.former.endLease(fixture.lost);
    CHECK(fixture.other.renewLease(fixture.present, why) == true);
}
