// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_checks.h"
#include "Tests/Soak/soak_schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const soak_bounds bounds;
constexpr auto theKey = "key";

instant at(int milliseconds)
{
    return instant(duration(100000 + milliseconds));
}

attempt_fact attempt(request_kind kind, attempt_end end, int from, int until, int status = 0)
{
    attempt_fact fact{request_id("a"), kind, "plain", theKey};
    fact.sentAt = at(from);
    fact.endedAt = at(until);
    fact.end = end;
    fact.status = status;
    return fact;
}

attempt_fact probe(std::uint64_t version, int sent, bool isFound)
{
    auto fact = attempt(request_kind::probe, isFound ? attempt_end::answered : attempt_end::failed, sent, sent + 10, isFound ? 200 : 404);
    fact.version = version;
    return fact;
}

platform_event event(int time, const std::string &what, const std::string &replica = "i-1", const std::string &id = "a")
{
    return {at(time), what, request_id(id), instance_id(replica)};
}

disturbance fault(disturbance_kind kind, int from, int until, std::optional<int> daemon = std::nullopt)
{
    return {kind, at(from), at(until), daemon};
}

/// Returns the facts of a run that ends long after all events of the tests.
soak_facts
makeFacts(std::vector<attempt_fact> attempts, std::vector<platform_event> events = {}, std::vector<disturbance> disturbances = {})
{
    soak_facts facts;
    facts.attempts = std::move(attempts);
    facts.events = std::move(events);
    facts.disturbances = std::move(disturbances);
    facts.endedAt = at(1000000);
    return facts;
}

} // namespace

TEST_CASE("A request that ends replicas may be sent three more times once all daemons had time to learn of it")
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    const auto send = [&](int time, bool ends) {
        auto fact = attempt(request_kind::stream, attempt_end::failed, time, time + 50, 502);
        fact.id = request_id("d001-" + std::to_string(attempts.size()));
        attempts.push_back(fact);
        events.push_back(event(time, "arrived", "i-1", fact.id.value()));
        if (ends) {
            events.push_back(event(time, "ended_replica", "i-1", fact.id.value()));
        }
    };
    for (const int time : {0, 100, 200, 300, 400, 3000}) {
        send(time, true);
    }
    for (const int time : {4000, 5000, 6000}) {
        send(time, false);
    }
    CHECK(checkDeadlyRequests(makeFacts(attempts, events), bounds).empty());
    send(7000, false);
    CHECK(checkDeadlyRequests(makeFacts(attempts, events), bounds).size() == 1);
    const auto killed = fault(disturbance_kind::process, 6500, 7500, 0);
    CHECK(checkDeadlyRequests(makeFacts(attempts, events, {killed}), bounds).empty());
}

TEST_CASE("Requests with a deadly part may be sent three more times once all daemons had time to learn of its fifth end")
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    const auto send = [&](int time) {
        auto fact = attempt(request_kind::stream, attempt_end::failed, time, time + 50, 502);
        fact.id = request_id("e001-" + std::to_string(attempts.size()));
        attempts.push_back(fact);
        events.push_back(event(time, "arrived", "i-1", fact.id.value()));
        events.push_back(event(time, "ended_replica", "i-1", fact.id.value()));
    };
    // Two requests that crash a replica at the same moment are one crash.
    for (const int time : {0, 1, 100, 200, 300}) {
        send(time);
    }
    CHECK(checkDeadlyParts(makeFacts(attempts, events), bounds).empty());
    for (const int time : {400, 3000, 4000, 5000, 6000}) {
        send(time);
    }
    CHECK(checkDeadlyParts(makeFacts(attempts, events), bounds).empty());
    send(7000);
    CHECK(checkDeadlyParts(makeFacts(attempts, events), bounds).size() == 1);
    CHECK(checkDeadlyRequests(makeFacts(attempts, events), bounds).empty());
}

