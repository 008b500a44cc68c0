// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/cold_replicas.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"

#include <atomic>
#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log constraintLog("constraint");

} // namespace

struct cold_replicas::private_data
{
    mutable std::mutex mutex;
    cold_pacing pacing;
    /// The number of requests that this daemon sent to each cold replica, for the log.
    std::map<replica_key, int> sent;
    std::function<std::optional<int>()> knownDaemons;
    bool isOn = false;
    std::atomic<bool> hasAny = false;
    counter passedOver;
    counter unreadable;

    explicit private_data(metrics &counters)
        : passedOver(
            counters.addCounter("vetchpost_cold_passed_over_total",
                                "Cold replicas that requests passed over, because this daemon may not send them the next one yet."))
        , unreadable(counters.addCounter("vetchpost_cold_times_unreadable_total", "Answers whose remaining cold time could not be read."))
    {
    }

    /// Reads the number of daemons before the mutex is locked, since the feed locks its own.
    instant updateDaemons()
    {
        const auto daemons = knownDaemons();
        const auto now = monotonicNow();
        const std::lock_guard lock(mutex);
        recordDaemons(pacing.daemons, daemons, now);
        return now;
    }

    /// Requires the mutex to be held.
    void logCold(const replica_key &replica, const char *source, instant now)
    {
        const auto &cold = pacing.replicas.at(replica);
        hasAny = true;
        sent[replica] = 0;
        constraintLog.write("replica_cold",
                            {{"replica", replica.replica.value()},
                             {"life", replica.incarnation.value()},
                             {"learned_from", source},
                             {"cold_ms", (cold.coldUntil() - now).count()},
                             {"next_ms", (cold.nextSend - now).count()},
                             {"daemons", pacingDaemons(pacing.daemons, now)}});
    }
};

cold_replicas::cold_replicas(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

cold_replicas::~cold_replicas() = default;

void cold_replicas::turnOn(const cold_bound &bound, double share, std::function<std::optional<int>()> knownDaemons)
{
    d->pacing.bound = bound;
    d->pacing.share = share;
    d->knownDaemons = std::move(knownDaemons);
    d->isOn = true;
}

bool cold_replicas::isOn() const
{
    return d->isOn;
}

bool cold_replicas::hasAny() const
{
    return d->hasAny;
}

void cold_replicas::applyEntries(const replica_directory &directory, const route_table &routes)
{
    if (!d->isOn) {
        return;
    }
    const auto now = d->updateDaemons();
    const std::lock_guard lock(d->mutex);
    for (const auto &[id, replica] : directory.replicas) {
        const bool isCold = replica.coldUntil > now;
        if (!isCold && d->pacing.replicas.empty()) {
            continue;
        }
        const replica_key key{id, replica.incarnation};
        const auto *service = routes.findService(replica.service);
        if (service == nullptr || (!isCold && !d->pacing.replicas.contains(key))) {
            continue;
        }
        if (applyEntry(d->pacing, {key, replica.coldUntil, service->coldPerSecond}, randomNumber(), now)) {
            d->logCold(key, "entry", now);
        }
    }
}

void cold_replicas::applyNotice(const replica_key &replica, double perSecond, const cold_notice &notice)
{
    if (!notice.unreadable.empty()) {
        d->unreadable.increment();
        constraintLog.write("notice_unreadable", {{"replica", replica.replica.value()}, {"value", notice.unreadable}});
    }
    if (!notice.left) {
        return;
    }
    const auto now = d->updateDaemons();
    const std::lock_guard lock(d->mutex);
    if (applyHeader(d->pacing, {replica, now + *notice.left, perSecond}, randomNumber(), now)) {
        d->logCold(replica, "answer", now);
    }
}

void cold_replicas::removeWarm()
{
    if (!d->hasAny) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    for (const auto &replica : vetchpost::removeWarm(d->pacing, monotonicNow())) {
        constraintLog.write("replica_warm",
                            {{"replica", replica.replica.value()}, {"life", replica.incarnation.value()}, {"requests", d->sent[replica]}});
        d->sent.erase(replica);
    }
    d->hasAny = !d->pacing.replicas.empty();
}

replica_block cold_replicas::blockOf(const replica_key &replica, instant now) const
{
    if (!d->hasAny) {
        return {};
    }
    const std::lock_guard lock(d->mutex);
    return vetchpost::blockOf(d->pacing, replica, now);
}

bool cold_replicas::takeSend(const replica_key &replica)
{
    if (!d->hasAny) {
        return true;
    }
    const auto now = d->updateDaemons();
    const std::lock_guard lock(d->mutex);
    const bool isTaken = vetchpost::takeSend(d->pacing, replica, now);
    const auto counted = d->sent.find(replica);
    if (isTaken && counted != d->sent.end()) {
        ++counted->second;
    }
    return isTaken;
}

std::optional<cold_reservation> cold_replicas::reserveSend(const std::vector<replica_key> &replicas, instant until)
{
    const auto now = d->updateDaemons();
    const std::lock_guard lock(d->mutex);
    auto reserved = vetchpost::reserveSend(d->pacing, replicas, now, until);
    if (reserved) {
        ++d->sent[reserved->replica];
    }
    return reserved;
}

void cold_replicas::countPassedOver(std::size_t replicas) const
{
    d->passedOver.increment(static_cast<double>(replicas));
}

int cold_replicas::count() const
{
    if (!d->hasAny) {
        return 0;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    int cold = 0;
    for (const auto &[key, replica] : d->pacing.replicas) {
        cold += replica.coldUntil() > now ? 1 : 0;
    }
    return cold;
}

} // namespace vetchpost
