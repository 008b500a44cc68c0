// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/shared_constraints.h"

#include "Libraries/Base/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log constraintLog("constraint");
/// How often the number of requests sent to a constrained replica is logged.
constexpr duration sendCountLogPeriod(1000);
/// How often outdated entries are removed.
constexpr duration cleanupPeriod(10000);

bool wasTried(const std::vector<instance_id> &tried, const backend &target)
{
    return std::find(tried.begin(), tried.end(), target.replica) != tried.end();
}

void count(blocked_backends &blocked, block_cause cause)
{
    blocked.inBackoff += cause == block_cause::backoff ? 1 : 0;
    blocked.limited += cause == block_cause::limit ? 1 : 0;
    blocked.leaving += cause == block_cause::leaving ? 1 : 0;
}

/// The number of requests that this daemon sent to a constrained replica since a time.
struct send_count
{
    int sent = 0;
    instant since;
};

} // namespace

std::string blocked_backends::text() const
{
    if (inBackoff + limited + leaving == 0 && cold.empty()) {
        return {};
    }
    const auto text = fmt::format("{} rest, {} limited, {} leave", inBackoff, limited, leaving);
    return cold.empty() ? text : text + fmt::format(", {} cold", cold.size());
}

struct shared_constraints::private_data
{
    mutable std::mutex mutex;
    mutable std::condition_variable answered;
    replica_constraints table;
    table_sync<replica_constraints> sync;
    permit_issuer issuer;
    permit_holder permitHolder;
    cold_replicas cold;
    std::map<replica_key, send_count> sendCounts;
    instant cleanedAt;
    /// Whether any constraint is known. While there is none, requests need not lock the mutex.
    std::atomic<bool> hasAny = false;
    std::function<void()> didLearnLeaving;
    /// Whether received batches contained departures for which didLearnLeaving has not been called yet.
    std::atomic<bool> hasPendingDepartures = false;
    counter limits;
    counter backoffs;
    counter departures;
    counter unreadable;
    counter issued;
    counter used;
    counter denied;

    private_data(metrics &counters, std::function<void()> leavingListener)
        : cold(counters)
        , didLearnLeaving(std::move(leavingListener))
        , limits(addNoticeCounter(counters, "limit"))
        , backoffs(addNoticeCounter(counters, "rest"))
        , departures(addNoticeCounter(counters, "leaving"))
        , unreadable(addNoticeCounter(counters, "unreadable"))
        , issued(addPermitCounter(counters, "issued"))
        , used(addPermitCounter(counters, "used"))
        , denied(addPermitCounter(counters, "denied"))
    {
    }

    static counter addNoticeCounter(metrics &counters, const std::string &kind)
    {
        return counters.addCounter("vetchpost_replica_notices_total", "Answers of replicas with new constraints.", {{"kind", kind}});
    }

    static counter addPermitCounter(metrics &counters, const std::string &what)
    {
        return counters.addCounter("vetchpost_permits_total", "Permits for requests to replicas with a rate limit.", {{"what", what}});
    }

    /// Counts and logs a constraint that an answer changed. Requires the mutex to be held.
    void
    logNotice(const replica_key &replica, const replica_notice &notice, const constraint_change &change, const request_id &request) const
    {
        const auto &constraint = table.entries.at(replica);
        limits.increment(change.hasLimit ? 1 : 0);
        backoffs.increment(change.hasBackoff ? 1 : 0);
        departures.increment(change.isLeaving ? 1 : 0);
        constraintLog.writeEssential("replica_notice",
                                     {{"replica", replica.replica.value()},
                                      {"life", replica.incarnation.value()},
                                      {"limit", constraint.rateLimit.value_or(-1)},
                                      {"rest_ms", notice.backoff.value_or(duration(0)).count()},
                                      {"leaving", constraint.isLeaving},
                                      {"request", request.value()}});
    }

