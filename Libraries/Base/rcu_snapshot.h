// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace vetchpost {

/// Marks the calling thread as a reader for as long as it lives. Nested guards are allowed.
class rcu_read_guard
{
public:
    rcu_read_guard();
    ~rcu_read_guard();
    rcu_read_guard(const rcu_read_guard &) = delete;
    rcu_read_guard &operator=(const rcu_read_guard &) = delete;
};

/// Waits until every reader that may still see what was replaced has left. Not to be called from under a guard.
void waitForRcuReaders();

/// A value that many threads read without waiting and few replace as a whole.
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

    /// Calls \a query with the present value. The value stays as it is until the query returns.
    template <class Query>
    auto read(Query &&query) const
    {
        const rcu_read_guard guard;
        return query(static_cast<const Value &>(*m_current.load(std::memory_order_acquire)));
    }

    /// Replaces the value and frees the old one once no reader can see it.
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
