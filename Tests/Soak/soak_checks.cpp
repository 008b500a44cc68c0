// SPDX-License-Identifier: Apache-2.0
// Checks of single requests and of groups.
#include "Tests/Soak/fact_queries.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

constexpr int unauthorised = 401;

/// Returns whether a disturbance other than a planned stop may have caused the loss of the attempt's answer.
bool mayLoseAnswer(const soak_facts &facts, const soak_bounds &bounds, const attempt_fact &attempt)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        switch (fault.kind) {
        case disturbance_kind::process:
        case disturbance_kind::callers:
            return mayAffect(fault, attempt.daemon) && overlaps(fault, attempt.sentAt - bounds.settlingTime, attempt.endedAt);
        case disturbance_kind::absence:
            // A request that was sent before the process ended had to be answered.
            return mayAffect(fault, attempt.daemon) && fault.from <= attempt.sentAt && attempt.sentAt <= fault.until;
        case disturbance_kind::replicas:
            return overlaps(fault, attempt.sentAt, attempt.endedAt);
        case disturbance_kind::planned:
        case disturbance_kind::store:
        case disturbance_kind::silence:
            break;
        }
        return false;
    });
}

/// Returns whether any configuration of the run withdraws the attempt's key; a 401 is then an allowed answer.
bool isKeyWithdrawn(const soak_facts &facts, const attempt_fact &attempt)
{
    return std::any_of(facts.configurations.begin(), facts.configurations.end(), [&](const accepted_configuration &configuration) {
        return !configuration.withdrawnKey.empty() && configuration.withdrawnKey == attempt.key;
    });
}

/// Returns whether the status asserts that the request has not run.
bool isNotRunStatus(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

/// Returns whether the request may have been in transit when the daemon closed the idle connection. Nobody has read such a request, and the
/// client sends it again.
bool hasCrossedClose(const attempt_fact &attempt, const events_by_attempt &arrivals, const soak_bounds &bounds)
{
    return attempt.end == attempt_end::broken && attempt.status == 0 && !arrivals.contains(attempt.id)
        && attempt.endedAt - attempt.sentAt <= bounds.closeRace;
}

} // namespace

broken_promises checkAnswers(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto arrivals = eventsByAttempt(facts, "arrived");
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
    const auto runs = eventsByAttempt(facts, "ran");
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
    for (const auto &[id, runs] : eventsByAttempt(facts, "ran")) {
        const auto attempt = attempts.find(id);
        if (attempt == attempts.end()) {
            broken.push_back({"only what a client sent runs", "no client sent it", id});
        } else if (attempt->second->isSentInPart) {
            broken.push_back({"only what a client sent runs", "the client left before the end of the request's body", id});
        } else if (attempt->second->kind == request_kind::non_idempotent && runs.size() > 1) {
            broken.push_back({"a request that must not be repeated runs once", fmt::format("it ran {} times", runs.size()), id});
        }
    }
    return broken;
}

broken_promises checkDrainingReplicas(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    // A replica may restart under the same id, which cancels its earlier announcement.
    std::map<instance_id, std::map<instant, bool>> leavingStates;
    for (const auto &event : facts.events) {
        if (event.what == "draining" || event.what == "gone" || event.what == "started") {
            leavingStates[event.replica].emplace(event.at, event.what != "started");
        }
    }
    const auto leaveAnnouncedAt = [&](const platform_event &arrival) -> std::optional<instant> {
        std::optional<instant> announcedAt;
        for (const auto &[when, isLeaving] : leavingStates[arrival.replica]) {
            if (when <= arrival.at) {
                announcedAt = isLeaving ? std::optional(announcedAt.value_or(when)) : std::nullopt;
            }
        }
        return announcedAt;
    };
    const auto attempts = attemptsById(facts);
    for (const auto &[id, arrivals] : eventsByAttempt(facts, "arrived")) {
        const auto attempt = attempts.find(id);
        for (const auto *arrival : arrivals) {
            const auto announcedAt = leaveAnnouncedAt(*arrival);
            const bool isLate = announcedAt && arrival->at > *announcedAt + bounds.drain;
            if (isLate && attempt != attempts.end() && isUndisturbed(facts, bounds, attempt->second->daemon, arrival->at)) {
                broken.push_back(
                    {"nothing new reaches a replica that left",
                     fmt::format("{} had told it {} ms before", arrival->replica.value(), (arrival->at - *announcedAt).count()),
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

broken_promises checkAbandonedRequests(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto ends = eventsByAttempt(facts, "ended");
    const auto runs = eventsByAttempt(facts, "ran");
    for (const auto &attempt : facts.attempts) {
        const auto ran = runs.find(attempt.id);
        if (attempt.end != attempt_end::abandoned || ran == runs.end()) {
            continue;
        }
        const auto latest = attempt.endedAt + bounds.release + bounds.releaseMargin;
        const auto ended = ends.find(attempt.id);
        const auto endsInTime = ended == ends.end()
            ? 0
            : std::count_if(ended->second.begin(), ended->second.end(), [&](const auto *event) { return event->at <= latest; });
        const bool isLate = endsInTime < static_cast<std::ptrdiff_t>(ran->second.size()) && latest < facts.endedAt;
        if (isLate && isUndisturbed(facts, bounds, attempt.daemon, latest) && !areReplicasDisturbed(facts, attempt.sentAt, latest)) {
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
    add(checkDrainingReplicas(facts, bounds));
    add(checkGroups(facts));
    add(checkRetries(facts, bounds));
    add(checkDeadlyRequests(facts, bounds));
    add(checkDeadlyParts(facts, bounds));
    add(checkLimits(facts, bounds));
    add(checkBackoffs(facts, bounds));
    add(checkLeaveNotices(facts, bounds));
    add(checkColdReplicas(facts));
    add(checkWithdrawnKeys(facts, bounds));
    add(checkEvacuations(facts, bounds));
    add(checkConfigurations(facts, bounds));
    add(checkStops(facts, bounds));
    add(checkAbandonedRequests(facts, bounds));
    add(checkRecovery(facts, bounds));
    add(checkResources(facts, bounds));
    return all;
}

} // namespace vetchpost::test
