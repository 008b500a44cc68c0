// SPDX-License-Identifier: Apache-2.0
// The part of request_run that waits for one replica's answer and passes it on.
#include "Libraries/Entry/request_run.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A stream whose replica sends nothing for so long stands still: ten times the usual pause, under half of the two seconds after which
/// clients give a stream up.
constexpr duration stallPause(700);
/// After a pause of so long the coordinator is asked to look at the group: four times the usual pause of a full group.
constexpr duration lookPause(250);
/// A first event takes at least so long before its group is looked at; twice the route's objective where that is more.
constexpr duration leastFirstEventPatience(900);
constexpr int objectivesUntilFirstEvent = 2;
/// An idempotent call is tried elsewhere once it is late, but not before this.
constexpr duration leastRetryPatience(200);
/// How often a request that waits looks whether its place was told to stand still.
constexpr duration doubtLookPeriod(120);
/// Plain answers are held until they are whole; no service answers with more.
constexpr std::size_t maximumAnswerBytes = 16U << 20U;
constexpr int firstServerError = 500;

try_end endOf(upstream_wait wait)
{
    switch (wait) {
    case upstream_wait::caller_left:
        return try_end::caller_left;
    case upstream_wait::timeout:
        return try_end::timed_out;
    case upstream_wait::lost:
    case upstream_wait::data:
    case upstream_wait::end:
        break;
    }
    return try_end::lost;
}

/// Why a wait ended without what was waited for.
std::string_view whyOf(upstream_wait wait, std::string_view whenLost)
{
    switch (wait) {
    case upstream_wait::caller_left:
        return "the client has gone";
    case upstream_wait::timeout:
        return "the deadline passed";
    case upstream_wait::lost:
    case upstream_wait::data:
    case upstream_wait::end:
        break;
    }
    return whenLost;
}

} // namespace

try_end request_run::awaitHead(http_upstream &upstream, const backend &target)
{
    for (;;) {
        const bool mayMove = m_attempts < m_route->maximumAttempts && m_route->mayRunAgain();
        const auto patience = firstAnswerPatience();
        auto wait = upstream_wait::timeout;
        do {
            const auto until = isStream() ? std::min(patience, monotonicNow() + doubtLookPeriod) : patience;
            wait = upstream.waitForAnswer(std::min(m_deadline, until), m_exchange.socketDescriptor());
        } while (wait == upstream_wait::timeout && monotonicNow() < std::min(m_deadline, patience) && !isDoubted(target)
                 && !mustWithdraw());
        if (wait == upstream_wait::data) {
            return passAnswer(upstream, target);
        }
        if (wait != upstream_wait::timeout || monotonicNow() >= m_deadline) {
            m_lastWhy = whyOf(wait, "the connection broke off before an answer");
            return endOf(wait);
        }
        if (mustWithdraw()) {
            m_lastWhy = "replicas have ended under the same request elsewhere";
            return try_end::withdrawn;
        }
        const bool isSilent = mayMove && (!isStream() || isStandingStill(target));
        if ((mayMove && isDoubted(target)) || (isSilent && takeRepeatElsewhere())) {
            m_lastWhy = "the replica is silent";
            return try_end::silent;
        }
        // Others make progress there, or nobody else may take it: it is waited for to the end.
        const bool mustLookAgain = mayMove || isStream();
        const auto next = upstream.waitForAnswer(mustLookAgain ? std::min(m_deadline, monotonicNow() + stallPause) : m_deadline,
                                                 m_exchange.socketDescriptor());
        if (next == upstream_wait::data) {
            return passAnswer(upstream, target);
        }
        if (next == upstream_wait::caller_left || monotonicNow() >= m_deadline) {
            m_lastWhy = whyOf(next, "the connection broke off before an answer");
            return endOf(next);
        }
    }
}

try_end request_run::passAnswer(http_upstream &upstream, const backend &target)
{
    reason why;
    const auto head = upstream.readHead(why);
    if (!head) {
        m_lastWhy = why.text;
        return try_end::lost;
    }
    const auto answer = m_context.dialect.readAnswer(head->status, head->headers);
    if (answer.attempt != m_head.attempt) {
        m_lastWhy = "the answer is to another request: " + answer.attempt.value();
        return try_end::lost;
    }
    m_context.noteNotice(target, m_context.dialect.readNotice(head->status, head->headers), m_head.attempt);
    if (answer.hasNotRun) {
        m_lastWhy = "the replica did not run it: status " + std::to_string(head->status);
        return try_end::not_run;
    }
    if (isSuccessStatus(head->status) && !answer.isSigned) {
        m_lastWhy = "a success without the replica's signature";
        return try_end::lost;
    }
    if (isStream() && isSuccessStatus(head->status)) {
        return passEvents(upstream, *head, target);
    }
    const auto end = passWhole(upstream, *head);
    if (end == try_end::answered) {
        noteProgress(target);
    }
    return end;
}