TEST_CASE("A request without a complete answer is a broken promise, unless a fault may have caused the loss")
{
    const auto lost = attempt(request_kind::non_idempotent, attempt_end::broken, 0, 500);
    CHECK(checkAnswers(makeFacts({lost}, {event(10, "arrived")}), bounds).size() == 1);
    for (const auto kind : {disturbance_kind::process, disturbance_kind::callers, disturbance_kind::replicas}) {
        CHECK(checkAnswers(makeFacts({lost}, {}, {fault(kind, 100, 200, 0)}), bounds).empty());
    }
    CHECK(checkAnswers(makeFacts({lost}, {}, {fault(disturbance_kind::process, 100, 200, 1)}), bounds).size() == 1);
    CHECK(checkAnswers(makeFacts({lost}, {}, {fault(disturbance_kind::process, 600, 700, 0)}), bounds).size() == 1);
    CHECK(checkAnswers(makeFacts({attempt(request_kind::stream, attempt_end::answered, 0, 500, 200)}), bounds).empty());
}

TEST_CASE("A planned stop and the end of the process after it excuse no lost answer")
{
    const auto lost = attempt(request_kind::stream, attempt_end::broken, 0, 500);
    CHECK(checkAnswers(makeFacts({lost}, {}, {fault(disturbance_kind::planned, 100, 200, 0)}), bounds).size() == 1);
    CHECK(checkAnswers(makeFacts({lost}, {}, {fault(disturbance_kind::absence, 490, 2000, 0)}), bounds).size() == 1);
    const auto sentWhileAbsent = attempt(request_kind::stream, attempt_end::broken, 500, 1500);
    CHECK(checkAnswers(makeFacts({sentWhileAbsent}, {}, {fault(disturbance_kind::absence, 490, 2000, 0)}), bounds).empty());
}

TEST_CASE("A request counts as crossing the close of its connection only if it fails quickly and no replica received it")
{
    const auto crossing = attempt(request_kind::idempotent, attempt_end::broken, 0, 150);
    CHECK(checkAnswers(makeFacts({crossing}), bounds).empty());
    CHECK(checkAnswers(makeFacts({crossing}, {event(10, "arrived")}), bounds).size() == 1);
    CHECK(checkAnswers(makeFacts({attempt(request_kind::idempotent, attempt_end::broken, 0, 250)}), bounds).size() == 1);
}

TEST_CASE("A failure is allowed at the deadline, and a 401 for a withdrawn key")
{
    auto late = attempt(request_kind::idempotent, attempt_end::failed, 0, 500, 504);
    CHECK(checkAnswers(makeFacts({late}), bounds).size() == 1);
    late.deadline = at(480);
    CHECK(checkAnswers(makeFacts({late}), bounds).empty());
    auto facts = makeFacts({attempt(request_kind::idempotent, attempt_end::failed, 0, 5, 401)});
    CHECK(checkAnswers(facts, bounds).size() == 1);
    facts.configurations = {{2, at(0), theKey}};
    CHECK(checkAnswers(facts, bounds).empty());
}

TEST_CASE("No fault excuses a flaw in a complete answer")
{
    auto mixed = attempt(request_kind::stream, attempt_end::answered, 0, 500, 200);
    mixed.flaw = "event 3 follows 1";
    CHECK(checkAnswers(makeFacts({mixed}, {}, {fault(disturbance_kind::replicas, 0, 500)}), bounds).size() == 1);
}

TEST_CASE("A request that was refused as not run has not run before and does not run later")
{
    const auto refused = attempt(request_kind::idempotent, attempt_end::refused, 0, 100, 503);
    CHECK(checkRefusals(makeFacts({refused}, {event(10, "arrived")})).empty());
    CHECK(checkRefusals(makeFacts({refused}, {event(10, "ran")})).size() == 1);
    CHECK(checkRefusals(makeFacts({refused}, {event(5000, "ran")})).size() == 1);
    CHECK(checkRefusals(makeFacts({attempt(request_kind::idempotent, attempt_end::failed, 0, 100, 502)}, {event(10, "ran")})).empty());
}

TEST_CASE("Only idempotent requests run twice, and only requests that a client sent run")
{
    const std::vector<platform_event> twice = {event(10, "ran"), event(20, "ran", "i-2")};
    CHECK(checkSingleRuns(makeFacts({attempt(request_kind::non_idempotent, attempt_end::answered, 0, 9)}, twice)).size() == 1);
    CHECK(checkSingleRuns(makeFacts({attempt(request_kind::idempotent, attempt_end::answered, 0, 9)}, twice)).empty());
    CHECK(checkSingleRuns(makeFacts({}, {event(10, "ran")})).size() == 1);
    auto part = attempt(request_kind::idempotent, attempt_end::abandoned, 0, 9);
    part.isSentInPart = true;
    CHECK(checkSingleRuns(makeFacts({part}, {})).empty());
    CHECK(checkSingleRuns(makeFacts({part}, {event(10, "ran")})).size() == 1);
}

