// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"
#include "Tests/Fakes/fake_key_value_store.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace vetchpost::test {

/// A key-value service that several daemons of one process share. Thread-safe.
class shared_store
{
public:
    void write(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_store.swap(key, m_store.get(key).changed, value);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_store.lastRevision;
        m_store.entries.erase(key);
        m_store.recordChange(key, "");
    }

    /// Calls \a use with the store, under the lock.
    template <class Use>
    auto with(const Use &use)
    {
        const std::lock_guard lock(m_mutex);
        m_store.expire(monotonicNow());
        return use(m_store);
    }

    /// Watches from before this revision find that the history is lost.
    std::atomic<std::uint64_t> historyBegins = 0;

private:
    std::mutex m_mutex;
    fake_key_value_store m_store;
};

/// The faults of one daemon's connection to a shared_store, and its calls.
struct store_link
{
    std::atomic<bool> isUp = true;
    /// Calls for evacuations get no answer.
    std::atomic<bool> hidesEvacuations = false;
    std::atomic<int> evacuationCalls = 0;
};

/// One daemon's view of a shared_store.
class linked_store : public key_value_service
{
public:
    linked_store(shared_store &store, store_link &link)
        : m_store(store)
        , m_link(link)
    {
    }

    std::optional<key_value_entry> get(const std::string &key, read_freshness /*freshness*/, reason &lastReason) override
    {
        return answer(lastReason, [&](auto &store) { return store.get(key); });
    }

    std::optional<key_value_listing> list(const std::string &prefix, read_freshness /*freshness*/, reason &lastReason) override
    {
        if (!admitsCall(prefix, lastReason)) {
            return std::nullopt;
        }
        return answer(lastReason, [&](auto &store) {
            key_value_listing listing{{}, store_revision(std::max<std::uint64_t>(1, store.lastRevision))};
            for (const auto &[key, entry] : store.entries) {
                if (key.starts_with(prefix)) {
                    listing.entries.push_back({key, entry.value, entry.changed});
                }
            }
            return listing;
        });
    }

    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease) override
    {
        reason ignored;
        return answer(ignored, [&](auto &store) { return store.swap(key, expected, value, lease); }).value_or(swap_result());
    }

    std::optional<lease_number> grantLease(duration time, reason &lastReason) override
    {
        return answer(lastReason, [&](auto &store) { return store.grant(time, monotonicNow()); });
    }

    std::optional<bool> renewLease(lease_number lease, reason &lastReason) override
    {
        return answer(lastReason, [&](auto &store) { return store.renew(lease, monotonicNow()); });
    }

    void endLease(lease_number lease) override
    {
        reason ignored;
        answer(ignored, [&](auto &store) { return store.leases.erase(lease); });
    }

    std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason) override
    {
        if (!admitsCall(prefix, lastReason)) {
            return std::nullopt;
        }
        const auto until = monotonicNow() + wait;
        for (;;) {
            auto result = answer(lastReason, [&](auto &store) {
                watch_result found{store_revision(store.lastRevision), {}, after.number() < m_store.historyBegins};
                for (const auto &change : store.changes) {
                    if (change.changed > after && change.key.starts_with(prefix)) {
                        found.changes.push_back(change);
                    }
                }
                return found;
            });
            if (!result || result->isHistoryLost || !result->changes.empty() || monotonicNow() >= until) {
                return result;
            }
            std::this_thread::sleep_for(duration(5));
        }
    }

private:
    template <class Call>
    auto answer(reason &lastReason, const Call &call) -> std::optional<decltype(call(std::declval<fake_key_value_store &>()))>
    {
        if (!m_link.isUp) {
            lastReason = {error_kind::platform_unavailable, "down"};
            return std::nullopt;
        }
        return m_store.with(call);
    }

    bool admitsCall(const std::string &prefix, reason &lastReason)
    {
        const bool isForEvacuations = prefix == "op/evacuate/";
        m_link.evacuationCalls += isForEvacuations ? 1 : 0;
        if (isForEvacuations && m_link.hidesEvacuations) {
            lastReason = {error_kind::platform_unavailable, "no answer"};
            return false;
        }
        return true;
    }

    shared_store &m_store;
    store_link &m_link;
};

} // namespace vetchpost::test
