// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that waits for one replica's answer and relays it.
#include "Libraries/Entry/request_handler.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A stream has stalled when its replica sends nothing for this time: ten times the usual pause, and under half of the two seconds after
/// which clients give up a stream.
constexpr duration stallPause(700);
/// After a pause of this length the coordinator is asked to probe the group: four times the usual pause of a fully loaded group.
constexpr duration stallReportPause(250);
/// A stream waits for its first event for this time, or for twice the route's objective if that is longer, before it may be retried
/// elsewhere.
constexpr duration minimumFirstEventTimeout(900);
constexpr int objectivesUntilFirstEvent = 2;
/// An idempotent request is retried elsewhere once it exceeds its route's objective, but not before this time.
constexpr duration minimumRetryTimeout(200);
/// How often a waiting request checks for a stall warning about its replica's group, and whether the daemon stops.
constexpr duration stallWarningCheckPeriod(120);
constexpr int firstServerError = 500;

/// The outcome of an attempt whose wait for data ended with \a wait.
attempt_outcome outcomeOf(upstream_event wait)
{
    switch (wait) {
    case upstream_event::caller_left:
        return attempt_outcome::caller_left;
    case upstream_event::timeout:
        return attempt_outcome::timed_out;
    case upstream_event::lost:
    case upstream_event::data:
    case upstream_event::end:
        break;
    }
    return attempt_outcome::lost;
}

/// Why a wait ended without data, for the log; \a whenLost if the connection was lost.
std::string_view reasonOf(upstream_event wait, std::string_view whenLost)
{
    switch (wait) {
    case upstream_event::caller_left:
        return "the client has gone";
    case upstream_event::timeout:
        return "the deadline passed";
    case upstream_event::lost:
    case upstream_event::data:
    case upstream_event::end:
        break;
    }
    return whenLost;
}

} // namespace

/// Waits for the head of the replica's answer and relays the answer. Asks a second replica too if this one is silent for too long. Gives
/// the attempt up if it must be withdrawn.
attempt_outcome request_handler::awaitAnswer(http_upstream &upstream, backend &target)
{
    for (;;) {
        const bool mayMove = m_attempts < m_route->maximumAttempts && m_route->mayRunAgain();
        const auto answerDeadline = firstAnswerDeadline(m_attemptStart);
        const auto hedgeAfter = silenceBeforeHedge(target, false);
        auto wait = upstream_event::timeout;
        do {
            auto until = std::min(answerDeadline, monotonicNow() + stallWarningCheckPeriod);
            const auto hedgeAt = hedgeAfter && !m_isHedged ? std::optional(m_attemptStart + *hedgeAfter) : std::nullopt;
            until = std::min(until, hedgeAt.value_or(until));
            wait = upstream.waitForAnswer(std::min(deadline(), until), m_exchange.socketDescriptor());
            if (wait == upstream_event::timeout && hedgeAt && monotonicNow() >= *hedgeAt && isStillSilent(upstream)) {
                auto result = hedge(upstream, target, false);
                if (result.winner == race_end::neither) {
                    return m_raceFailure;
                }
                if (result.head) {
                    return relayAnswer(upstream, *result.head, target);
                }
            }
        } while (wait == upstream_event::timeout && monotonicNow() < std::min(deadline(), answerDeadline)
                 && !(isStream() && hasStallWarning(target)) && !mustWithdraw());
        if (wait == upstream_event::data) {
            return relayAnswer(upstream, target);
        }
        if (wait != upstream_event::timeout || monotonicNow() >= deadline()) {
            m_lastReason = reasonOf(wait, "the connection broke off before an answer");
            return outcomeOf(wait);
        }
        if (mustWithdraw()) {
            m_lastReason = "replicas have ended elsewhere while running the same request";
            return attempt_outcome::withdrawn;
        }
        if (mayMove && (!isStream() || isStalled(target) || hasStallWarning(target))) {
            auto result = raceSilent(upstream, target, false);
            if (result.winner == race_end::neither) {
                return m_raceFailure;
            }
            if (result.head) {
                return relayAnswer(upstream, *result.head, target);
            }
            if (result.winner == race_end::second) {
                continue;
            }
        }
        // Other requests make progress at the replica, or no other replica can take this one: the wait goes on.
        const bool mustCheckAgain = mayMove || isStream();
        const auto pause = mustCheckAgain ? stallPause : stallWarningCheckPeriod;
        const auto next = upstream.waitForAnswer(std::min(deadline(), monotonicNow() + pause), m_exchange.socketDescriptor());
        if (next == upstream_event::data) {
            return relayAnswer(upstream, target);
        }
        if (next == upstream_event::caller_left || monotonicNow() >= deadline()) {
            m_lastReason = reasonOf(next, "the connection broke off before an answer");
            return outcomeOf(next);
        }
    }
}

