// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/timer_service.h"

#include "Libraries/Base/log.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace vetchpost {

namespace {

constexpr part_log timerLog("timer");

struct subscription
{
    std::string name;
    duration period{};
    std::function<void(instant)> callback;
    std::optional<instant> due;
};

} // namespace

struct timer_service::private_data
{
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<std::shared_ptr<subscription>> subscriptions;
    std::thread thread;
    bool isStopping = false;

    instant nextDue(instant now)
    {
        auto next = now + maxSteadyWait;
        for (const auto &entry : subscriptions) {
            next = std::min(next, entry->due.value_or(now));
        }
        return next;
    }
};

timer_service::timer_service()
    : d(std::make_unique<private_data>())
{
}

timer_service::~timer_service()
{
    stop();
}

void timer_service::subscribe(std::string name, duration period, std::function<void(instant)> callback)
{
    const std::lock_guard lock(d->mutex);
    d->subscriptions.push_back(std::make_shared<subscription>(subscription{std::move(name), period, std::move(callback), std::nullopt}));
    d->wake.notify_all();
}

void timer_service::runDue(instant now)
{
    std::vector<std::shared_ptr<subscription>> due;
    {
        const std::lock_guard lock(d->mutex);
        for (auto &entry : d->subscriptions) {
            if (!entry->due) {
                entry->due = now + entry->period;
            }
            if (*entry->due <= now) {
                entry->due = now + entry->period;
                due.push_back(entry);
            }
        }
    }
    for (const auto &entry : due) {
        try {
            entry->callback(now);
        } catch (const std::exception &error) {
            timerLog.error("A subscriber failed. name={} error={}", entry->name, error.what());
        }
    }
}

void timer_service::start()
{
    d->thread = std::thread([this] {
        for (;;) {
            runDue(monotonicNow());
            std::unique_lock lock(d->mutex);
            const auto now = monotonicNow();
            d->wake.wait_for(lock, d->nextDue(now) - now, [this] { return d->isStopping; });
            if (d->isStopping) {
                return;
            }
        }
    });
}

void timer_service::stop()
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

} // namespace vetchpost
