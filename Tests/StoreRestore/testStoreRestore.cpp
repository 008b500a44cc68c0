// SPDX-License-Identifier: Apache-2.0
// What daemons know after the platform's store has come back from an older copy and gives revisions out again.
#include "Libraries/Entry/store_follower.h"
#include "Tests/StoreRestore/restorableStore.h"
#include "platform/platform_dialect.h"
#include "platform/platform_store.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The users' bound on the time until a departure and a configuration are in force everywhere.
constexpr duration inForceBound(2000);
constexpr duration evacuationBound(5000);
/// What the operator and the replicas wrote is written again within this time.
constexpr duration rewriteTime(2000);

std::string entryText(int slots, const char *state = "ready")
{
    return fmt::format(
        R"({{"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":{},"State":"{}","ColdLeftMs":0,"Seq":1}})",
        slots,
        state);
}

std::string configurationOf(int version)
{
    return fmt::format(R"({{"Version":{},"Routes":[],"Services":[],"Tenants":[]}})", version);
}

/// The local copy of one daemon, which is the source of the feed or receives it.
class followed_store
{
public:
    explicit followed_store(const restorable_store &store, bool isSource = true)
        : m_service(store.address(), m_counters)
        , m_follower(
              m_service, m_dialect, feedTiming(inForceBound), m_counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {})
    {
        m_follower.enableEvacuations(evacuationBound);
        m_follower.recordTraffic();
        m_follower.setSource(isSource);
        m_follower.start();
    }

    store_follower &operator*()
    {
        return m_follower;
    }

    bool isLeaving(const std::string &replica) const
    {
        const auto directory = m_follower.directory();
        const auto found = directory->replicas.find(instance_id(replica));
        return found != directory->replicas.end() && found->second.isDraining;
    }

    /// Returns the number of slots of a replica; 0 if the replica is not known.
    int slotsOf(const std::string &replica) const
    {
        const auto directory = m_follower.directory();
        const auto found = directory->replicas.find(instance_id(replica));
        return found == directory->replicas.end() ? 0 : found->second.slots;
    }

    std::uint64_t configurationVersion() const
    {
        const auto routes = m_follower.routes();
        return routes ? routes->configuration().version : 0;
    }

    bool isEvacuated(const char *dataCentre) const
    {
        const auto evacuated = m_follower.evacuatedDataCentres();
        return evacuated && evacuated->contains(data_centre_id(dataCentre));
    }

private:
    metrics m_counters;
    platform_store m_service;
    const platform_dialect m_dialect;
    store_follower m_follower;
};

/// Subscribes a follower to its source at short intervals, as peer_feed does.
class feed_link
{
public:
    feed_link(store_follower &source, store_follower &follower)
        : m_source(source)
        , m_follower(follower)
        , m_thread([this] { run(); })
    {
    }

    ~feed_link()
    {
        m_isStopping = true;
        m_thread.join();
    }

    feed_link(const feed_link &) = delete;
    feed_link &operator=(const feed_link &) = delete;

private:
    void run()
    {
        std::uint64_t nonce = 0;
        while (!m_isStopping) {
            const auto asked = monotonicNow();
            const feed_subscription subscription{daemon_id("d2"), ++nonce, m_follower.replicasUpTo()};
            for (const auto &answer : m_source.answerSubscription(subscription, {"127.0.0.1", 7002})) {
                apply(answer, asked);
            }
            for (int round = 0; round < 2; ++round) {
                std::this_thread::sleep_for(duration(100));
                for (const auto &push : m_source.pendingPushes()) {
                    apply(push, std::nullopt);
                }
            }
        }
    }

    void apply(const feed_datagram &datagram, std::optional<instant> asked)
    {
        const auto received = decodeFeedMessage(encodeFeedMessage(datagram.message));
        m_follower.applyUpdate(std::get<feed_update>(*received), asked);
    }

    store_follower &m_source;
    store_follower &m_follower;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

/// Writes unrelated keys until the store has reached a revision.
void advanceTo(restorable_store &store, std::uint64_t revision)
{
    while (store.revision() < revision) {
        store.write("op/other", "x");
    }
}

/// A store with a replica and a configuration, which has lost its last ten revisions once restore() has been called.
class restoring_fixture
{
public:
    restoring_fixture()
    {
        m_store.write("op/config", configurationOf(3));
        m_store.write("servers/r-1", entryText(4));
        m_store.saveCopy();
        advanceTo(m_store, m_store.revision() + 10);
    }

    restorable_store &store()
    {
        return m_store;
    }