/// Whether a connection on which a wait has ended without data still has none. After a suspension of this daemon, bytes may have arrived
/// that the wait did not see.
bool request_handler::isStillSilent(http_upstream &upstream) const
{
    return upstream.waitForAnswer(monotonicNow(), -1) == upstream_event::timeout;
}

/// Reads the head of the replica's answer and checks that it belongs to this request. Returns nothing and sets \a failure if the replica
/// did not run the request or the answer is unusable.
std::optional<upstream_head> request_handler::readHead(http_upstream &upstream, const backend &target, attempt_outcome &failure)
{
    reason why;
    failure = attempt_outcome::lost;
    auto head = upstream.readHead(why);
    if (!head) {
        m_lastReason = why.text;
        return std::nullopt;
    }
    const auto answer = m_context.dialect.readAnswer(head->status, head->headers);
    if (answer.requestId != m_head.requestId) {
        m_lastReason = "the answer is to another request: " + answer.requestId.value();
        return std::nullopt;
    }
    m_context.applyNotice(target, m_context.dialect.readNotice(head->status, head->headers), m_head.requestId);
    if (m_context.constraints.cold().isOn()) {
        m_context.constraints.cold().applyNotice(
            keyOf(target), m_service->coldPerSecond, m_context.dialect.readColdNotice(head->status, head->headers));
    }
    if (answer.hasNotRun) {
        m_lastReason = "the replica did not run it: status " + std::to_string(head->status);
        failure = attempt_outcome::not_run;
        return std::nullopt;
    }
    if (isSuccessStatus(head->status) && !answer.hasServerStamp) {
        m_lastReason = "a success status without the replica's stamp";
        return std::nullopt;
    }
    return head;
}

/// Reads the head of the replica's answer and relays the answer.
attempt_outcome request_handler::relayAnswer(http_upstream &upstream, backend &target)
{
    auto failure = attempt_outcome::lost;
    const auto head = readHead(upstream, target, failure);
    return head ? relayAnswer(upstream, *head, target) : failure;
}

/// Relays an answer whose head was read.
attempt_outcome request_handler::relayAnswer(http_upstream &upstream, const upstream_head &head, backend &target)
{
    m_headAt = monotonicNow();
    m_lastReceived = *m_headAt;
    if (isStream() && isSuccessStatus(head.status)) {
        return relayEvents(upstream, head, target);
    }
    const auto outcome = relayBuffered(upstream, head);
    if (outcome == attempt_outcome::answered) {
        recordProgress(target);
    }
    return outcome;
}

/// Reads a plain answer completely before anything is sent to the client. Keeps a server error in m_failure instead of sending it if the
/// request may be retried.
attempt_outcome request_handler::relayBuffered(http_upstream &upstream, const upstream_head &head)
{
    buffered_answer answer{head, {}};
    answer_memory_share memory(m_context.answers);
    std::string piece;
    for (;;) {
        const auto wait
            = upstream.nextPiece(piece, std::min(deadline(), monotonicNow() + stallWarningCheckPeriod), m_exchange.socketDescriptor());
        if (wait == upstream_event::end) {
            break;
        }
        if (wait == upstream_event::timeout && monotonicNow() < deadline()) {
            continue;
        }
        if (wait != upstream_event::data || monotonicNow() >= deadline()) {
            const auto end = wait == upstream_event::data ? upstream_event::timeout : wait;
            m_lastReason = reasonOf(end, "the answer is incomplete");
            return outcomeOf(end);
        }
        if (!memory.append(answer.body, piece)) {
            m_lastReason = "the answers that are being received are too large";
            return attempt_outcome::lost;
        }
    }
    const bool mayRetryFailure = head.status >= firstServerError && m_route->mayRunAgain();
    if (mayRetryFailure) {
        m_lastReason = "the replica failed: status " + std::to_string(head.status);
        m_failure = std::move(answer);
        return attempt_outcome::failed;
    }
    return sendBuffered(answer) ? attempt_outcome::answered : attempt_outcome::caller_left;
}

