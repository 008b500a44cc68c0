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
constexpr duration idlePause(500);
constexpr duration longestPause(15000);
/// Peers are asked first; only then, one daemon after another, the service itself.
constexpr duration firstAskAfter(3000);
constexpr int mostAcceptTries = 20;
constexpr duration acceptPause(250);
/// The service's values end at a megabyte; the history and the escapes of JSON need room beside the text.
constexpr std::size_t largestText = 700U * 1024U;

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

    /// False once the service stops.
    bool pause(duration time)
    {
        std::unique_lock lock(mutex);
        wake.wait_for(lock, time, [this] { return isStopping; });
        return !isStopping;
    }

    duration jittered(duration time)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(time.count() / 2, time.count())(random));
    }

    void take(const key_value_entry &entry)
    {
        const auto head = configurationHeadFrom(entry.value);
        if (head && head->current > revision()
            && cluster.publishRegister({exchange_names::configuration, head->current.value(), 0, entry.value})) {
            didChange();
        }
    }

    bool readOnce()
    {
        reason why;
        const auto entry = keyValue.get(configurationHeadKey, read_freshness::current, why);
        if (!entry) {
            configurationLog.warning("The key-value service does not answer. why=\"{}\"", why.text);
            return false;
        }
        take(*entry);
        return true;
    }

    void run()
    {
        duration backoff = idlePause;
        std::uint64_t seen = 0;
        const auto startedAt = monotonicNow();
        bool hasAsked = false;
        while (pause(idlePause)) {
            if (isCoordinating()) {
                const bool isFresh = seen == 0 ? readOnce() : true;
                reason why;
                const auto changes = isFresh ? keyValue.watch(configurationHeadKey, seen, watchWait, why) : std::nullopt;
                if (!changes) {
                    backoff = std::min(longestPause, backoff * 2);
                    pause(jittered(backoff));
                    continue;
                }
                backoff = idlePause;
                seen = changes->upTo;
                for (const auto &entry : changes->changes) {
                    take(entry);
                }
                continue;
            }
            seen = 0;
            const bool isLate = monotonicNow() - startedAt > firstAskAfter;
            if (!cluster.head() && isLate && !hasAsked) {
                hasAsked = readOnce();
                backoff = std::min(longestPause, backoff * 2);
                pause(jittered(backoff));
            }
        }
    }

    edit_result refused(error_kind kind, const std::string &text)
    {
        edit_result result;
        result.why = {kind, text};
        return result;
    }

    edit_result acceptedAs(const configuration_head &head, const edit_id &edit)
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
    if (edit.text.size() > largestText) {
        return d->refused(error_kind::body_too_large, "the configuration is larger than 700 KiB");
    }
    edit_result result;
    if (!readConfiguration(edit.text, "configuration", result.problems)) {
        result.why = {error_kind::invalid_configuration, result.problems.front().text()};
        return result;
    }
    bool isInDoubt = false;
    for (int tries = 0; tries < mostAcceptTries; ++tries) {
        // 1. Where the edit stands is read from the head alone, also after a reply was lost.
        reason why;
        const auto entry = d->keyValue.get(configurationHeadKey, read_freshness::current, why);
        const auto head = entry ? configurationHeadFrom(entry->value) : std::nullopt;
        if (!head) {
            if (!isInDoubt) {
                return d->refused(error_kind::platform_unavailable, "the key-value service does not answer; nothing was accepted");
            }
            d->pause(acceptPause);
            continue;
        }
        d->take(*entry);
        switch (editStatusOf(edit, *head)) {
        case edit_status::accepted:
            return d->acceptedAs(*head, edit.edit);
        case edit_status::conflicting:
            result.others = editsSince(*head, edit.base);
            result.why = {error_kind::edit_conflict, "another edit was accepted since the revision that this one was made for"};
            return result;
        case edit_status::writable:
            break;
        }
        // 2. Writing again is harmless: of two writes of this edit at the same revision only one can take effect.
        const auto next = headAfter(*head, edit);
        const auto written = d->keyValue.compareAndSwap(configurationHeadKey, entry->changed, toText(next));
        if (written.outcome == swap_outcome::applied) {
            d->take({configurationHeadKey, toText(next), written.changed});
            return d->acceptedAs(next, edit.edit);
        }
        isInDoubt = isInDoubt || written.outcome == swap_outcome::unknown;
        d->pause(acceptPause);
    }
    return d->refused(isInDoubt ? error_kind::internal : error_kind::platform_unavailable,
                      isInDoubt ? "it is not known whether the edit was accepted: send it again with the same edit id"
                                : "the key-value service does not answer; nothing was accepted");
}

} // namespace vetchpost
