// SPDX-License-Identifier: Apache-2.0
// The checks of what replicas said of themselves: limits, rests and departures.
#include "Tests/Soak/fact_queries.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace vetchpost::test {

namespace {

/// One request that reached a replica, and who had sent it.
struct sent_arrival
{
    instant at;
    instant clientSentAt;
    int daemon = 0;
    request_id attempt;
};

/// From one event on until the next that ends what it began.
struct event_span
{
    instant from;
    instant until;
    double value = 0;
};

using daemon_of_attempt = std::map<request_id, const attempt_fact *>;

std::map<instance_id, std::vector<sent_arrival>> arrivalsByReplica(const soak_facts &facts, const daemon_of_attempt &attempts)
{
    std::map<instance_id, std::vector<sent_arrival>> result;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what == "arrived" && attempt != attempts.end()) {
            result[event.replica].push_back({event.at, attempt->second->sentAt, attempt->second->daemon, event.attempt});
        }
    }
    return result;
}

/// A replica that starts again, also under its id, knows nothing of before.
bool endsIncarnation(const platform_event &event)
{
    return event.what == "started" || event.what == "gone";
}

std::map<instance_id, std::vector<event_span>> limitSpans(const soak_facts &facts)
{
    std::map<instance_id, std::vector<event_span>> result;
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

/// When the life ended in which a replica said something.
instant endOfIncarnation(const soak_facts &facts, const platform_event &said)
{
    auto end = facts.endedAt;
    for (const auto &event : facts.events) {
        if (event.replica == said.replica && endsIncarnation(event) && event.at > said.at) {
            end = std::min(end, event.at);
        }
    }
    return end;
}

/// Whether a restart, a freeze or a planned stop since then excuses the daemon.
bool isExcused(const soak_facts &facts, int daemon, instant since, instant until)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        const bool isOfProcess
            = fault.kind == disturbance_kind::process || fault.kind == disturbance_kind::absence || fault.kind == disturbance_kind::planned;
        return isOfProcess && strikes(fault, daemon) && overlaps(fault, since, until);
    });
}

/// When each daemon first had an answer of the replica that told the limit, within a span.
std::map<int, instant>
toldInSpan(const soak_facts &facts, const instance_id &replica, const event_span &span, const daemon_of_attempt &attempts)
{
    std::map<int, instant> told;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        const bool tells = event.what == "told_limit" && event.replica == replica && event.at >= span.from && event.at < span.until;
        if (tells && attempt != attempts.end()) {
            told.try_emplace(attempt->second->daemon, event.at);
        }
    }
    return told;
}

} // namespace

broken_promises checkLimits(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    const auto arrivals = arrivalsByReplica(facts, attempts);
    for (const auto &[replica, spans] : limitSpans(facts)) {
        for (const auto &span : spans) {
            const auto told = toldInSpan(facts, replica, span, attempts);
            std::vector<sent_arrival> counted;
            for (const auto &arrival : arrivals.contains(replica) ? arrivals.at(replica) : std::vector<sent_arrival>()) {
                const auto known = told.find(arrival.daemon);
                const bool isCounted = known != told.end() && arrival.at >= known->second + bounds.told && arrival.at < span.until;
                if (isCounted && !isExcused(facts, arrival.daemon, known->second, arrival.at)) {
                    counted.push_back(arrival);
                }
            }
            const auto windowSeconds = secondsOf(bounds.limitWindow);
            const auto allowed = span.value * windowSeconds * bounds.limitFactor + bounds.limitSlack;
            for (const auto &last : counted) {
                const auto count = std::count_if(counted.begin(), counted.end(), [&](const sent_arrival &next) {
                    return next.at <= last.at && last.at - next.at < bounds.limitWindow;
                });
                if (last.at >= span.from + bounds.contact && static_cast<double>(count) > allowed) {
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

broken_promises checkRests(const soak_facts &facts, const soak_bounds &bounds)
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
        const auto rest = duration(static_cast<std::int64_t>(event.value * 1000));
        const auto until = std::min(event.at + rest, endOfIncarnation(facts, event));
        const auto &all = arrivals.at(event.replica);
        const auto count = std::count_if(all.begin(), all.end(), [&](const sent_arrival &arrival) {
            return arrival.daemon == daemon && arrival.at > event.at + bounds.told && arrival.at < until;
        });
        if (count > bounds.restSends && !isExcused(facts, daemon, event.at, until)) {
            broken.push_back(
                {"a replica that asked for rest gets it",
                 fmt::format("{} asked daemon {} for {} s and got {} requests", event.replica.value(), daemon, event.value, count),
                 event.attempt});
        }
    }
    return broken;
}

broken_promises checkToldLeaving(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    const auto arrivals = arrivalsByReplica(facts, attempts);
    std::set<std::tuple<instance_id, int, instant>> seen;
    for (const auto &event : facts.events) {
        const auto attempt = attempts.find(event.attempt);
        if (event.what != "told_leaving" || attempt == attempts.end() || !arrivals.contains(event.replica)) {
            continue;
        }
        const auto daemon = attempt->second->daemon;
        const auto until = endOfIncarnation(facts, event);
        if (!seen.emplace(event.replica, daemon, until).second) {
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
