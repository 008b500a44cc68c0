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
/// The requests sent to a constrained replica are told this often.
constexpr duration sendingPeriod(1000);
/// How often what is out of date is looked for.
constexpr duration cleaningPeriod(10000);

replica_key keyOf(const backend &place)
{
    return {place.replica, place.life};
}

bool isAmong(const std::vector<instance_id> &tried, const backend &place)
{
    return std::find(tried.begin(), tried.end(), place.replica) != tried.end();
}

void count(closed_places &closed, closure_cause cause)
{
    closed.resting += cause == closure_cause::rest ? 1 : 0;
    closed.limited += cause == closure_cause::limit ? 1 : 0;
    closed.leaving += cause == closure_cause::leaving ? 1 : 0;
}

/// Requests that this daemon sent to one constrained replica.
struct sending_count
{
    int sent = 0;
    instant since;
};

} // namespace

std::string closed_places::text() const
{
    return resting + limited + leaving == 0 ? std::string() : fmt::format("{} rest, {} limited, {} leave", resting, limited, leaving);
}

struct shared_constraints::private_data
{
    mutable std::mutex mutex;
    mutable std::condition_variable answered;
    replica_constraints table;
    table_sync<replica_constraints> spread;
    permit_issuer issuer;
    permit_wallet wallet;
    std::map<replica_key, sending_count> sendings;
    instant cleanedAt;
    /// Whether anything is known at all: without it most requests take no lock.
    std::atomic<bool> hasAny = false;
    std::function<void()> didLearnLeaving;
    /// Lists have told of departures that didLearnLeaving has not been called for.
    std::atomic<bool> hasLeavingToTell = false;
    counter limits;
    counter rests;
    counter departures;
    counter unreadable;
    counter issued;
    counter used;
    counter denied;

    private_data(metrics &counters, std::function<void()> tellLeaving)
        : didLearnLeaving(std::move(tellLeaving))
        , limits(addNoticeCounter(counters, "limit"))
        , rests(addNoticeCounter(counters, "rest"))
        , departures(addNoticeCounter(counters, "leaving"))
        , unreadable(addNoticeCounter(counters, "unreadable"))
        , issued(addPermitCounter(counters, "issued"))
        , used(addPermitCounter(counters, "used"))
        , denied(addPermitCounter(counters, "denied"))
    {
    }

    static counter addNoticeCounter(metrics &counters, const std::string &kind)
    {
        return counters.addCounter(
            "vetchpost_replica_notices_total", "Answers in which a replica said anew what it can take.", {{"kind", kind}});
    }

    static counter addPermitCounter(metrics &counters, const std::string &what)
    {
        return counters.addCounter(
            "vetchpost_permits_total", "Permits for requests to replicas that have named a limit.", {{"what", what}});
    }

    void tell(const replica_key &replica, const replica_notice &notice, const constraint_change &change, const request_id &request) const
    {
        const auto &constraint = table.known.at(replica);
        limits.increment(change.hasLimit ? 1 : 0);
        rests.increment(change.hasRest ? 1 : 0);
        departures.increment(change.isLeaving ? 1 : 0);
        constraintLog.writeKept("replica_notice",
                                {{"replica", replica.replica.value()},
                                 {"life", replica.life.value()},
                                 {"limit", constraint.rateLimit.value_or(-1)},
                                 {"rest_ms", notice.rest.value_or(duration(0)).count()},
                                 {"leaving", constraint.isLeaving},
                                 {"request", request.value()}});
    }

    static void tellReport(const constraint_report &report)
    {
        constraintLog.write("notice_heard",
                            {{"replica", report.replica.replica.value()},
                             {"life", report.replica.life.value()},
                             {"limit", report.rateLimit.value_or(-1)},
                             {"age_ms", report.rateAge.count()},
                             {"leaving", report.isLeaving}});
    }

    /// The mutex is held.
    void countSending(const replica_key &replica, instant now)
    {
        auto &counted = sendings[replica];
        if (now - counted.since >= sendingPeriod) {
            if (counted.sent > 0) {
                constraintLog.write("sent_to_constrained", {{"replica", replica.replica.value()}, {"requests", counted.sent}});
            }
            counted = {0, now};
        }
        ++counted.sent;
    }

    /// The mutex is held.
    void clean(instant now)
    {
        if (now - cleanedAt < cleaningPeriod) {
            return;
        }
        cleanedAt = now;
        forgetOld(table, now);
        keepLimited(issuer, table);
        keepLimited(wallet, table);
        std::erase_if(sendings, [&](const auto &entry) { return !table.known.contains(entry.first); });
        hasAny = !table.known.empty();
    }
};

shared_constraints::shared_constraints(metrics &counters, std::function<void()> didLearnLeaving)
    : d(std::make_unique<private_data>(counters, std::move(didLearnLeaving)))
{
}

shared_constraints::~shared_constraints() = default;

bool shared_constraints::noteAnswer(const replica_key &replica, const replica_notice &notice, const request_id &request)
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
        change = vetchpost::noteAnswer(d->table, replica, notice, monotonicNow());
        if (change.isAny()) {
            d->tell(replica, notice, change, request);
        }
        d->hasAny = !d->table.known.empty();
    }
    if (change.isLeaving) {
        d->didLearnLeaving();
    }
    return change.hasLimit || change.isLeaving;
}