TEST_CASE("Undisturbed daemons send nothing new to a leaving replica after the drain time")
{
    const auto served = attempt(request_kind::idempotent, attempt_end::answered, 0, 5000);
    const auto announcement = event(0, "draining", "i-1", "");
    CHECK(checkDrainingReplicas(makeFacts({served}, {announcement, event(1900, "arrived")}), bounds).empty());
    CHECK(checkDrainingReplicas(makeFacts({served}, {announcement, event(2100, "arrived")}), bounds).size() == 1);
    CHECK(checkDrainingReplicas(makeFacts({served}, {announcement, event(2100, "arrived", "i-2")}), bounds).empty());
    CHECK(checkDrainingReplicas(makeFacts({served}, {announcement, event(1500, "started"), event(2100, "arrived")}), bounds).empty());
    CHECK(checkDrainingReplicas(makeFacts({served}, {event(-9000, "started"), announcement, event(2100, "arrived")}), bounds).size() == 1);
    CHECK(
        checkDrainingReplicas(makeFacts({served}, {announcement, event(2100, "arrived")}, {fault(disturbance_kind::store, 0, 500)}), bounds)
            .empty());
}

TEST_CASE("A replica joins no other group while the head of its group is open, and requests run in whole groups only")
{
    auto joined = event(0, "joined", "i-1", "");
    CHECK(checkGroups(makeFacts({}, {joined})).empty());
    joined.isWhileOpen = true;
    CHECK(checkGroups(makeFacts({}, {joined})).size() == 1);
    auto ran = event(0, "ran");
    CHECK(checkGroups(makeFacts({}, {ran})).empty());
    ran.isPartial = true;
    CHECK(checkGroups(makeFacts({}, {ran})).size() == 1);
}

TEST_CASE("The retry budget is based on the requests of the same window, or of one before it")
{
    const auto withRetries = [](int count, int requestsAt) {
        std::vector<attempt_fact> attempts;
        std::vector<platform_event> events;
        for (int number = 0; number < 100; ++number) {
            attempts.push_back(attempt(request_kind::idempotent, attempt_end::answered, requestsAt, requestsAt + 9));
            attempts.back().id = request_id(std::to_string(number));
        }
        for (int number = 0; number < count; ++number) {
            events.push_back(event(20000, "arrived", "i-1", std::to_string(number)));
            events.push_back(event(20001, "arrived", "i-2", std::to_string(number)));
        }
        return makeFacts(attempts, events);
    };
    // 8 + 0.2 x 100 retries are allowed.
    CHECK(checkRetries(withRetries(28, 19000), bounds).empty());
    CHECK(checkRetries(withRetries(29, 19000), bounds).size() == 1);
    CHECK(checkRetries(withRetries(28, 1000), bounds).empty());
    CHECK(checkRetries(withRetries(9, -1000), bounds).size() == 1);
}

TEST_CASE("A withdrawn key is refused in time, whatever is disturbed")
{
    const auto check = [](int sent, const char *withdrawn) {
        auto facts = makeFacts({attempt(request_kind::idempotent, attempt_end::answered, sent, sent + 20)},
                               {event(sent + 10, "ran")},
                               {fault(disturbance_kind::store, 0, 9000)});
        facts.configurations = {{2, at(0), withdrawn}};
        return checkWithdrawnKeys(facts, bounds).size();
    };
    CHECK(check(4900, theKey) == 0);
    CHECK(check(5100, theKey) == 1);
    CHECK(check(5100, "another") == 0);
}

TEST_CASE("A configuration is applied in time")
{
    const auto check = [](const attempt_fact &seen, const std::vector<disturbance> &faults) {
        auto facts = makeFacts({seen}, {}, faults);
        facts.configurations = {{1, at(-9000), {}}, {2, at(0), {}}};
        return checkConfigurations(facts, bounds).size();
    };
    CHECK(check(probe(1, 1900, true), {}) == 0);
    CHECK(check(probe(1, 2100, true), {}) == 1);
    CHECK(check(probe(2, 1900, false), {}) == 0);
    CHECK(check(probe(2, 2100, false), {}) == 1);
    CHECK(check(probe(2, 2100, true), {}) == 0);
    CHECK(check(probe(2, 2100, false), {fault(disturbance_kind::store, 0, 100, 0)}) == 0);
}

