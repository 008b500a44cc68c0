// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>

namespace vetchpost {

/// A fixed number of threads that start jobs in the order in which they were added.
class worker_pool
{
public:
    explicit worker_pool(int threads);
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    /// Adds a job to the queue.
    void run(std::function<void()> job);
    /// Drops the jobs that have not started and waits for the running ones. Jobs that are added later never run.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