bool shared_constraints::noteDepartures(const std::vector<replica_key> &replicas)
{
    const std::lock_guard lock(d->mutex);
    const bool isNews = vetchpost::noteDepartures(d->table, replicas, monotonicNow());
    d->hasAny = !d->table.known.empty();
    return isNews;
}

void shared_constraints::noteSent(const backend &place)
{
    if (!d->hasAny) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    const auto replica = keyOf(place);
    if (findConstraint(d->table, replica) != nullptr) {
        d->countSending(replica, monotonicNow());
    }
}

closed_places shared_constraints::closedPlaces(const std::vector<backend> &candidates, const std::vector<instance_id> &tried) const
{
    closed_places closed;
    if (!d->hasAny) {
        return closed;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    // One key for all: of thousands of places each would need memory for its own.
    replica_key replica;
    for (const auto &place : candidates) {
        replica.replica = place.replica;
        replica.life = place.life;
        const auto closure = isAmong(tried, place) ? place_closure() : closureOf(d->table, d->wallet, replica, now);
        if (closure.cause == closure_cause::none) {
            continue;
        }
        closed.replicas.push_back(place.replica);
        count(closed, closure.cause);
        if (closure.until) {
            closed.opensAt = std::min(closed.opensAt.value_or(*closure.until), *closure.until);
        }
    }
    return closed;
}

std::optional<permit_question>
shared_constraints::wantPermit(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw)
{
    if (!d->hasAny) {
        return std::nullopt;
    }
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &place = candidates[(i + draw) % candidates.size()];
        const auto replica = keyOf(place);
        if (isAmong(tried, place) || closureOf(d->table, d->wallet, replica, now).cause != closure_cause::limit) {
            continue;
        }
        if (auto question = vetchpost::wantPermit(d->wallet, replica, now)) {
            question->report = evidenceOf(replica, *findConstraint(d->table, replica), now);
            return question;
        }
    }
    return std::nullopt;
}

bool shared_constraints::takePermit(const backend &place)
{
    if (!d->hasAny) {
        return true;
    }
    const std::lock_guard lock(d->mutex);
    const auto replica = keyOf(place);
    const auto *known = findConstraint(d->table, replica);
    if (known == nullptr || !known->rateLimit) {
        return true;
    }
    const bool isTaken = vetchpost::takePermit(d->wallet, replica, monotonicNow());
    d->used.increment(isTaken ? 1 : 0);
    return isTaken;
}

void shared_constraints::awaitPermit(instant until) const
{
    std::unique_lock lock(d->mutex);
    const auto wait = until - monotonicNow();
    if (wait > duration()) {
        d->answered.wait_for(lock, std::min(wait, longestWait));
    }
}

std::vector<feed_datagram> shared_constraints::due(const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    d->clean(now);
    return collectDueBatches(d->spread, d->table, source, followers, now);
}

feed_datagram shared_constraints::take(const constraint_batch &list, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    const auto before = d->table.changes;
    auto receipt = applyBatch(d->spread, d->table, list, from, monotonicNow());
    for (const auto &report : list.reports) {
        const auto *known = findConstraint(d->table, report.replica);
        if (known != nullptr && known->changed > before) {
            d->tellReport(report);
            d->hasLeavingToTell = d->hasLeavingToTell || known->isLeaving;
        }
    }
    d->hasAny = !d->table.known.empty();
    return receipt;
}

void shared_constraints::tellLearned()
{
    if (d->hasLeavingToTell.exchange(false)) {
        d->didLearnLeaving();
    }
}

void shared_constraints::take(const constraint_ack &receipt, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    applyAck(d->spread, receipt, from);
}

permit_answer shared_constraints::issue(const permit_question &question, const endpoint &asker)
{
    const std::lock_guard lock(d->mutex);
    auto answer = answerQuestion(d->issuer, d->table, question, asker, monotonicNow());
    d->hasAny = !d->table.known.empty();
    d->issued.increment(answer.granted);
    return answer;
}

void shared_constraints::take(const permit_answer &answer)
{
    {
        const std::lock_guard lock(d->mutex);
        if (takeAnswer(d->wallet, answer, monotonicNow()) && answer.granted == 0) {
            d->denied.increment();
        }
    }
    d->answered.notify_all();
}

void shared_constraints::beginIssuing()
{
    const std::lock_guard lock(d->mutex);
    d->issuer = {};
}

std::set<replica_key> shared_constraints::leaving() const
{
    std::set<replica_key> result;
    const std::lock_guard lock(d->mutex);
    for (const auto &[replica, constraint] : d->table.known) {
        if (constraint.isLeaving) {
            result.insert(replica);
        }
    }
    return result;
}

closed_places shared_constraints::counts() const
{
    closed_places counted;
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    for (const auto &[replica, constraint] : d->table.known) {
        counted.resting += now < constraint.restsUntil ? 1 : 0;
        counted.limited += constraint.rateLimit ? 1 : 0;
        counted.leaving += constraint.isLeaving ? 1 : 0;
    }
    return counted;
}

} // namespace vetchpost
