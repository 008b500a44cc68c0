// SPDX-License-Identifier: Apache-2.0
// The checks of single requests and of groups.
#include "Tests/Soak/fact_queries.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

constexpr int unauthorised = 401;

/// Whether something other than a planned stop may have cost the attempt its answer.
bool mayLoseAnswer(const soak_facts &facts, const soak_bounds &bounds, const attempt_fact &attempt)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        switch (fault.kind) {
        case disturbance_kind::process:
        case disturbance_kind::callers:
            return strikes(fault, attempt.daemon) && overlaps(fault, attempt.sentAt - bounds.contact, attempt.endedAt);
        case disturbance_kind::absence:
            // What had been sent before the process ended had to be answered.
            return strikes(fault, attempt.daemon) && fault.from <= attempt.sentAt && attempt.sentAt <= fault.until;
        case disturbance_kind::replicas:
            return overlaps(fault, attempt.sentAt, attempt.endedAt);
        case disturbance_kind::planned:
        case disturbance_kind::store:
            break;
        }
        return false;
    });
}

/// Whether a configuration takes or has taken the attempt's key away; a 401 is then the right answer.
bool isKeyWithdrawn(const soak_facts &facts, const attempt_fact &attempt)
{
    return std::any_of(facts.configurations.begin(), facts.configurations.end(), [&](const accepted_configuration &configuration) {
        return !configuration.withdrawnKey.empty() && configuration.withdrawnKey == attempt.key;
    });
}

bool isNotRunStatus(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

/// A request that was on its way when the daemon closed an idle connection has been read by nobody; the client sends it again.
bool hasCrossedClose(const attempt_fact &attempt, const events_by_attempt &arrivals, const soak_bounds &bounds)
{
    return attempt.end == attempt_end::broken && attempt.status == 0 && !arrivals.contains(attempt.id)
        && attempt.endedAt - attempt.sentAt <= bounds.crossing;
}

} // namespace

broken_promises checkAnswers(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto arrivals = eventsOf(facts, "arrived");
    for (const auto &attempt : facts.attempts) {
        if (!attempt.flaw.empty()) {
            broken.push_back({"an answer is its own and complete", attempt.flaw, attempt.id});
            continue;
        }
        const bool isLost = attempt.end == attempt_end::broken || attempt.end == attempt_end::failed;
        const bool isAllowed = attempt.kind == request_kind::probe || attempt.endedAt >= attempt.deadline
            || hasCrossedClose(attempt, arrivals, bounds) || (attempt.status == unauthorised && isKeyWithdrawn(facts, attempt));
        if (isLost && !isAllowed && !mayLoseAnswer(facts, bounds, attempt)) {
            broken.push_back({"a request that was read is answered",
                              fmt::format("daemon {} gave status {} and no whole answer after {} ms",
                                          attempt.daemon,
                                          attempt.status,
                                          (attempt.endedAt - attempt.sentAt).count()),
                              attempt.id});
        }
    }
    return broken;
}

broken_promises checkRefusals(const soak_facts &facts)
{
    broken_promises broken;
    const auto runs = eventsOf(facts, "ran");
    for (const auto &attempt : facts.attempts) {
        if (attempt.end == attempt_end::refused && isNotRunStatus(attempt.status) && runs.contains(attempt.id)) {
            broken.push_back({"what was said not to have run has not run", fmt::format("status {}", attempt.status), attempt.id});
        }
    }
    return broken;
}

broken_promises checkSingleRuns(const soak_facts &facts)
{
    broken_promises broken;
    const auto attempts = attemptsById(facts);
    for (const auto &[id, runs] : eventsOf(facts, "ran")) {
        const auto attempt = attempts.find(id);
        if (attempt == attempts.end()) {
            broken.push_back({"only what a client sent runs", "no client sent it", id});
        } else if (attempt->second->kind == request_kind::non_idempotent && runs.size() > 1) {
            broken.push_back({"a request that must not be repeated runs once", fmt::format("it ran {} times", runs.size()), id});
        }
    }
    return broken;
}

