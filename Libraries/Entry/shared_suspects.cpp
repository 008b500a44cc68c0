// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/shared_suspects.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Requests/recent_answers.h"

#include <fmt/ranges.h>

#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log crashLog("crash");

std::string textOf(const std::set<replica_end> &ends)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(ends.size());
    for (const auto end : ends) {
        numbers.push_back(end.value());
    }
    return fmt::format("{}", fmt::join(numbers, " "));
}

} // namespace

struct shared_suspects::private_data
{
    mutable std::mutex mutex;
    crash_suspects table;
    table_sync<crash_suspects> sync;
    recent_answers answers;
    std::atomic<bool> hasAny = false;
    counter ends;
    counter refusals;
    counter cleared;
    counter dropped;

    explicit private_data(metrics &counters)
        : ends(counters.addCounter("vetchpost_suspect_ends_total", "Lost attempts whose replica had ended, as seen by this daemon."))
        , refusals(counters.addCounter("vetchpost_crashing_requests_total", "Requests that this daemon learned to refuse."))
        , cleared(counters.addCounter("vetchpost_crashing_requests_cleared_total", "Refused requests that are allowed again."))
        , dropped(counters.addCounter("vetchpost_suspects_dropped_total", "Suspects dropped because the table was full."))
    {
    }

    /// Clears requests that this daemon saw answered recently of a suspicion that would concern all daemons. Requires the mutex to be held.
    void clearAnsweredRequests()
    {
        std::vector<request_identity> answered;
        for (const auto &[request, suspect] : table.suspects) {
            if (!suspect.ends.empty() && mustBeShared(suspect) && consumeAnswer(answers, request, monotonicNow())) {
                answered.push_back(request);
            }
        }
        for (const auto &request : answered) {
            vetchpost::clearSuspect(table, request);
        }
    }

    /// Calls \a make, which changes the table, and logs and counts the requests that are newly refused or allowed, with the reason \a why.
    /// Requires the mutex to be held.
    template <class Change>
    auto change(std::string_view why, const Change &make)
    {
        const auto before = table.refused;
        const auto droppedBefore = table.evicted;
        auto result = make();
        clearAnsweredRequests();
        for (const auto &request : table.refused) {
            if (!before.contains(request)) {
                const auto &suspect = table.suspects.at(request);
                refusals.increment();
                crashLog.writeEssential("request_refused",
                                        {{"identity", request.value()},
                                         {"organisation", suspect.organisation.value()},
                                         {"ends", textOf(suspect.ends)},
                                         {"why", why}});
            }
        }
        for (const auto &request : before) {
            if (!table.refused.contains(request)) {
                cleared.increment();
                crashLog.writeEssential("request_allowed", {{"identity", request.value()}, {"why", why}});
            }
        }
        dropped.increment(static_cast<double>(table.evicted - droppedBefore));
        hasAny = !table.suspects.empty();
        return result;
    }
};

shared_suspects::shared_suspects(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

shared_suspects::~shared_suspects() = default;

bool shared_suspects::hasAny() const
{
    return d->hasAny;
}

bool shared_suspects::isSuspected(const request_identity &request) const
{
    const std::lock_guard lock(d->mutex);
    const auto found = d->table.suspects.find(request);
    return found != d->table.suspects.end() && !found->second.ends.empty();
}

std::optional<duration> shared_suspects::refusedFor(const request_identity &request) const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::refusedFor(d->table, request, monotonicNow());
}

void shared_suspects::recordReplicaEnd(const request_identity &request, const organisation_id &organisation, replica_end end)
{
    const std::lock_guard lock(d->mutex);
    d->ends.increment();
    d->change("a replica ended under it here", [&] {
        const auto now = monotonicNow();
        expireEntries(d->table, now);
        vetchpost::recordReplicaEnd(d->table, request, organisation, end, now);
        return true;
    });
}

void shared_suspects::recordCompletion(const request_identity &request)
{
    const std::lock_guard lock(d->mutex);
    recordAnswer(d->answers, request, monotonicNow());
    if (d->table.suspects.contains(request)) {
        d->change("it was answered whole here", [&] { return vetchpost::clearSuspect(d->table, request); });
    }
}

void shared_suspects::setExplained(const std::set<replica_end> &ends)
{
    const std::lock_guard lock(d->mutex);
    d->change("a part of prompts explains ends", [&] {
        vetchpost::setExplained(d->table, ends);
        return true;
    });
}

bool shared_suspects::allow(const request_identity &request)
{
    const std::lock_guard lock(d->mutex);
    return d->change("an operator allows it", [&] { return vetchpost::clearSuspect(d->table, request); });
}

std::vector<suspect_report> shared_suspects::refused() const
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    std::vector<suspect_report> result;
    for (const auto &request : d->table.refused) {
        if (isRefused(d->table, request, now)) {
            result.push_back(makeReport(request, d->table.suspects.at(request), now));
        }
    }
    return result;
}

void shared_suspects::mergePersisted(const std::vector<suspect_report> &evidence)
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    d->change("the key-value service keeps it", [&] {
        for (const auto &persisted : evidence) {
            mergeReport(d->table, persisted, now);
        }
        expireEntries(d->table, now);
        return true;
    });
}

std::vector<feed_datagram> shared_suspects::dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    const std::lock_guard lock(d->mutex);
    return collectDueBatches(d->sync, d->table, source, followers, monotonicNow());
}

feed_datagram shared_suspects::receiveBatch(const suspect_batch &batch, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    return d->change("another daemon tells of it", [&] { return applyBatch(d->sync, d->table, batch, from, monotonicNow()); });
}

void shared_suspects::receiveAck(const suspect_ack &ack, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    applyAck(d->sync, ack, from);
}

} // namespace vetchpost