try_end request_run::passWhole(http_upstream &upstream, const upstream_head &head)
{
    whole_answer answer{head, {}};
    std::string piece;
    for (;;) {
        const auto wait = upstream.nextPiece(piece, m_deadline, m_exchange.socketDescriptor());
        if (wait == upstream_wait::end) {
            break;
        }
        answer.body += piece;
        if (wait != upstream_wait::data || answer.body.size() > maximumAnswerBytes) {
            m_lastWhy = whyOf(wait, "the answer did not come whole");
            return endOf(wait);
        }
    }
    const bool mayDoBetter = head.status >= firstServerError && m_route->mayRunAgain();
    if (mayDoBetter) {
        m_lastWhy = "the replica failed: status " + std::to_string(head.status);
        m_failure = std::move(answer);
        return try_end::failed;
    }
    return sendWhole(answer) ? try_end::answered : try_end::caller_left;
}

try_end request_run::passEvents(http_upstream &upstream, const upstream_head &head, const backend &target)
{
    m_events.dropPartial();
    std::string piece;
    for (;;) {
        const auto pauseStart = monotonicNow();
        auto wait = upstream.nextPiece(piece, std::min(m_deadline, pauseStart + lookPause), m_exchange.socketDescriptor());
        if (wait == upstream_wait::timeout && monotonicNow() < m_deadline) {
            m_context.noteStall(target.replica);
            while (wait == upstream_wait::timeout && monotonicNow() < std::min(m_deadline, pauseStart + stallPause) && !isDoubted(target)) {
                const auto until = std::min(pauseStart + stallPause, monotonicNow() + doubtLookPeriod);
                wait = upstream.nextPiece(piece, std::min(m_deadline, until), m_exchange.socketDescriptor());
            }
        }
        if (wait == upstream_wait::data) {
            noteProgress(target);
            if (!passPiece(piece, head)) {
                return try_end::caller_left;
            }
        } else if (wait == upstream_wait::end && !m_events.hasPartial()) {
            beginStream(head);
            m_context.served.increment();
            return try_end::answered;
        } else if (wait == upstream_wait::timeout && monotonicNow() < m_deadline) {
            const bool mayMove = m_route->isResumable && m_attempts < m_route->maximumAttempts;
            if (mayMove && (isDoubted(target) || isStandingStill(target)) && takeRepeatElsewhere()) {
                m_lastWhy = "the stream stands still";
                return try_end::silent;
            }
        } else {
            m_lastWhy = whyOf(wait, "the stream broke off");
            return endOf(wait);
        }
    }
}

/// False once the caller has gone.
bool request_run::passPiece(const std::string &piece, const upstream_head &head)
{
    std::string events;
    m_events.take(piece, events);
    if (events.empty()) {
        return true;
    }
    beginStream(head);
    noteSent();
    return m_exchange.write(events);
}

void request_run::noteSent()
{
    const auto now = monotonicNow();
    if (m_lastSent) {
        m_longestPause = std::max(m_longestPause, now - *m_lastSent);
    }
    if (!m_firstSent && isStream() && m_service->engine) {
        m_context.shedding.recordFirstEvent(m_service->id, m_head.model, now - m_arrival > m_route->objective, now);
    }
    m_firstSent = m_firstSent.value_or(now);
    m_lastSent = now;
}

/// The first replica's head is the answer's; a replica that goes on with the stream adds events alone.
void request_run::beginStream(const upstream_head &head)
{
    if (m_hasBegun) {
        return;
    }
    m_hasBegun = true;
    m_status = head.status;
    m_exchange.beginAnswer(head.status, head.reasonPhrase, m_context.dialect.clientHeaders(head.headers), std::nullopt);
}

bool request_run::sendWhole(const whole_answer &answer)
{
    m_hasBegun = true;
    m_status = answer.head.status;
    noteSent();
    m_exchange.beginAnswer(
        answer.head.status, answer.head.reasonPhrase, m_context.dialect.clientHeaders(answer.head.headers), answer.body.size());
    const bool isSent = m_exchange.write(answer.body);
    if (isSent) {
        m_context.served.increment();
    }
    return isSent;
}

bool request_run::isStandingStill(const backend &target) const
{
    return monotonicNow().time_since_epoch().count() - target.load->lastProgress.load() >= stallPause.count();
}

/// Whether the coordinator has told, since this request was sent there and since anything came from there, that the place is likely to
/// stand still.
bool request_run::isDoubted(const backend &target) const
{
    const auto since = std::max<std::int64_t>(m_tryStart.time_since_epoch().count(), target.load->lastProgress.load());
    return target.load->stallWarnedAt.load() >= since;
}

instant request_run::firstAnswerPatience() const
{
    const auto objective = m_route->objective;
    if (isStream()) {
        return m_tryStart + std::max(leastFirstEventPatience, objective * objectivesUntilFirstEvent);
    }
    return m_route->mayRunAgain() ? m_tryStart + std::max(leastRetryPatience, objective) : m_deadline;
}

} // namespace vetchpost
