// SPDX-License-Identifier: Apache-2.0
// A daemon's local copy of the platform's store, before a store that can come back from an older copy.
#pragma once

#include "Libraries/Entry/store_follower.h"
#include "Tests/StoreRestore/restorableStore.h"
#include "platform/platform_dialect.h"
#include "platform/platform_store.h"

#include <fmt/format.h>

#include <atomic>
#include <thread>

namespace vetchpost::test {

/// The users' bound on the time until a departure and a configuration are in force everywhere.
constexpr duration inForceBound(2000);
constexpr duration evacuationBound(5000);
/// What the operator and the replicas wrote is written again within this time.
constexpr duration rewriteTime(2000);

inline std::string entryText(int slots, const char *state = "ready")
{
    return fmt::format(
        R"({{"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":{},"State":"{}","ColdLeftMs":0,"Seq":1}})",
        slots,
        state);
}

inline std::string configurationOf(int version)
{
    return fmt::format(R"({{"Version":{},"Routes":[],"Services":[],"Tenants":[]}})", version);
}

/// The local copy of one daemon, which is the source of the feed or receives it.
class followed_store
{
public:
    explicit followed_store(const restorable_store &store, bool isSource = true, const confirmation_policy &policy = {true, true})
        : m_service(store.address(), m_counters)
        , m_follower(
              m_service, m_dialect, feedTiming(inForceBound), m_counters, [] {}, [](const std::vector<replica_key> & /*replicas*/) {})
    {
        m_follower.setConfirmationPolicy(policy);
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
inline void advanceTo(restorable_store &store, std::uint64_t revision)
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

} // namespace vetchpost::test
