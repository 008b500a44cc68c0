// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace vetchpost {

/// Runs work on its own thread while the process shuts down. The destructor does not wait for unfinished work: the exit of the process,
/// shortly before the platform would kill it, cuts it off.
class shutdown_task
{
public:
    explicit shutdown_task(std::function<void()> work)
        : m_isDone(std::make_shared<std::atomic<bool>>(false))
        , m_thread([work = std::move(work), isDone = m_isDone] {
            work();
            *isDone = true;
        })
    {
    }

    ~shutdown_task()
    {
        if (*m_isDone) {
            m_thread.join();
        } else {
            m_thread.detach();
        }
    }

    shutdown_task(const shutdown_task &) = delete;
    shutdown_task &operator=(const shutdown_task &) = delete;

    bool isDone() const
    {
        return *m_isDone;
    }

private:
    std::shared_ptr<std::atomic<bool>> m_isDone;
    std::thread m_thread;
};

} // namespace vetchpost
