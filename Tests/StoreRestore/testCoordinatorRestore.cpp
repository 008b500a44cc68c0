// SPDX-License-Identifier: Apache-2.0
// The coordinator after the platform's store has come back from an older copy, without its lease and its key.
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/StoreRestore/restorableStore.h"
#include "platform/platform_store.h"

#include <regex>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration leaseTime(2000);

/// An order to join that a replica received.
struct received_join
{
    instant at;
    std::uint64_t formed = 0;
};

/// A daemon that coordinates one replica, and the orders that it sends there.
class coordinating_fixture
{
public:
    coordinating_fixture()
    {
        m_store.write("op/config", configurationText);
        m_store.write("servers/r-1", entryText());
        m_store.saveCopy();
        for (int number = 0; number < 10; ++number) {
            m_store.write("op/other", "x");
        }
        entry_settings settings;
        settings.daemon = daemon_id("d1");
        settings.dataCentre = data_centre_id("z");
        settings.callers = freePort();
        settings.readiness = freePort();
        settings.peers = freePort();
        settings.maximumConnections = 16;
        settings.keyRevocation = duration(60000);
        settings.configurationApply = duration(2000);
        settings.stopGrace = duration(3000);
        settings.leaseTime = leaseTime;
        settings.isFirstStart = true;
        settings.isLogOn = false;
        m_daemon = std::make_unique<entry_daemon>(
            settings, std::make_unique<platform_dialect>(), [this](const endpoint & /*address*/, metrics &counters) {
                return std::make_unique<platform_store>(m_store.address(), counters);
            });
        m_daemon->start();
    }

    restorable_store &store()
    {
        return m_store;
    }

    std::vector<received_join> joins() const
    {
        const std::lock_guard lock(m_mutex);
        return m_joins;
    }

private:
    std::string entryText() const
    {
        return fmt::format(
            R"({{"Service":"large","Address":"{}","Zone":"z","Domain":"a","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}})",
            m_replica.address());
    }

    /// Takes every order, and never joins.
    std::string answer(const std::string &request)
    {
        std::smatch found;
        if (request.find("\"join\"") != std::string::npos && std::regex_search(request, found, std::regex(R"("epoch":(\d+))"))) {
            const std::lock_guard lock(m_mutex);
            m_joins.push_back({monotonicNow(), std::stoull(found[1])});
        }
        return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    }

    mutable std::mutex m_mutex;
    std::vector<received_join> m_joins;
    restorable_store m_store;
    scripted_replica m_replica{[this](const std::string &request) { return answer(request); }};
    std::unique_ptr<entry_daemon> m_daemon;
};

} // namespace

TEST_CASE("Formation numbers increase though the revisions that number the terms were given out again")
{
    coordinating_fixture fixture;
    REQUIRE(isWithin(duration(6000), [&] { return fixture.joins().size() == 1; }));
    fixture.store().restore();
    REQUIRE(isWithin(duration(8000), [&] { return fixture.joins().size() == 2; }));
    CHECK(fixture.joins()[1].formed > fixture.joins()[0].formed);
}

// The former coordinator does not learn of its loss before its next call, and counts on its lease until then.
TEST_CASE("A coordinator sends no order while a predecessor may count on a lease that the store has lost")
{
    coordinating_fixture fixture;
    REQUIRE(isWithin(duration(6000), [&] { return fixture.joins().size() == 1; }));
    fixture.store().restore();
    const auto restoredAt = monotonicNow();
    REQUIRE(isWithin(duration(8000), [&] { return fixture.joins().size() == 2; }));
    CHECK(fixture.joins()[1].at - restoredAt > leaseTime);
}
