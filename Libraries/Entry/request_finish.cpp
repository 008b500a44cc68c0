// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that sends the final answer to the client and records how the request ended.
#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"
#include "Libraries/Entry/request_handler.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");

constexpr std::array<std::string_view, static_cast<std::size_t>(attempt_outcome::count)> attemptOutcomeNames
    = {"answered", "not_sent", "not_run", "lost", "silent", "failed", "caller_left", "timed_out", "withdrawn", "no_path"};

} // namespace

std::string_view attemptOutcomeName(attempt_outcome outcome)
{
    return attemptOutcomeNames.at(static_cast<std::size_t>(outcome));
}

/// Logs how the request ended, and sends the client an error if it has no answer yet. An answer that has begun and cannot be completed is
/// aborted.
void request_handler::finish(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::answered || outcome == attempt_outcome::caller_left) {
        logAnswered(outcome);
        return;
    }
    if (m_refusal) {
        refuse(error_kind::overloaded, m_refusal->text, m_refusal->retryAfter);
        return;
    }
    if (m_hasBegun) {
        recordResult(request_outcome::broken_off);
        requestLog.writeEssential("broken_off",
                                  {{"request", m_head.requestId.value()},
                                   {"route", m_route->name},
                                   {"end", attemptOutcomeName(outcome)},
                                   {"why", m_lastReason},
                                   {"no_repeat", m_noRetryReason},
                                   {"tries", m_attempts},
                                   {"replica", m_triedReplicas.empty() ? "" : m_triedReplicas.back().value()},
                                   {"held_ms", elapsed().count()},
                                   {"first_ms", timeToFirstEvent().value_or(duration(-1)).count()},
                                   {"pause_ms", m_longestPause.count()},
                                   {"last_event", m_events.lastId()},
                                   {"dispatch", m_dispatchText}});
        m_exchange.abort();
        return;
    }
    if (m_failure) {
        sendBuffered(*m_failure);
        recordResult(request_outcome::failed);
        requestLog.writeEssential("failure_passed_on",
                                  {{"request", m_head.requestId.value()},
                                   {"route", m_route->name},
                                   {"status", m_failure->head.status},
                                   {"no_repeat", m_noRetryReason},
                                   {"tries", m_attempts},
                                   {"held_ms", elapsed().count()},
                                   {"dispatch", m_dispatchText}});
        return;
    }
    if (m_mayHaveRun && !m_route->mayRunAgain()) {
        refuse(outcome == attempt_outcome::timed_out ? error_kind::deadline_exceeded : error_kind::backend_lost,
               "the replica's answer was incomplete");
    } else if (m_mayHaveRun && outcome == attempt_outcome::timed_out) {
        refuse(error_kind::deadline_exceeded, "no answer in time");
    } else if (m_mayHaveRun) {
        refuse(error_kind::backend_lost, "no replica gave a complete answer");
    } else if (outcome == attempt_outcome::no_path) {
        const bool isFull = m_noPathScope == refusal_scope::full_slots;
        refuse(isFull ? error_kind::overloaded : error_kind::no_serving_group, m_noRetryReason, m_noPathScope);
    } else if (outcome == attempt_outcome::not_run) {
        refuseForLackOfReplicas(error_kind::backend_refused, "the replicas accept no more requests", refusal_scope::full_slots);
    } else {
        refuseForLackOfReplicas(error_kind::no_serving_group, "no replica accepts requests", refusal_scope::whole_model);
    }
}

/// Refuses the request because no replica accepts it. If all replicas have announced limits or backoffs, the client is asked to retry when
/// the first of these ends.
void request_handler::refuseForLackOfReplicas(error_kind kind, const std::string &text, refusal_scope scope)
{
    const auto newest = m_context.currentView();
    const auto &candidates = newest->backends(*m_service, m_head.model);
    m_blockedBackends = m_context.constraints.blockedBackends(candidates, {});
    const bool isAnyUnblocked = m_blockedBackends.replicas.size() < candidates.size();
    const auto unblockedAfter
        = m_blockedBackends.unblockedAt && !isAnyUnblocked ? std::optional(*m_blockedBackends.unblockedAt - monotonicNow()) : std::nullopt;
    refuse(kind, text, unblockedAfter ? retryAfterWhenBlocked(*unblockedAfter, randomNumber()) : retryAfterFor(scope, randomNumber()));
}

/// Refuses the request with a retry-after time that fits the scope of the cause.
void request_handler::refuse(error_kind kind, const std::string &text, refusal_scope scope)
{
    if (scope == refusal_scope::this_daemon) {
        // Further requests on this connection would be refused as well.
        m_exchange.closeAfterResponse();
    }
    refuse(kind, text, retryAfterFor(scope, randomNumber()));
}