broken_promises checkLeaving(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    // A replica may start again under the id that it had: what it told before is over, from then on.
    std::map<instance_id, std::map<instant, bool>> leaves;
    for (const auto &event : facts.events) {
        if (event.what == "draining" || event.what == "gone" || event.what == "started") {
            leaves[event.replica].emplace(event.at, event.what != "started");
        }
    }
    const auto toldBefore = [&](const platform_event &arrival) -> std::optional<instant> {
        std::optional<instant> told;
        for (const auto &[when, isLeaving] : leaves[arrival.replica]) {
            if (when <= arrival.at) {
                told = isLeaving ? std::optional(told.value_or(when)) : std::nullopt;
            }
        }
        return told;
    };
    const auto attempts = attemptsById(facts);
    for (const auto &[id, arrivals] : eventsOf(facts, "arrived")) {
        const auto attempt = attempts.find(id);
        for (const auto *arrival : arrivals) {
            const auto told = toldBefore(*arrival);
            const bool isLate = told && arrival->at > *told + bounds.drain;
            if (isLate && attempt != attempts.end() && isInTouch(facts, bounds, attempt->second->daemon, arrival->at)) {
                broken.push_back({"nothing new reaches a replica that left",
                                  fmt::format("{} had told it {} ms before", arrival->replica.value(), (arrival->at - *told).count()),
                                  id});
            }
        }
    }
    return broken;
}

broken_promises checkGroups(const soak_facts &facts)
{
    broken_promises broken;
    for (const auto &event : facts.events) {
        if (event.what == "joined" && event.isWhileOpen) {
            broken.push_back({"no replica is in two groups", event.replica.value() + " joined while its earlier head was open", {}});
        } else if (event.what == "ran" && event.isPartial) {
            broken.push_back({"a request runs in a whole group", event.replica.value() + " lacks members", event.attempt});
        }
    }
    return broken;
}

broken_promises checkReleases(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto ends = eventsOf(facts, "ended");
    const auto runs = eventsOf(facts, "ran");
    for (const auto &attempt : facts.attempts) {
        const auto ran = runs.find(attempt.id);
        if (attempt.end != attempt_end::left || ran == runs.end()) {
            continue;
        }
        const auto latest = attempt.endedAt + bounds.release + bounds.releaseMargin;
        const auto ended = ends.find(attempt.id);
        const auto endsInTime = ended == ends.end()
            ? 0
            : std::count_if(ended->second.begin(), ended->second.end(), [&](const auto *event) { return event->at <= latest; });
        const bool isLate = endsInTime < static_cast<std::ptrdiff_t>(ran->second.size()) && latest < facts.endedAt;
        if (isLate && isInTouch(facts, bounds, attempt.daemon, latest) && !areReplicasDisturbed(facts, attempt.sentAt, latest)) {
            broken.push_back({"a client that left frees its replica", "it was still at work there", attempt.id});
        }
    }
    return broken;
}

broken_promises checkAll(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises all;
    const auto add = [&](const broken_promises &more) { all.insert(all.end(), more.begin(), more.end()); };
    add(checkAnswers(facts, bounds));
    add(checkRefusals(facts));
    add(checkSingleRuns(facts));
    add(checkLeaving(facts, bounds));
    add(checkGroups(facts));
    add(checkRepeats(facts, bounds));
    add(checkDeadlyRequests(facts, bounds));
    add(checkLimits(facts, bounds));
    add(checkRests(facts, bounds));
    add(checkToldLeaving(facts, bounds));
    add(checkWithdrawnKeys(facts, bounds));
    add(checkConfigurations(facts, bounds));
    add(checkStops(facts, bounds));
    add(checkReleases(facts, bounds));
    add(checkRecovery(facts, bounds));
    add(checkResources(facts, bounds));
    return all;
}

} // namespace vetchpost::test