/// Relays the complete events of a stream as they arrive. Asks a second replica too if the stream stalls and another replica can resume it.
attempt_outcome request_handler::relayEvents(http_upstream &upstream, const upstream_head &head, backend &target)
{
    if (m_secondEvents.empty()) {
        m_events.discardPartial();
    } else if (!relaySecondEvents(head, target)) {
        return attempt_outcome::caller_left;
    }
    std::string piece;
    auto pauseStart = monotonicNow();
    for (;;) {
        if (!m_firstEvents.empty()) {
            recordReceived(target, pauseStart);
            pauseStart = monotonicNow();
            if (!relayComplete(std::exchange(m_firstEvents, {}), head)) {
                return attempt_outcome::caller_left;
            }
        }
        const auto hedgeAfter = silenceBeforeHedge(target, true);
        auto wait = upstream.nextPiece(piece,
                                       std::min(deadline(), pauseStart + std::min(stallReportPause, hedgeAfter.value_or(stallReportPause))),
                                       m_exchange.socketDescriptor());
        if (wait == upstream_event::timeout && hedgeAfter && monotonicNow() < deadline() && isStillSilent(upstream)) {
            auto result = hedge(upstream, target, true);
            if (result.winner == race_end::neither) {
                return m_raceFailure;
            }
            if (result.winner == race_end::second) {
                return result.head ? relayAnswer(upstream, *result.head, target) : awaitAnswer(upstream, target);
            }
            if (!m_firstEvents.empty()) {
                continue;
            }
            wait = upstream.nextPiece(
                piece, std::min(deadline(), std::max(pauseStart + stallReportPause, monotonicNow())), m_exchange.socketDescriptor());
        }
        if (wait == upstream_event::timeout && monotonicNow() < deadline()) {
            m_context.reportStall(target.replica);
            while (wait == upstream_event::timeout && monotonicNow() < std::min(deadline(), pauseStart + stallPause)
                   && !hasStallWarning(target)) {
                const auto until = std::min(pauseStart + stallPause, monotonicNow() + stallWarningCheckPeriod);
                wait = upstream.nextPiece(piece, std::min(deadline(), until), m_exchange.socketDescriptor());
            }
        }
        if (wait == upstream_event::data && monotonicNow() >= deadline()) {
            wait = upstream_event::timeout;
        }
        if (wait == upstream_event::data) {
            ++m_pieces;
            std::string events;
            const bool hasEvents = m_events.extractEvents(piece, events) > 0;
            if (m_events.isOverlong()) {
                m_lastReason = "the stream's bytes are no events";
                return attempt_outcome::lost;
            }
            if (!hasEvents) {
                // Part of an event is no progress.
                continue;
            }
            recordReceived(target, pauseStart);
            pauseStart = monotonicNow();
            if (!relayComplete(events, head)) {
                return attempt_outcome::caller_left;
            }
        } else if (wait == upstream_event::end && isStreamWhole(upstream)) {
            beginStream(head);
            m_exchange.completeAnswer();
            m_context.served.increment();
            return attempt_outcome::answered;
        } else if (wait == upstream_event::timeout && monotonicNow() < deadline()) {
            pauseStart = monotonicNow();
            const bool mayMove = m_route->isResumable && m_attempts < m_route->maximumAttempts;
            if (mayMove && (hasStallWarning(target) || isStalled(target))) {
                const auto result = raceSilent(upstream, target, true);
                if (result.winner == race_end::neither) {
                    return m_raceFailure;
                }
                if (result.winner == race_end::second) {
                    return result.head ? relayAnswer(upstream, *result.head, target) : awaitAnswer(upstream, target);
                }
            }
        } else {
            m_lastReason = reasonOf(wait, "the stream broke off");
            return outcomeOf(wait);
        }
    }
}

/// Whether a stream whose body has ended is whole. A replica that terminates also ends a body that has neither a length nor chunks: such a
/// stream has at least one event, and does not end inside one.
bool request_handler::isStreamWhole(const http_upstream &upstream) const
{
    return !m_events.hasPartial() && (m_firstSent || !upstream.endsWithConnection());
}

/// Sends the events that a second replica's connection has delivered while the two were waited for. Returns false if the client has closed
/// the connection.
bool request_handler::relaySecondEvents(const upstream_head &head, const backend &target)
{
    recordEventTime(target, duration());
    recordProgress(target);
    beginStream(head);
    recordSent();
    return m_exchange.write(std::exchange(m_secondEvents, {}));
}

/// Records that events have arrived after a pause that began at \a pauseStart.
void request_handler::recordReceived(const backend &target, instant pauseStart)
{
    m_lastReceived = monotonicNow();
    recordEventTime(target, m_lastReceived - pauseStart);
    recordProgress(target);
}

/// Whether no request of this daemon has made progress at the replica for stallPause.
bool request_handler::isStalled(const backend &target) const
{
    return monotonicNow().time_since_epoch().count() - target.load->lastProgress.load() >= stallPause.count();
}

/// Whether the coordinator has warned that the replica's group has probably stalled, after this attempt began and after the replica last
/// sent anything to this daemon.
bool request_handler::hasStallWarning(const backend &target) const
{
    const auto since = std::max<std::int64_t>(m_attemptStart.time_since_epoch().count(), target.load->lastProgress.load());
    return target.load->stallWarnedAt.load() >= since;
}

/// The time until which the answer to an attempt that began at \a start is awaited before another replica is asked.
instant request_handler::firstAnswerDeadline(instant start) const
{
    const auto objective = m_route->objective;
    if (isStream()) {
        return start + std::max(minimumFirstEventTimeout, objective * objectivesUntilFirstEvent);
    }
    return m_route->mayRunAgain() ? start + std::max(minimumRetryTimeout, objective) : deadline();
}

} // namespace vetchpost
