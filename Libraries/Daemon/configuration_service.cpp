// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/configuration_service.h"

#include "Libraries/Base/log.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace vetchpost {

namespace {

constexpr part_log configurationLog("configuration");
constexpr duration watchWait(30000);
constexpr duration pollInterval(500);
constexpr duration maxRetryDelay(15000);
/// How long a daemon that has just started waits for its peers' configuration before it reads the key-value service itself.
constexpr duration peerConfigurationWait(3000);
constexpr int maxAcceptAttempts = 20;
constexpr duration acceptRetryDelay(250);
/// The key-value service limits a value to one megabyte, which must also hold the edit history and the JSON escapes.
constexpr std::size_t maxConfigurationSize = 700U * 1024U;

} // namespace

struct configuration_service::private_data
{
    cluster_state &cluster;
    key_value_client &keyValue;
    std::function<bool()> isCoordinating;
    std::function<void()> didChange;
    std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::thread thread;
    std::mt19937_64 random{std::random_device()()};

    /// Waits for the given time. Returns false at once if the service is stopping.
    bool pause(duration time)
    {
        std::unique_lock lock(mutex);
        wake.wait_for(lock, time, [this] { return isStopping; });
        return !isStopping;
    }

    /// A random duration between half the given time and all of it.
    duration jittered(duration time)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(time.count() / 2, time.count())(random));
    }

    /// Publishes a head from the key-value service to the cluster.
    void publishHead(const key_value_entry &entry)
    {
        const auto head = configurationHeadFrom(entry.value);
        if (head && head->current > revision()
            && cluster.publishRegister({exchange_names::configuration, head->current.value(), 0, entry.value})) {
            didChange();
        }
    }

    /// Returns the head in the key-value service; nothing if the service does not answer. If the service has come back from an older copy
    /// and lacks accepted edits that this daemon knows, they are written again first.
    std::optional<key_value_entry> fetchHead(reason &why)
    {
        auto entry = keyValue.get(configurationHeadKey, read_freshness::current, why);
        const auto stored = entry ? configurationHeadFrom(entry->value) : std::nullopt;
        const auto known = cluster.head();
        if (!stored || !known || known->current <= stored->current) {
            return entry;
        }
        const auto written = keyValue.compareAndSwap(configurationHeadKey, entry->changed, toText(*known));
        configurationLog.warning("The key-value service lacked accepted edits. stored={} known={} written_again={}",
                                 stored->current.value(),
                                 known->current.value(),
                                 written.outcome == swap_outcome::applied);
        if (written.outcome != swap_outcome::applied) {
            why = {error_kind::platform_unavailable, "accepted edits that the key-value service has lost could not be written again"};
            return std::nullopt;
        }
        return key_value_entry{configurationHeadKey, toText(*known), written.changed};
    }

    /// Reads the head and publishes it. Returns false if the key-value service does not answer.
    bool readConfigurationHead()
    {
        reason why;
        const auto entry = fetchHead(why);
        if (!entry) {
            configurationLog.warning("The key-value service did not answer. why=\"{}\"", why.text);
            return false;
        }
        publishHead(*entry);
        return true;
    }

    /// Follows the configuration until the service stops.
    void run()
    {
        duration backoff = pollInterval;
        store_revision watchedUpTo;
        const auto startedAt = monotonicNow();
        bool hasReadHead = false;
        while (pause(pollInterval)) {
            if (isCoordinating()) {
                const bool isHeadRead = watchedUpTo.isNone() ? readConfigurationHead() : true;
                reason why;
                const auto changes = isHeadRead ? keyValue.watch(configurationHeadKey, watchedUpTo, watchWait, why) : std::nullopt;
                if (!changes) {
                    backoff = std::min(maxRetryDelay, backoff * 2);
                    pause(jittered(backoff));
                    continue;
                }
                backoff = pollInterval;
                watchedUpTo = changes->isHistoryLost ? store_revision() : changes->upTo;
                for (const auto &entry : changes->changes) {
                    publishHead(entry);
                }
                continue;
            }
            watchedUpTo = {};
            const bool hasWaitedForPeers = monotonicNow() - startedAt > peerConfigurationWait;
            if (!cluster.head() && hasWaitedForPeers && !hasReadHead) {
                hasReadHead = readConfigurationHead();
                backoff = std::min(maxRetryDelay, backoff * 2);
                pause(jittered(backoff));
            }
        }
    }

    edit_result makeRefusal(error_kind kind, const std::string &text)
    {
        edit_result result;
        result.why = {kind, text};
        return result;
    }

    edit_result makeAcceptance(const configuration_head &head, const edit_id &edit)
    {
        edit_result result;
        result.isAccepted = true;
        for (const auto &entry : head.history) {
            if (entry.edit == edit) {
                result.accepted = entry.accepted;
            }
        }
        return result;
    }
};

configuration_service::configuration_service(cluster_state &cluster,
                                             key_value_client &keyValue,
                                             std::function<bool()> isCoordinating,
                                             std::function<void()> didChange)
    : d(new private_data{cluster, keyValue, std::move(isCoordinating), std::move(didChange), {}, {}, false, {}})
{
}

configuration_service::~configuration_service()
{
    stop();
}

void configuration_service::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void configuration_service::stop()
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

edit_result configuration_service::accept(const proposed_edit &edit)
{
    if (edit.text.size() > maxConfigurationSize) {
        return d->makeRefusal(error_kind::body_too_large, "the configuration exceeds the limit of 700 KiB");
    }
    edit_result result;
    if (!readConfiguration(edit.text, "configuration", result.problems)) {
        result.why = {error_kind::invalid_configuration, result.problems.front().text()};
        return result;
    }
    bool isWriteUnconfirmed = false;
    for (int attempt = 0; attempt < maxAcceptAttempts; ++attempt) {
        // 1. Derive the status of the edit from the head alone, which also settles a write whose reply was lost.
        reason why;
        const auto entry = d->fetchHead(why);
        const auto head = entry ? configurationHeadFrom(entry->value) : std::nullopt;
        if (!head) {
            if (!isWriteUnconfirmed) {
                return d->makeRefusal(error_kind::platform_unavailable, "the key-value service did not answer; nothing was accepted");
            }
            d->pause(acceptRetryDelay);
            continue;
        }
        d->publishHead(*entry);
        switch (editStatusOf(edit, *head)) {
        case edit_status::accepted:
            return d->makeAcceptance(*head, edit.edit);
        case edit_status::conflicting:
            result.conflictingEdits = editsSince(*head, edit.base);
            result.why = {error_kind::edit_conflict, "another edit was accepted after this edit's base revision"};
            return result;
        case edit_status::writable:
            break;
        }
        // 2. Write the edit. A repeated write is safe: of two writes of this edit at the same revision, only one can take effect.
        const auto next = headAfter(*head, edit);
        const auto written = d->keyValue.compareAndSwap(configurationHeadKey, entry->changed, toText(next));
        if (written.outcome == swap_outcome::applied) {
            d->publishHead({configurationHeadKey, toText(next), written.changed});
            return d->makeAcceptance(next, edit.edit);
        }
        isWriteUnconfirmed = isWriteUnconfirmed || written.outcome == swap_outcome::unknown;
        d->pause(acceptRetryDelay);
    }
    return d->makeRefusal(isWriteUnconfirmed ? error_kind::internal : error_kind::platform_unavailable,
                          isWriteUnconfirmed ? "the outcome of the edit is unknown: send it again with the same edit id"
                                             : "the key-value service did not answer; nothing was accepted");
}

} // namespace vetchpost
