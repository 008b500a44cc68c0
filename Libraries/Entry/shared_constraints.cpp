// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/shared_constraints.h"

#include "Libraries/Base/event_log.h"

#include <atomic>
#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log constraintLog("constraint");
/// The requests sent to a constrained replica are told this often.
constexpr duration sendingPeriod(1000);

replica_key keyOf(const backend &place)
{
    return {place.replica, place.life};
}

/// Requests that this daemon sent to one constrained replica.
struct sending_count
{
    int sent = 0;
    instant since;
};

} // namespace

struct shared_constraints::private_data
{
    mutable std::mutex mutex;
    replica_constraints table;
    std::map<replica_key, sending_count> sendings;
    /// Whether anything is known at all: without it most requests take no lock.
    std::atomic<bool> hasAny = false;
    counter limits;
    counter rests;
    counter departures;
    counter unreadable;

    explicit private_data(metrics &counters)
        : limits(addNoticeCounter(counters, "limit"))
        , rests(addNoticeCounter(counters, "rest"))
        , departures(addNoticeCounter(counters, "leaving"))
        , unreadable(addNoticeCounter(counters, "unreadable"))
    {
    }

    static counter addNoticeCounter(metrics &counters, const std::string &kind)
    {
        return counters.addCounter(
            "vetchpost_replica_notices_total", "Answers in which a replica said anew what it can take.", {{"kind", kind}});
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

    /// The mutex is held.
    void countSending(const replica_key &replica, instant now)
    {
        auto &count = sendings[replica];
        if (now - count.since >= sendingPeriod) {
            if (count.sent > 0) {
                constraintLog.write("sent_to_constrained", {{"replica", replica.replica.value()}, {"requests", count.sent}});
            }
            count = {0, now};
        }
        ++count.sent;
    }
};

shared_constraints::shared_constraints(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

shared_constraints::~shared_constraints() = default;

void shared_constraints::noteAnswer(const backend &place, const replica_notice &notice, const request_id &request)
{
    if (notice.isEmpty() && !d->hasAny) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    const auto replica = keyOf(place);
    if (!notice.unreadable.empty()) {
        d->unreadable.increment();
        constraintLog.write("notice_unreadable", {{"replica", replica.replica.value()}, {"value", notice.unreadable}});
    }
    const auto change = vetchpost::noteAnswer(d->table, replica, notice, monotonicNow());
    if (change.isAny()) {
        d->tell(replica, notice, change, request);
    }
    d->hasAny = !d->table.known.empty();
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

} // namespace vetchpost
