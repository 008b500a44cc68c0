// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace vetchpost::test {

namespace {

constexpr int unauthorised = 401;
constexpr int notFound = 404;

/// The events of one kind, by attempt, in the order of their times.
using events_by_attempt = std::map<request_id, std::vector<const platform_event *>>;

events_by_attempt eventsOf(const soak_facts &facts, const std::string &what)
{
    events_by_attempt result;
    for (const auto &event : facts.events) {
        if (event.what == what && !event.attempt.isEmpty()) {
            result[event.attempt].push_back(&event);
        }
    }
    return result;
}

std::map<request_id, const attempt_fact *> attemptsById(const soak_facts &facts)
{
    std::map<request_id, const attempt_fact *> result;
    for (const auto &attempt : facts.attempts) {
        result[attempt.id] = &attempt;
    }
    return result;
}

bool overlaps(const disturbance &fault, instant from, instant until)
{
    return fault.from <= until && fault.until >= from;
}

bool strikes(const disturbance &fault, int daemon)
{
    return !fault.daemon || *fault.daemon == daemon;
}

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

bool areReplicasDisturbed(const soak_facts &facts, instant from, instant until)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        return fault.kind == disturbance_kind::replicas && overlaps(fault, from, until);
    });
}

/// Whether a daemon had been running, with sound ways to a store in order, for the whole contact time before.
bool isInTouch(const soak_facts &facts, const soak_bounds &bounds, int daemon, instant at)
{
    return std::none_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        return fault.kind != disturbance_kind::replicas && strikes(fault, daemon) && overlaps(fault, at - bounds.contact, at);
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
    std::map<instance_id, instant> toldAt;
    for (const auto &event : facts.events) {
        if (event.what == "draining" || event.what == "gone") {
            toldAt.emplace(event.replica, event.at);
        }
    }
    const auto attempts = attemptsById(facts);
    for (const auto &[id, arrivals] : eventsOf(facts, "arrived")) {
        const auto attempt = attempts.find(id);
        for (const auto *arrival : arrivals) {
            const auto told = toldAt.find(arrival->replica);
            const bool isLate = told != toldAt.end() && arrival->at > told->second + bounds.drain;
            if (isLate && attempt != attempts.end() && isInTouch(facts, bounds, attempt->second->daemon, arrival->at)) {
                broken.push_back(
                    {"nothing new reaches a replica that left",
                     fmt::format("{} had told it {} ms before", arrival->replica.value(), (arrival->at - told->second).count()),
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

namespace {

/// How many of \a times lie in [from, until).
std::ptrdiff_t countBetween(const std::vector<instant> &times, instant from, instant until)
{
    return std::lower_bound(times.begin(), times.end(), until) - std::lower_bound(times.begin(), times.end(), from);
}

/// The arrivals for each service beyond the first of each request, in order.
std::map<std::string, std::vector<instant>> repeatsByService(const soak_facts &facts)
{
    std::map<std::string, std::vector<instant>> result;
    const auto attempts = attemptsById(facts);
    for (const auto &[id, arrivals] : eventsOf(facts, "arrived")) {
        const auto attempt = attempts.find(id);
        for (std::size_t number = 1; number < arrivals.size() && attempt != attempts.end(); ++number) {
            result[attempt->second->service].push_back(arrivals[number]->at);
        }
    }
    for (auto &[service, times] : result) {
        std::sort(times.begin(), times.end());
    }
    return result;
}

std::vector<instant> requestsFor(const soak_facts &facts, const std::string &service)
{
    std::vector<instant> result;
    for (const auto &attempt : facts.attempts) {
        if (attempt.service == service && attempt.end != attempt_end::not_sent) {
            result.push_back(attempt.sentAt);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

broken_promises checkRepeats(const soak_facts &facts, const soak_bounds &bounds)
{
    for (const auto &[service, repeats] : repeatsByService(facts)) {
        const auto requests = requestsFor(facts, service);
        for (const auto end : repeats) {
            const auto until = end + duration(1);
            const auto inWindow = [&](const auto &times, duration before) {
                return countBetween(times, until - bounds.retryWindow - before, until - before);
            };
            // Of this window, the one before it and the one between them, the fullest counts.
            const auto most = std::max(
                {inWindow(requests, duration(0)), inWindow(requests, bounds.retryWindow / 2), inWindow(requests, bounds.retryWindow)});
            const auto count = inWindow(repeats, duration(0));
            const auto allowed = bounds.retryShare * static_cast<double>(most) + bounds.retrySlack;
            if (static_cast<double>(count) > allowed) {
                return {{"all daemons together keep the bound of repeats",
                         fmt::format("{}: {} repeats in a window, {} requests allow {:.1f}", service, count, most, allowed),
                         {}}};
            }
        }
    }
    return {};
}

broken_promises checkWithdrawnKeys(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    const auto runs = eventsOf(facts, "ran");
    for (const auto &configuration : facts.configurations) {
        const auto latest = configuration.acceptedAt + bounds.keyRevocation;
        for (const auto &attempt : facts.attempts) {
            const bool isItsKey = !configuration.withdrawnKey.empty() && attempt.key == configuration.withdrawnKey;
            if (isItsKey && attempt.sentAt > latest && runs.contains(attempt.id)) {
                broken.push_back({"a withdrawn key stops in time",
                                  fmt::format("sent {} ms after", (attempt.sentAt - configuration.acceptedAt).count()),
                                  attempt.id});
            }
        }
    }
    return broken;
}

namespace {

/// Whether the probe shows that its version is in force at the daemon; nothing where it shows neither.
std::optional<bool> showsInForce(const attempt_fact &probe)
{
    if (probe.end == attempt_end::answered) {
        return true;
    }
    return probe.status == notFound ? std::optional(false) : std::nullopt;
}

/// The newest version that had been accepted so long before; 0 for none.
std::uint64_t newestAccepted(const soak_facts &facts, instant before)
{
    std::uint64_t newest = 0;
    for (const auto &configuration : facts.configurations) {
        if (configuration.acceptedAt <= before) {
            newest = std::max(newest, configuration.version);
        }
    }
    return newest;
}

} // namespace

broken_promises checkConfigurations(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    std::vector<const attempt_fact *> probes;
    for (const auto &attempt : facts.attempts) {
        if (attempt.kind == request_kind::probe) {
            probes.push_back(&attempt);
        }
    }
    for (const auto *probe : probes) {
        const auto inForce = showsInForce(*probe);
        const auto due = newestAccepted(facts, probe->sentAt - bounds.configurationApply);
        const bool isOld
            = inForce && (*inForce ? probe->version < due : probe->version == due && newestAccepted(facts, probe->endedAt) == due);
        if (isOld && isInTouch(facts, bounds, probe->daemon, probe->sentAt)) {
            broken.push_back(
                {"a configuration is in force in time", fmt::format("daemon {}, version {} is due", probe->daemon, due), probe->id});
        }
        const bool isBehind = std::any_of(probes.begin(), probes.end(), [&](const attempt_fact *earlier) {
            return inForce == true && earlier->daemon == probe->daemon && earlier->incarnation == probe->incarnation
                && earlier->version > probe->version && showsInForce(*earlier) == true
                && probe->sentAt > earlier->endedAt + bounds.rollbackSlack;
        });
        if (isBehind) {
            broken.push_back({"a configuration in force never reverts",
                              fmt::format("daemon {} went back to version {}", probe->daemon, probe->version),
                              probe->id});
        }
    }
    return broken;
}

broken_promises checkStops(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    for (const auto &stop : facts.stops) {
        const bool isDue = stop.askedAt + bounds.grace < facts.endedAt;
        const bool isInTime = stop.endedAt && *stop.endedAt <= stop.askedAt + bounds.grace;
        if (isDue && !isInTime && !stop.isDisturbed) {
            broken.push_back({"a stopping daemon ends inside its grace", fmt::format("daemon {}", stop.daemon), {}});
        }
    }
    for (const auto &crash : facts.crashes) {
        broken.push_back({"a daemon ends only when it is told to", fmt::format("daemon {}", crash.daemon), {}});
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

broken_promises checkRecovery(const soak_facts &facts, const soak_bounds &bounds)
{
    if (facts.recoveredAt && *facts.recoveredAt <= facts.faultsEndedAt + bounds.recovery) {
        return {};
    }
    return {{"after the faults all daemons are ready within seconds", fmt::format("not within {} ms", bounds.recovery.count()), {}}};
}

broken_promises checkResources(const soak_facts &facts, const soak_bounds &bounds)
{
    broken_promises broken;
    std::set<int> told;
    for (const auto &sample : facts.samples) {
        const bool isOver
            = sample.memoryKilobytes > bounds.memoryKilobytes || sample.threads > bounds.threads || sample.descriptors > bounds.descriptors;
        if (isOver && told.insert(sample.daemon).second) {
            broken.push_back({"a daemon's memory, threads and descriptors stay bounded",
                              fmt::format("daemon {} at {}: {} kB, {} threads, {} descriptors",
                                          sample.daemon,
                                          sample.at.time_since_epoch().count(),
                                          sample.memoryKilobytes,
                                          sample.threads,
                                          sample.descriptors),
                              {}});
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
    add(checkWithdrawnKeys(facts, bounds));
    add(checkConfigurations(facts, bounds));
    add(checkStops(facts, bounds));
    add(checkReleases(facts, bounds));
    add(checkRecovery(facts, bounds));
    add(checkResources(facts, bounds));
    return all;
}

} // namespace vetchpost::test