/// Refuses the request and logs the reason. \a retryAfter is empty if the client should not be asked to retry.
void request_handler::refuse(error_kind kind, const std::string &text, std::optional<duration> retryAfter)
{
    for (const auto &header : m_context.dialect.daemonHeaders(m_head)) {
        m_exchange.setHeader(header.name, header.value);
    }
    m_context.counters.countRefusal(kind);
    recordResult(request_outcome::refused);
    requestLog.writeEssential("refused",
                              {{"request", m_head.requestId.value()},
                               {"identity", m_identity ? m_identity->value() : ""},
                               {"route", m_route == nullptr ? "" : m_route->name},
                               {"kind", errorAnswer(kind).name},
                               {"why", text},
                               {"last_try", m_lastReason},
                               {"no_repeat", m_noRetryReason},
                               {"closed", m_blockedBackends.text()},
                               {"dispatch", m_dispatchText},
                               {"on_connection", m_exchange.number()},
                               {"come_back_ms", retryAfter.value_or(duration(0)).count()},
                               {"tries", m_attempts},
                               {"held_ms", elapsed().count()},
                               {"time_left_ms", timeLeft().count()}});
    m_exchange.sendError({kind, text}, m_head.requestId.value(), retryAfter);
}

// Log and metrics.

/// Records a request that was answered, or whose client left. Most requests are served in time at the first attempt; these get no log line
/// of their own, their ids are logged in batches.
void request_handler::logAnswered(attempt_outcome end)
{
    const auto first = timeToFirstEvent();
    const auto outcome
        = end == attempt_outcome::caller_left ? request_outcome::caller_left : outcomeOfAnswer(*m_route, m_status, first, m_longestPause);
    if (recordResult(outcome)) {
        return;
    }
    requestLog.writeEssential(attemptOutcomeName(end),
                              {{"request", m_head.requestId.value()},
                               {"route", m_route->name},
                               {"outcome", requestOutcomeName(outcome)},
                               {"status", m_status},
                               {"tries", m_attempts},
                               {"replica", m_triedReplicas.empty() ? "" : m_triedReplicas.back().value()},
                               {"others_there", m_concurrentRequests},
                               {"held_ms", elapsed().count()},
                               {"time_left_ms", timeLeft().count()},
                               {"first_ms", first.value_or(duration(-1)).count()},
                               {"pause_ms", m_longestPause.count()},
                               {"last_event", m_events.lastId()},
                               {"through", m_proxy ? m_proxy->text() : ""},
                               {"dispatch", m_dispatchText}});
}

/// Counts the outcome of the request. Returns true if its id is logged in a batch, so that no line of its own is needed.
bool request_handler::recordResult(request_outcome outcome)
{
    const request_result result{outcome, timeToFirstEvent(), m_longestPause, elapsed(), m_triedReplicas.size()};
    // A request without a route has been refused, and is counted by the kind of refusal.
    if (m_route != nullptr) {
        m_context.requestMetrics.record(m_route->kind, result);
    }
    const bool isInBatch = isServedAtFirstAttempt(result);
    if (isInBatch) {
        m_context.requestIds.addServed(m_head.requestId.value());
    } else {
        m_context.requestIds.removeArrival(m_head.requestId.value());
    }
    return isInBatch;
}

/// Counts the outcome of an attempt, and logs it unless the request was answered.
void request_handler::recordAttempt(const backend &target, attempt_outcome outcome) const
{
    m_context.attemptCounters.at(static_cast<std::size_t>(outcome)).increment();
    if (outcome == attempt_outcome::answered) {
        return;
    }
    requestLog.writeEssential("try_ended",
                              {{"request", m_head.requestId.value()},
                               {"replica", target.replica.value()},
                               {"group", target.group.value()},
                               {"end", attemptOutcomeName(outcome)},
                               {"why", m_lastReason},
                               {"identity", m_identity ? m_identity->value() : ""},
                               {"replica_found", m_replicaLiveness ? replicaLivenessName(*m_replicaLiveness) : ""},
                               {"parts", outcome == attempt_outcome::lost ? partIdentities() : ""},
                               {"had_head", m_headAt.has_value()},
                               {"pieces", m_pieces},
                               {"others_there", m_concurrentRequests},
                               {"try_ms", (monotonicNow() - m_attemptStart).count()},
                               {"silent_ms", (monotonicNow() - m_lastReceived).count()},
                               {"last_event", m_events.lastId()},
                               {"through", m_proxy ? m_proxy->text() : ""},
                               {"dispatch", m_dispatchText}});
}

/// The identities of the prompt's parts, for the log; empty while the digest key is unknown.
std::string request_handler::partIdentities() const
{
    const auto key = m_context.crashes.digestKey();
    std::vector<std::string> identities;
    for (const auto &part : m_head.parts.shared) {
        if (key) {
            identities.push_back(identityOf(*key, part).value());
        }
    }
    return fmt::format("{}", fmt::join(identities, " "));
}

/// The time from the request's arrival until the first part of its answer was sent; empty if none was.
std::optional<duration> request_handler::timeToFirstEvent() const
{
    return m_firstSent ? std::optional(*m_firstSent - m_arrival) : std::nullopt;
}

/// The time since the request's arrival.
duration request_handler::elapsed() const
{
    return monotonicNow() - m_arrival;
}

} // namespace vetchpost