TEST_CASE("A daemon never reverts to an earlier configuration while its process runs")
{
    auto before = probe(3, 0, true);
    auto after = probe(2, 400, true);
    CHECK(checkConfigurations(makeFacts({before, after}), bounds).size() == 1);
    after.sentAt = at(200);
    CHECK(checkConfigurations(makeFacts({before, after}), bounds).empty());
    after = probe(2, 400, true);
    after.incarnation = 1;
    CHECK(checkConfigurations(makeFacts({before, after}), bounds).empty());
}

TEST_CASE("A daemon ends within its grace period and only when it is asked to stop")
{
    const auto check = [](std::optional<instant> ended, bool isDisturbed) {
        auto facts = makeFacts({});
        facts.stops = {{0, at(0), ended, isDisturbed}};
        return checkStops(facts, bounds).size();
    };
    CHECK(check(at(7900), false) == 0);
    CHECK(check(at(8100), false) == 1);
    CHECK(check(std::nullopt, false) == 1);
    CHECK(check(at(8100), true) == 0);
    auto facts = makeFacts({});
    facts.crashes = {{0, at(5)}};
    CHECK(checkStops(facts, bounds).size() == 1);
}

TEST_CASE("A replica stops working on a request that its client has abandoned")
{
    const auto left = attempt(request_kind::stream, attempt_end::abandoned, 0, 100);
    const auto check = [&](std::vector<platform_event> events, std::vector<disturbance> faults = {}) {
        return checkAbandonedRequests(makeFacts({left}, std::move(events), std::move(faults)), bounds).size();
    };
    CHECK(check({event(10, "ran"), event(700, "ended")}) == 0);
    CHECK(check({event(10, "ran"), event(900, "ended")}) == 1);
    CHECK(check({event(10, "ran"), event(20, "ran"), event(700, "ended")}) == 1);
    CHECK(check({event(10, "ran")}, {fault(disturbance_kind::process, 0, 50, 0)}) == 0);
    CHECK(check({}) == 0);
}

TEST_CASE("After the faults all daemons are ready within the recovery time")
{
    auto facts = makeFacts({});
    facts.faultsEndedAt = at(0);
    CHECK(checkRecovery(facts, bounds).size() == 1);
    facts.recoveredAt = at(11000);
    CHECK(checkRecovery(facts, bounds).empty());
    facts.recoveredAt = at(13000);
    CHECK(checkRecovery(facts, bounds).size() == 1);
}

TEST_CASE("A daemon over its resource limits is reported once")
{
    auto facts = makeFacts({});
    facts.samples = {{at(0), 0, bounds.memoryKilobytes, bounds.descriptors, bounds.threads}};
    CHECK(checkResources(facts, bounds).empty());
    facts.samples.push_back({at(0), 0, 1, bounds.descriptors + 1, 1});
    facts.samples.push_back({at(0), 0, 1, 1, bounds.threads + 1});
    CHECK(checkResources(facts, bounds).size() == 1);
}

TEST_CASE("A seed determines the schedule, and a long schedule has every kind of fault")
{
    const schedule_size size{std::chrono::minutes(5), 4, 12};
    const auto plan = planFaults(7, size);
    const auto again = planFaults(7, size);
    const auto isSame = [](const planned_fault &left, const planned_fault &right) { return describe(left) == describe(right); };
    CHECK(std::equal(plan.begin(), plan.end(), again.begin(), again.end(), isSame));
    CHECK_FALSE(std::equal(plan.begin(), plan.end(), planFaults(8, size).begin(), isSame));
    std::set<fault_kind> kinds;
    for (const auto &fault : plan) {
        kinds.insert(fault.kind);
        CHECK(fault.at + fault.lasts <= size.length - recoveryLength);
    }
    CHECK(kinds.size() == faultKindCount);
}

