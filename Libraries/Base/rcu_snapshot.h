// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace vetchpost {

/// Marks the calling thread as an RCU reader while the guard exists. Guards may be nested.
class rcu_read_guard
{
public:
    rcu_read_guard();
    ~rcu_read_guard();
    rcu_read_guard(const rcu_read_guard &) = delete;
    rcu_read_guard &operator=(const rcu_read_guard &) = delete;
};

/// Waits until every reader that may still see a replaced value has finished. Must not be called while the calling thread holds a guard.
void waitForRcuReaders();

/// A value that many threads read without waiting, and that is rarely replaced, always as a whole.
template <class Value>
class rcu_snapshot
{
public:
    rcu_snapshot()
        : m_current(new Value())
    {
    }

    ~rcu_snapshot()
    {
        delete m_current.load();
    }

    rcu_snapshot(const rcu_snapshot &) = delete;
    rcu_snapshot &operator=(const rcu_snapshot &) = delete;

    /// Calls \a query with the current value, which stays unchanged until the query returns. Returns the result of the query.
    template <class Query>
    auto read(Query &&query) const
    {
        const rcu_read_guard guard;
        return query(static_cast<const Value &>(*m_current.load(std::memory_order_acquire)));
    }

    /// Replaces the value, waits until no reader can see the old one, and frees it.
    void replace(Value value)
    {
        auto next = std::make_unique<Value>(std::move(value));
        std::unique_ptr<Value> previous;
        {
            const std::lock_guard lock(m_writers);
            previous.reset(m_current.exchange(next.release(), std::memory_order_acq_rel));
        }
        waitForRcuReaders();
    }

private:
    std::mutex m_writers;
    std::atomic<Value *> m_current;
};

} // namespace vetchpost