    static void logReport(const constraint_report &report)
    {
        constraintLog.write("notice_heard",
                            {{"replica", report.replica.replica.value()},
                             {"life", report.replica.incarnation.value()},
                             {"limit", report.rateLimit.value_or(-1)},
                             {"age_ms", report.rateAge.count()},
                             {"leaving", report.isLeaving}});
    }

    /// Counts a sent request, and logs and restarts the count once a period. Requires the mutex to be held.
    void countSentRequest(const replica_key &replica, instant now)
    {
        auto &counted = sendCounts[replica];
        if (now - counted.since >= sendCountLogPeriod) {
            if (counted.sent > 0) {
                constraintLog.write("sent_to_constrained", {{"replica", replica.replica.value()}, {"requests", counted.sent}});
            }
            counted = {0, now};
        }
        ++counted.sent;
    }

    /// Removes outdated entries at most once a period. Requires the mutex to be held.
    void clean(instant now)
    {
        if (now - cleanedAt < cleanupPeriod) {
            return;
        }
        cleanedAt = now;
        expireEntries(table, now);
        removeUnlimited(issuer, table);
        removeUnlimited(permitHolder, table);
        std::erase_if(sendCounts, [&](const auto &entry) { return !table.entries.contains(entry.first); });
        hasAny = !table.entries.empty();
    }
};

shared_constraints::shared_constraints(metrics &counters, std::function<void()> didLearnLeaving)
    : d(std::make_unique<private_data>(counters, std::move(didLearnLeaving)))
{
}

shared_constraints::~shared_constraints() = default;

bool shared_constraints::applyNotice(const replica_key &replica, const replica_notice &notice, const request_id &request)
{
    if (notice.isEmpty() && !d->hasAny) {
        return false;
    }
    constraint_change change;
    {
        const std::lock_guard lock(d->mutex);
        if (!notice.unreadable.empty()) {
            d->unreadable.increment();
            constraintLog.write("notice_unreadable", {{"replica", replica.replica.value()}, {"value", notice.unreadable}});
        }
        change = vetchpost::applyNotice(d->table, replica, notice, monotonicNow());
        if (change.isAny()) {
            d->logNotice(replica, notice, change, request);
        }
        d->hasAny = !d->table.entries.empty();
    }
    if (change.isLeaving) {
        d->didLearnLeaving();
    }
    return change.hasLimit || change.isLeaving;
}

bool shared_constraints::recordDepartures(const std::vector<replica_key> &replicas)
{
    const std::lock_guard lock(d->mutex);
    const bool isNews = vetchpost::recordDepartures(d->table, replicas, monotonicNow());
    d->hasAny = !d->table.entries.empty();
    return isNews;
}

void shared_constraints::recordSent(const backend &target)
{
    if (!d->hasAny) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    const auto replica = keyOf(target);
    if (findConstraint(d->table, replica) != nullptr) {
        d->countSentRequest(replica, monotonicNow());
    }
}