TEST_CASE("A rate limit counts the requests in a window of the daemons that received it, and excuses a restarted daemon")
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events{event(0, "limit_begins")};
    events.back().value = 1;
    const auto send = [&](int time, int daemon) {
        auto fact = attempt(request_kind::stream, attempt_end::answered, time, time + 50, 200);
        fact.id = request_id(std::to_string(attempts.size()));
        fact.daemon = daemon;
        attempts.push_back(fact);
        events.push_back(event(time, "arrived", "i-1", fact.id.value()));
    };
    send(0, 1);
    events.push_back(event(10, "told_limit", "i-1", "0"));
    send(0, 2);
    events.push_back(event(10, "told_limit", "i-1", "1"));
    for (int number = 0; number < 6; ++number) {
        send(3000 + number, 1);
        send(3100 + number, 2);
    }
    // Eleven requests are allowed; daemon 3 has not received the limit.
    send(3200, 3);
    CHECK(checkLimits(makeFacts(attempts, events), bounds).size() == 1);
    CHECK(checkLimits(makeFacts(attempts, events, {fault(disturbance_kind::process, 500, 600, 2)}), bounds).empty());
    auto ended = events;
    ended.insert(ended.begin() + 1, event(2000, "limit_ends"));
    CHECK(checkLimits(makeFacts(attempts, ended), bounds).empty());
}

TEST_CASE("A daemon may send two requests to a replica that asked it for a backoff")
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    for (const int time : {0, 100, 600, 2000, 2900}) {
        auto fact = attempt(request_kind::stream, attempt_end::answered, time, time + 50, 200);
        fact.id = request_id(std::to_string(time));
        attempts.push_back(fact);
        events.push_back(event(time, "arrived", "i-1", fact.id.value()));
    }
    auto announcement = event(5, "told_rest", "i-1", "0");
    announcement.value = 3;
    events.push_back(announcement);
    CHECK(checkBackoffs(makeFacts(attempts, events), bounds).size() == 1);
    attempts.back().daemon = 1;
    CHECK(checkBackoffs(makeFacts(attempts, events), bounds).empty());
}

TEST_CASE("A daemon that learned that a replica leaves sends it no later request, until the replica restarts")
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    for (const int time : {0, 1900, 2100}) {
        auto fact = attempt(request_kind::stream, attempt_end::answered, time, time + 50, 200);
        fact.id = request_id(std::to_string(time));
        attempts.push_back(fact);
        events.push_back(event(time, "arrived", "i-1", fact.id.value()));
    }
    events.push_back(event(5, "told_leaving", "i-1", "0"));
    CHECK(checkLeaveNotices(makeFacts(attempts, events), bounds).size() == 1);
    events.push_back(event(2050, "started"));
    CHECK(checkLeaveNotices(makeFacts(attempts, events), bounds).empty());
}

TEST_CASE("An evacuated data centre may receive requests for as long as the evacuation need not be in force, and not afterwards")
{
    const auto countBroken = [&](int arrivesAt, const std::string &zone, const std::vector<disturbance> &disturbances = {}) {
        auto arrival = event(arrivesAt, "arrived");
        arrival.zone = zone;
        auto facts
            = makeFacts({attempt(request_kind::stream, attempt_end::answered, arrivesAt, arrivesAt + 10, 200)}, {arrival}, disturbances);
        facts.evacuations = {{"z", at(0), at(9000)}};
        return checkEvacuations(facts, bounds).size();
    };
    CHECK(countBroken(4900, "z") == 0);
    CHECK(countBroken(5100, "z") == 1);
    CHECK(countBroken(5100, "y") == 0);
    CHECK(countBroken(9100, "z") == 0);
    CHECK(countBroken(6000, "z", {fault(disturbance_kind::store, 4000, 5000)}) == 0);
    CHECK(countBroken(8500, "z", {fault(disturbance_kind::store, 4000, 5000)}) == 1);
}

TEST_CASE("Evacuations of a schedule follow each other and end before the recovery")
{
    const schedule_size size{duration(45000), 3, 12};
    const auto plan = planEvacuations(4, size, 2);
    REQUIRE(plan.size() == 2);
    CHECK(plan[0].at + plan[0].lasts < plan[1].at);
    CHECK(plan[1].at + plan[1].lasts < size.length - recoveryLength);
    CHECK(plan[0].lasts > bounds.evacuation);
}

// Guards against a soak that passes although daemons overran a cold replica.
TEST_CASE("A cold replica that failed under its requests is reported, whatever was disturbed")
{
    const auto facts = makeFacts({}, {event(0, "cold"), event(500, "cold_overrun")}, {fault(disturbance_kind::store, 0, 1000)});
    CHECK(checkColdReplicas(facts).size() == 1);
    CHECK(checkColdReplicas(makeFacts({}, {event(0, "cold")})).empty());
}