    /// Returns the last revision before the store came back from its copy.
    std::uint64_t restore()
    {
        const auto last = m_store.revision();
        m_store.restore();
        return last;
    }

private:
    restorable_store m_store;
};

} // namespace

TEST_CASE("A departure is not missed at a revision that the store gives out again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("servers/r-2", entryText(4));
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-2") == 4; }));
    fixture.store().holdReplicaWatches(true);
    const auto last = fixture.restore();
    REQUIRE(isWithin(inForceBound, [&] { return fixture.store().heldReplicaWatches() > 0; }));
    // The watch arrives once the store has reached the revision from which the watch goes on.
    advanceTo(fixture.store(), last - 1);
    fixture.store().write("servers/r-1", entryText(4, "draining"));
    fixture.store().holdReplicaWatches(false);
    CHECK(isWithin(inForceBound, [&] { return source.isLeaving("r-1"); }));
}

TEST_CASE("An entry is not taken for older than one that the store has lost")
{
    restoring_fixture fixture;
    fixture.store().write("servers/r-1", entryText(5));
    followed_store source(fixture.store());
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-1") == 5; }));
    fixture.restore();
    fixture.store().write("servers/r-1", entryText(6));
    CHECK(isWithin(inForceBound, [&] { return source.slotsOf("r-1") == 6; }));
}

TEST_CASE("The feed does not skip a change at a revision that the store gives out again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    fixture.store().write("servers/r-2", entryText(4));
    REQUIRE(isWithin(inForceBound, [&] { return source.slotsOf("r-2") == 4 && follower.slotsOf("r-2") == 4; }));
    fixture.restore();
    fixture.store().write("servers/r-1", entryText(6));
    CHECK(isWithin(inForceBound, [&] { return follower.slotsOf("r-1") == 6; }));
}

TEST_CASE("A follower does not take a configuration for the newest by a revision that the store gives out again")
{
    restoring_fixture fixture;
    fixture.store().write("op/config", configurationOf(4));
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    REQUIRE(isWithin(inForceBound, [&] { return source.configurationVersion() == 4 && follower.configurationVersion() == 4; }));
    fixture.restore();
    fixture.store().write("op/config", configurationOf(5));
    CHECK(isWithin(inForceBound, [&] { return follower.configurationVersion() == 5; }));
}

TEST_CASE("An evacuation is in force though its revision is below one that the store has lost")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    followed_store follower(fixture.store(), false);
    const feed_link link(*source, *follower);
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y") && follower.isEvacuated("y"); }));
    fixture.restore();
    fixture.store().write("op/evacuate/z", "{}");
    CHECK(isWithin(evacuationBound, [&] { return source.isEvacuated("z") && follower.isEvacuated("z"); }));
}

TEST_CASE("A conditional write does not overwrite an entry that got the expected revision anew")
{
    restorable_store store;
    metrics counters;
    platform_store service(store.address(), counters);
    store.saveCopy();
    const auto first = service.compareAndSwap("vetchpost/key", key_revision(), "first");
    REQUIRE(first.outcome == swap_outcome::applied);
    store.restore();
    platform_store other(store.address(), counters);
    const auto second = other.compareAndSwap("vetchpost/key", key_revision(), "second");
    REQUIRE(second.outcome == swap_outcome::applied);
    reason why;
    REQUIRE(service.get("vetchpost/other", read_freshness::current, why));
    CHECK(service.compareAndSwap("vetchpost/key", first.changed, "third").outcome == swap_outcome::conflict);
    CHECK(store.read("vetchpost/key") == "second");
}

TEST_CASE("An evacuation that the copy lacks goes on until the operator has written it again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y"); }));
    fixture.store().restore(false);
    CHECK_FALSE(isWithin(rewriteTime, [&] { return !source.isEvacuated("y"); }));
    fixture.store().write("op/evacuate/y", "{}");
    CHECK_FALSE(isWithin(2 * rewriteTime, [&] { return !source.isEvacuated("y"); }));
    fixture.store().remove("op/evacuate/y");
    CHECK(isWithin(evacuationBound, [&] { return !source.isEvacuated("y"); }));
}

TEST_CASE("An evacuation that ended before the store came back ends once the entries had time to be written again")
{
    restoring_fixture fixture;
    followed_store source(fixture.store());
    fixture.store().write("op/evacuate/y", "{}");
    REQUIRE(isWithin(evacuationBound, [&] { return source.isEvacuated("y"); }));
    fixture.store().restore(false);
    CHECK(isWithin(evacuationBound, [&] { return !source.isEvacuated("y"); }));
}
