// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>

namespace vetchpost {

/// A fixed number of threads that run jobs in their order.
class worker_pool
{
public:
    explicit worker_pool(int threads);
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    void run(std::function<void()> job);
    /// Drops the jobs that have not begun and waits for those that have; later jobs are dropped too.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
