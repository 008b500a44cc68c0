// SPDX-License-Identifier: Apache-2.0
// Checks of the notices in replicas' answers: rate limits, backoffs and that a replica leaves.
#include "Tests/Soak/fact_queries.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace vetchpost::test {

namespace {

/// A request's arrival at a replica, with the daemon that sent it.
struct replica_arrival
{
    instant at;
    instant clientSentAt;
    int daemon = 0;
    request_id attempt;
};

/// The time during which a replica had a rate limit, and the limit in requests per second.
struct limit_span
{
    instant from;
    instant until;
    double value = 0;
};

using attempts_by_id = std::map<request_id, const attempt_fact *>;

/// Returns the arrivals of clients' requests for each replica, in the order of the recorded facts.
std::map<instance_id, std::vector<replica_arrival>> arrivalsByReplica(const soak_facts &facts, const attempts_by_id &attempts)
{
    std::map<instance_id, std::vector<replica_arrival>> result;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what == "arrived" && attempt != attempts.end()) {
            result[event.replica].push_back({event.at, attempt->second->sentAt, attempt->second->daemon, event.attempt});
        }
    }
    return result;
}

/// Returns whether the event starts or ends a process of the replica. The notices of one process do not hold for the next one, even under
/// the same id.
bool endsIncarnation(const platform_event &event)
{
    return event.what == "started" || event.what == "gone";
}

/// Returns for each replica the times during which it had a rate limit.
std::map<instance_id, std::vector<limit_span>> limitSpans(const soak_facts &facts)
{
    std::map<instance_id, std::vector<limit_span>> result;
    for (const auto &event : facts.events) {
        const bool begins = event.what == "limit_begins";
        auto &spans = result[event.replica];
        if ((begins || event.what == "limit_ends" || endsIncarnation(event)) && !spans.empty()) {
            spans.back().until = std::min(spans.back().until, event.at);
        }
        if (begins) {
            spans.push_back({event.at, facts.endedAt, event.value});
        }
    }
    return result;
}

/// Returns when the process that sent the notice ended, or the end of the run if it did not.
instant endOfIncarnation(const soak_facts &facts, const platform_event &notice)
{
    auto end = facts.endedAt;
    for (const auto &event : facts.events) {
        if (event.replica == notice.replica && endsIncarnation(event) && event.at > notice.at) {
            end = std::min(end, event.at);
        }
    }
    return end;
}

/// Returns whether a restart, a freeze or a planned stop of the daemon in [since, until] excuses it: it may have lost the notice.
bool isExcused(const soak_facts &facts, int daemon, instant since, instant until)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        const bool affectsProcess
            = fault.kind == disturbance_kind::process || fault.kind == disturbance_kind::absence || fault.kind == disturbance_kind::planned;
        return affectsProcess && mayAffect(fault, daemon) && overlaps(fault, since, until);
    });
}

/// Returns for each daemon when it first received an answer with the replica's rate limit within the span.
std::map<int, instant>
firstLimitReports(const soak_facts &facts, const instance_id &replica, const limit_span &span, const attempts_by_id &attempts)
{
    std::map<int, instant> reportedAt;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        const bool reportsLimit = event.what == "told_limit" && event.replica == replica && event.at >= span.from && event.at < span.until;
        if (reportsLimit && attempt != attempts.end()) {
            reportedAt.try_emplace(attempt->second->daemon, event.at);
        }
    }
    return reportedAt;
}

} // namespace

broken_promises checkLimits(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    const auto arrivals = arrivalsByReplica(facts, attempts);
    for (const auto &[replica, spans] : limitSpans(facts)) {
        for (const auto &span : spans) {
            const auto reportedAt = firstLimitReports(facts, replica, span, attempts);
            std::vector<replica_arrival> counted;
            for (const auto &arrival : arrivals.contains(replica) ? arrivals.at(replica) : std::vector<replica_arrival>()) {
                const auto report = reportedAt.find(arrival.daemon);
                const bool isCounted
                    = report != reportedAt.end() && arrival.at >= report->second + bounds.noticeDelay && arrival.at < span.until;
                if (isCounted && !isExcused(facts, arrival.daemon, report->second, arrival.at)) {
                    counted.push_back(arrival);
                }
            }
            const auto windowSeconds = secondsOf(bounds.limitWindow);
            const auto allowed = span.value * windowSeconds * bounds.limitFactor + bounds.limitSlack;
            for (const auto &last : counted) {
                const auto count = std::count_if(counted.begin(), counted.end(), [&](const replica_arrival &next) {
                    return next.at <= last.at && last.at - next.at < bounds.limitWindow;
                });
                if (last.at >= span.from + bounds.settlingTime && static_cast<double>(count) > allowed) {
                    broken.push_back({"all daemons together keep to a replica's limit",
                                      fmt::format("{} named {} a second and got {} in a window", replica.value(), span.value, count),
                                      last.attempt});
                    break;
                }
            }
        }
    }
    return broken;
}

broken_promises checkBackoffs(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    const auto arrivals = arrivalsByReplica(facts, attempts);
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what != "told_rest" || attempt == attempts.end() || !arrivals.contains(event.replica)) {
            continue;
        }
        const auto daemon = attempt->second->daemon;
        const auto backoff = duration(static_cast<std::int64_t>(event.value * 1000));
        const auto until = std::min(event.at + backoff, endOfIncarnation(facts, event));
        const auto &all = arrivals.at(event.replica);
        const auto count = std::count_if(all.begin(), all.end(), [&](const replica_arrival &arrival) {
            return arrival.daemon == daemon && arrival.at > event.at + bounds.noticeDelay && arrival.at < until;
        });
        if (count > bounds.backoffSends && !isExcused(facts, daemon, event.at, until)) {
            broken.push_back(
                {"a replica that asked for rest gets it",
                 fmt::format("{} asked daemon {} for {} s and got {} requests", event.replica.value(), daemon, event.value, count),
                 event.attempt});
        }
    }
    return broken;
}

broken_promises checkLeaveNotices(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    const auto arrivals = arrivalsByReplica(facts, attempts);
    std::set<std::tuple<instance_id, int, instant>> checked;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what != "told_leaving" || attempt == attempts.end() || !arrivals.contains(event.replica)) {
            continue;
        }
        const auto daemon = attempt->second->daemon;
        const auto until = endOfIncarnation(facts, event);
        if (!checked.emplace(event.replica, daemon, until).second) {
            continue;
        }
        for (const auto &arrival : arrivals.at(event.replica)) {
            const bool isLate = arrival.daemon == daemon && arrival.clientSentAt > event.at + bounds.drain && arrival.at < until;
            if (isLate && !isExcused(facts, daemon, event.at, arrival.at)) {
                broken.push_back({"a daemon that was told of a departure sends nothing there",
                                  fmt::format("{} had told daemon {}", event.replica.value(), daemon),
                                  arrival.attempt});
                break;
            }
        }
    }
    return broken;
}

} // namespace vetchpost::test