blocked_backends shared_constraints::blockedBackends(const std::vector<backend> &candidates, const std::vector<instance_id> &tried) const
{
    blocked_backends blocked;
    const bool hasCold = d->cold.hasAny();
    if (!d->hasAny && !hasCold) {
        return blocked;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    // One key is reused: a new one for each of thousands of backends would allocate memory.
    replica_key replica;
    for (const auto &target : candidates) {
        replica.replica = target.replica;
        replica.incarnation = target.incarnation;
        if (wasTried(tried, target)) {
            continue;
        }
        auto block = blockOf(d->table, d->permitHolder, replica, now);
        if (hasCold && block.cause == block_cause::none) {
            block = d->cold.blockOf(replica, now);
        }
        if (block.cause == block_cause::none) {
            continue;
        }
        blocked.replicas.push_back(target.replica);
        count(blocked, block.cause);
        if (block.cause == block_cause::cold) {
            blocked.cold.push_back(replica);
        }
        if (block.until) {
            blocked.unblockedAt = std::min(blocked.unblockedAt.value_or(*block.until), *block.until);
        }
    }
    return blocked;
}

std::optional<permit_request>
shared_constraints::nextPermitRequest(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw)
{
    if (!d->hasAny) {
        return std::nullopt;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &target = candidates[(i + draw) % candidates.size()];
        const auto replica = keyOf(target);
        if (wasTried(tried, target) || blockOf(d->table, d->permitHolder, replica, now).cause != block_cause::limit) {
            continue;
        }
        if (auto request = vetchpost::nextPermitRequest(d->permitHolder, replica, now)) {
            request->report = makeReport(replica, *findConstraint(d->table, replica), now);
            return request;
        }
    }
    return std::nullopt;
}

bool shared_constraints::consumePermit(const backend &target)
{
    if (!d->hasAny) {
        return true;
    }
    const std::lock_guard lock(d->mutex);
    const auto replica = keyOf(target);
    const auto *known = findConstraint(d->table, replica);
    if (known == nullptr || !known->rateLimit) {
        return true;
    }
    const bool isTaken = vetchpost::consumePermit(d->permitHolder, replica, monotonicNow());
    d->used.increment(isTaken ? 1 : 0);
    return isTaken;
}

void shared_constraints::awaitPermit(instant until) const
{
    std::unique_lock lock(d->mutex);
    const auto wait = until - monotonicNow();
    if (wait > duration()) {
        d->answered.wait_for(lock, std::min(wait, maxSteadyWait));
    }
}

std::vector<feed_datagram> shared_constraints::dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    d->cold.removeWarm();
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    d->clean(now);
    return collectDueBatches(d->sync, d->table, source, followers, now);
}

feed_datagram shared_constraints::receiveBatch(const constraint_batch &batch, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    const auto before = d->table.changes;
    auto ack = applyBatch(d->sync, d->table, batch, from, monotonicNow());
    for (const auto &report : batch.reports) {
        const auto *known = findConstraint(d->table, report.replica);
        if (known != nullptr && known->changed > before) {
            d->logReport(report);
            d->hasPendingDepartures = d->hasPendingDepartures || known->isLeaving;
        }
    }
    d->hasAny = !d->table.entries.empty();
    return ack;
}

void shared_constraints::notifyDepartures()
{
    if (d->hasPendingDepartures.exchange(false)) {
        d->didLearnLeaving();
    }
}

void shared_constraints::receiveAck(const constraint_ack &ack, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    applyAck(d->sync, ack, from);
}

permit_response shared_constraints::issue(const permit_request &request, const endpoint &requester)
{
    const std::lock_guard lock(d->mutex);
    auto response = answerPermitRequest(d->issuer, d->table, request, requester, monotonicNow());
    d->hasAny = !d->table.entries.empty();
    d->issued.increment(response.granted);
    return response;
}

void shared_constraints::addPermits(const permit_response &response)
{
    {
        const std::lock_guard lock(d->mutex);
        if (acceptResponse(d->permitHolder, response, monotonicNow()) && response.granted == 0) {
            d->denied.increment();
        }
    }
    d->answered.notify_all();
}

void shared_constraints::resetPermits()
{
    const std::lock_guard lock(d->mutex);
    d->issuer = {};
}

cold_replicas &shared_constraints::cold() const
{
    return d->cold;
}

std::set<replica_key> shared_constraints::leaving() const
{
    std::set<replica_key> result;
    const std::lock_guard lock(d->mutex);
    for (const auto &[replica, constraint] : d->table.entries) {
        if (constraint.isLeaving) {
            result.insert(replica);
        }
    }
    return result;
}

blocked_backends shared_constraints::counts() const
{
    blocked_backends counted;
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    for (const auto &[replica, constraint] : d->table.entries) {
        counted.inBackoff += now < constraint.backoffUntil ? 1 : 0;
        counted.limited += constraint.rateLimit ? 1 : 0;
        counted.leaving += constraint.isLeaving ? 1 : 0;
    }
    return counted;
}

} // namespace vetchpost
