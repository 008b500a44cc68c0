// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/pending_losses.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <tuple>
#include <vector>

namespace vetchpost {

namespace {

/// Checks are repeated, since a process that ends slowly keeps its port open for a while, and may answer or ignore connections meanwhile.
/// The first follows soon, and each later one once the time since the loss has doubled.
constexpr duration firstCheckDelay(25);
/// A replica that does not answer may restart unseen between two checks, and is checked at least this often.
constexpr duration unknownCheckPeriod(200);
/// A replica that answers probes but no requests is checked for this time. All daemons have to know an end within 3 s, and telling them
/// takes up to 1.3 s.
constexpr duration aliveTimeout(1600);
/// A replica restarts within some seconds after its end, and then reports another incarnation.
constexpr duration unknownTimeout(6000);
/// A process that is ending may still answer for this time.
constexpr duration endingTime(250);
/// A daemon holds some hundred requests, and those at one replica are lost together.
constexpr std::size_t maximumPending = 256;

} // namespace

struct pending_losses::private_data
{
    struct checked_loss
    {
        std::shared_ptr<pending_loss> entry;
        /// When the replica had last sent a part of an answer.
        instant answeredAt;
    };

    replica_liveness_check &check;
    const std::function<void(const request_loss &)> didEnd;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable didResolve;
    bool isStopping = false;
    std::deque<std::shared_ptr<pending_loss>> entries;
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
            const auto next = nextEntry();
            const auto now = monotonicNow();
            if (!next) {
                wake.wait(lock);
            } else if (next->nextCheck > now) {
                wake.wait_for(lock, std::min(next->nextCheck - now, maxSteadyWait));
            } else {
                const auto losses = lossesAt(next->loss.target);
                lock.unlock();
                const auto found = check.probe(next->loss.target, next->loss.service, now);
                if (found == replica_liveness::terminated) {
                    std::for_each(losses.begin(), losses.end(), [this](const auto &checked) { didEnd(checked.entry->loss); });
                }
                lock.lock();
                for (const auto &checked : losses) {
                    update(checked, found);
                }
            }
        }
    }

    /// The entries with the same replica, which share one check. Must be called before the probe, which tells whether the answers came from
    /// the same incarnation. Requires the mutex to be held.
    std::vector<checked_loss> lossesAt(const backend &target) const
    {
        std::vector<checked_loss> losses;
        for (const auto &entry : entries) {
            const auto &known = entry->loss.target;
            if (known.replica == target.replica && known.incarnation == target.incarnation) {
                losses.push_back({entry, instant(duration(known.load->lastAnswerPart.load()))});
            }
        }
        return losses;
    }

    /// The entry that is to be checked next; nullptr if there is none. Replicas that answered go first, since a probe of one that does not
    /// takes long. Requires the mutex to be held.
    std::shared_ptr<pending_loss> nextEntry() const
    {
        const auto now = monotonicNow();
        const auto rank = [&](const std::shared_ptr<pending_loss> &entry) {
            return std::tuple(std::max(entry->nextCheck, now), entry->found == replica_liveness::unknown, entry->nextCheck);
        };
        const auto next = std::min_element(
            entries.begin(), entries.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
        return next == entries.end() ? nullptr : *next;
    }

    /// Takes over the result of a check. Requires the mutex to be held.
    void update(const checked_loss &checked, replica_liveness found)
    {
        const auto &entry = checked.entry;
        const auto now = monotonicNow();
        const auto age = now - entry->loss.attempt.at;
        const auto delay = found == replica_liveness::unknown ? std::min(age, unknownCheckPeriod) : age;
        entry->found = found;
        entry->nextCheck = now + std::max(delay, firstCheckDelay);
        const bool hasAnswered = checked.answeredAt - entry->loss.attempt.at >= endingTime;
        const bool isAlive = found == replica_liveness::alive && (hasAnswered || age >= aliveTimeout);
        if (found == replica_liveness::terminated || isAlive || age >= unknownTimeout) {
            std::erase(entries, entry);
            resolve(*entry);
        }
    }

    /// Ends the checks of an entry. Requires the mutex to be held.
    void resolve(pending_loss &entry)
    {
        entry.isResolved = true;
        didResolve.notify_all();
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
    d->didResolve.notify_all();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

std::shared_ptr<const pending_loss> pending_losses::add(const request_loss &loss, replica_liveness found)
{
    auto added = std::make_shared<pending_loss>(pending_loss{loss, found, monotonicNow() + firstCheckDelay});
    {
        const std::lock_guard lock(d->mutex);
        if (d->entries.size() >= maximumPending) {
            // The oldest has been checked for longest.
            d->resolve(*d->entries.front());
            d->entries.pop_front();
        }
        d->entries.push_back(added);
    }
    d->wake.notify_all();
    return added;
}

replica_liveness pending_losses::await(const pending_loss &pending, instant until)
{
    std::unique_lock lock(d->mutex);
    for (auto now = monotonicNow(); !pending.isResolved && !d->isStopping && now < until; now = monotonicNow()) {
        d->didResolve.wait_for(lock, std::min(until - now, maxSteadyWait));
    }
    return pending.found;
}

} // namespace vetchpost
