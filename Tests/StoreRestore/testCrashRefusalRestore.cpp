// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_refusal_store.h"
#include "Tests/StoreRestore/restorableStore.h"
#include "platform/platform_store.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration shortTime(3000);

/// A daemon that is the source and refuses one request.
class refusing_source
{
public:
    explicit refusing_source(const restorable_store &store)
        : m_service(store.address(), m_counters)
        , m_refusals(m_service,
                     crash_refusal_callbacks{[] { return true; },
                                             [] { return false; },
                                             [](const crash_refusals & /*refusals*/) {},
                                             [this](crash_refusals &current) { current.refused = refusals(); }})
    {
        m_refusals.start();
    }

    std::optional<identity_key> key() const
    {
        return m_refusals.key();
    }

    /// Makes a call, by which the daemon learns of a new era.
    void callService()
    {
        reason why;
        m_service.get("op/config", read_freshness::current, why);
    }

    void refuse()
    {
        m_doesRefuse = true;
    }

private:
    std::vector<suspect_report> refusals() const
    {
        suspect_report report;
        report.request = request_identity("0123456789abcdef0123456789abcdef");
        return m_doesRefuse ? std::vector{report} : std::vector<suspect_report>();
    }

    metrics m_counters;
    platform_store m_service;
    std::atomic<bool> m_doesRefuse = false;
    crash_refusal_store m_refusals;
};

} // namespace

TEST_CASE("Refused requests that the store has lost are written again")
{
    restorable_store store;
    refusing_source source(store);
    REQUIRE(isWithin(shortTime, [&] { return !store.read(crashRefusalsKey).empty(); }));
    const auto unrefused = store.read(crashRefusalsKey);
    store.saveCopy();
    source.refuse();
    REQUIRE(isWithin(shortTime, [&] { return store.read(crashRefusalsKey) != unrefused; }));
    const auto hasRefusal = [&] { return store.read(crashRefusalsKey).find("0123456789abcdef") != std::string::npos; };
    REQUIRE(hasRefusal());
    store.restore();
    REQUIRE_FALSE(hasRefusal());
    source.callService();
    CHECK(isWithin(shortTime, hasRefusal));
}

TEST_CASE("The key of the request digests outlives a copy without it")
{
    restorable_store store;
    store.saveCopy();
    refusing_source source(store);
    REQUIRE(isWithin(shortTime, [&] { return source.key().has_value(); }));
    const auto key = source.key();
    store.restore();
    source.callService();
    source.refuse();
    REQUIRE(isWithin(shortTime, [&] { return store.read(crashRefusalsKey).find(key->value()) != std::string::npos; }));
    CHECK(source.key() == key);
}
