// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/worker_pool.h"

#include "Libraries/Base/log.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace vetchpost {

namespace {

constexpr part_log workerLog("worker");

} // namespace

struct worker_pool::private_data
{
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> jobs;
    std::vector<std::thread> threads;
    bool isStopping = false;

    bool popJob(std::function<void()> &job)
    {
        std::unique_lock lock(mutex);
        wake.wait(lock, [this] { return isStopping || !jobs.empty(); });
        if (isStopping) {
            return false;
        }
        job = std::move(jobs.front());
        jobs.pop_front();
        return true;
    }

    void runJobs()
    {
        std::function<void()> job;
        while (popJob(job)) {
            try {
                job();
            } catch (const std::exception &error) {
                workerLog.error("A job failed. error={}", error.what());
            }
        }
    }
};

worker_pool::worker_pool(int threads)
    : d(std::make_unique<private_data>())
{
    for (int i = 0; i < threads; ++i) {
        d->threads.emplace_back([this] { d->runJobs(); });
    }
}

worker_pool::~worker_pool()
{
    stop();
}

void worker_pool::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    for (auto &thread : d->threads) {
        thread.join();
    }
    d->threads.clear();
}

void worker_pool::run(std::function<void()> job)
{
    {
        const std::lock_guard lock(d->mutex);
        d->jobs.push_back(std::move(job));
    }
    d->wake.notify_one();
}

} // namespace vetchpost
