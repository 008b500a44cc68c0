// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/pending_losses.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

/// Checks are repeated, since a process that ends slowly keeps its port open for a while and accepts connections that it does not answer.
constexpr duration checkPeriod(200);
/// A replica restarts within some seconds after its end, and then reports another incarnation.
constexpr duration checkTimeout(6000);
/// A daemon holds some hundred requests, and those at one replica are lost together.
constexpr std::size_t maximumPending = 256;

} // namespace

struct pending_losses::private_data
{
    struct entry
    {
        request_loss loss;
        instant since;
    };

    replica_liveness_check &check;
    const std::function<void(const request_loss &)> didEnd;
    std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::deque<entry> entries;
    std::thread thread;

    private_data(replica_liveness_check &endCheck, std::function<void(const request_loss &)> endListener)
        : check(endCheck)
        , didEnd(std::move(endListener))
    {
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!isStopping) {
            wake.wait(lock, [this] { return isStopping || !entries.empty(); });
            wake.wait_for(lock, checkPeriod, [this] { return isStopping; });
            if (isStopping) {
                return;
            }
            auto unresolved = std::exchange(entries, {});
            lock.unlock();
            checkAll(unresolved);
            lock.lock();
            entries.insert(entries.begin(), unresolved.begin(), unresolved.end());
        }
    }

    /// Checks the replica of each entry, and removes the entries that are resolved or have timed out. Entries with the same replica share
    /// one call.
    void checkAll(std::deque<entry> &unresolved)
    {
        const auto now = monotonicNow();
        std::erase_if(unresolved, [&](const entry &next) {
            const auto found = check.probe(next.loss.target, next.loss.service);
            if (found == replica_liveness::terminated) {
                didEnd(next.loss);
            }
            return found != replica_liveness::unknown || now - next.since >= checkTimeout;
        });
    }
};

pending_losses::pending_losses(replica_liveness_check &check, std::function<void(const request_loss &)> didEnd)
    : d(std::make_unique<private_data>(check, std::move(didEnd)))
{
}

pending_losses::~pending_losses()
{
    stop();
}

void pending_losses::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void pending_losses::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

void pending_losses::add(const request_loss &loss)
{
    {
        const std::lock_guard lock(d->mutex);
        if (d->entries.size() >= maximumPending) {
            // The oldest has been checked for longest.
            d->entries.pop_front();
        }
        d->entries.push_back({loss, monotonicNow()});
    }
    d->wake.notify_all();
}

} // namespace vetchpost
