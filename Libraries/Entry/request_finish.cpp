// SPDX-License-Identifier: Apache-2.0
// The part of request_run that gives the client its last answer and tells the log how the request ended.
#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/draw_number.h"
#include "Libraries/Entry/request_run.h"

#include <array>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");

constexpr std::array<std::string_view, static_cast<std::size_t>(try_end::count)> tryEndNames
    = {"answered", "not_sent", "not_run", "lost", "silent", "failed", "caller_left", "timed_out", "withdrawn"};

} // namespace

std::string_view tryEndName(try_end end)
{
    return tryEndNames.at(static_cast<std::size_t>(end));
}

/// Gives the client its final answer at once, where it has none yet.
void request_run::finish(try_end end)
{
    if (end == try_end::answered || end == try_end::caller_left) {
        tellAnswered(end);
        return;
    }
    if (m_hasBegun) {
        tellEnd(request_outcome::broken_off);
        requestLog.writeKept("broken_off",
                             {{"request", m_head.attempt.value()},
                              {"route", m_route->name},
                              {"end", tryEndName(end)},
                              {"why", m_lastWhy},
                              {"no_repeat", m_noRepeatWhy},
                              {"tries", m_attempts},
                              {"replica", m_tried.empty() ? "" : m_tried.back().value()},
                              {"held_ms", held().count()},
                              {"first_ms", firstEvent().value_or(duration(-1)).count()},
                              {"pause_ms", m_longestPause.count()},
                              {"last_event", m_events.lastId()}});
        m_exchange.abort();
        return;
    }
    if (m_failure) {
        sendWhole(*m_failure);
        tellEnd(request_outcome::failed);
        requestLog.writeKept("failure_passed_on",
                             {{"request", m_head.attempt.value()},
                              {"route", m_route->name},
                              {"status", m_failure->head.status},
                              {"no_repeat", m_noRepeatWhy},
                              {"tries", m_attempts},
                              {"held_ms", held().count()}});
        return;
    }
    if (m_mayHaveRun && !m_route->mayRunAgain()) {
        refuse(end == try_end::timed_out ? error_kind::deadline_exceeded : error_kind::backend_lost,
               "the replica's answer did not come whole");
    } else if (m_mayHaveRun && end == try_end::timed_out) {
        refuse(error_kind::deadline_exceeded, "no answer in time");
    } else if (m_mayHaveRun) {
        refuse(error_kind::backend_lost, "no replica gave a whole answer");
    } else if (end == try_end::not_run) {
        refuseForWantOfPlace(error_kind::backend_refused, "the replicas take no more requests", refusal_scope::full_slots);
    } else {
        refuseForWantOfPlace(error_kind::no_serving_group, "no place takes requests", refusal_scope::whole_model);
    }
}

/// Where all places are shut by their replicas' own word, the client is told when the first of them opens.
void request_run::refuseForWantOfPlace(error_kind kind, const std::string &text, refusal_scope reach)
{
    const auto newest = m_context.currentView();
    const auto &candidates = newest->backends(*m_service, m_head.model);
    m_closed = m_context.constraints.blockedBackends(candidates, {});
    const bool isAnyOpen = m_closed.replicas.size() < candidates.size();
    const auto opensAfter = m_closed.unblockedAt && !isAnyOpen ? std::optional(*m_closed.unblockedAt - monotonicNow()) : std::nullopt;
    refuse(kind, text, opensAfter ? retryAfterWhenBlocked(*opensAfter, drawNumber()) : retryAfterFor(reach, drawNumber()));
}

void request_run::refuse(error_kind kind, const std::string &text, refusal_scope reach)
{
    if (reach == refusal_scope::this_daemon) {
        // What the connection brings next would be refused too.
        m_exchange.closeAfterwards();
    }
    refuse(kind, text, retryAfterFor(reach, drawNumber()));
}

void request_run::refuse(error_kind kind, const std::string &text, std::optional<duration> comeBackAfter)
{
    for (const auto &header : m_context.dialect.ownHeaders(m_head)) {
        m_exchange.setHeader(header.name, header.value);
    }
    m_context.counters.countRefusal(kind);
    tellEnd(request_outcome::refused);
    requestLog.writeKept("refused",
                         {{"request", m_head.attempt.value()},
                          {"identity", m_identity ? m_identity->value() : ""},
                          {"route", m_route == nullptr ? "" : m_route->name},
                          {"kind", errorAnswer(kind).name},
                          {"why", text},
                          {"last_try", m_lastWhy},
                          {"no_repeat", m_noRepeatWhy},
                          {"closed", m_closed.text()},
                          {"come_back_ms", comeBackAfter.value_or(duration(0)).count()},
                          {"tries", m_attempts},
                          {"held_ms", held().count()},
                          {"time_left_ms", timeLeft().count()}});
    m_exchange.sendError({kind, text}, m_head.attempt.value(), comeBackAfter);
}

// What the log and the metrics are told.

/// Of most requests there is nothing to say but that they were served in time: their ids go out with those of others.
void request_run::tellAnswered(try_end end)
{
    const auto first = firstEvent();
    const auto outcome
        = end == try_end::caller_left ? request_outcome::caller_left : outcomeOfAnswer(*m_route, m_status, first, m_longestPause);
    if (tellEnd(outcome)) {
        return;
    }
    requestLog.writeKept(tryEndName(end),
                         {{"request", m_head.attempt.value()},
                          {"route", m_route->name},
                          {"outcome", requestOutcomeName(outcome)},
                          {"status", m_status},
                          {"tries", m_attempts},
                          {"replica", m_tried.empty() ? "" : m_tried.back().value()},
                          {"others_there", m_othersThere},
                          {"held_ms", held().count()},
                          {"time_left_ms", timeLeft().count()},
                          {"first_ms", first.value_or(duration(-1)).count()},
                          {"pause_ms", m_longestPause.count()},
                          {"last_event", m_events.lastId()}});
}

/// Whether nothing else is to be told of it.
bool request_run::tellEnd(request_outcome outcome)
{
    const request_end end{outcome, firstEvent(), m_longestPause, held(), m_tried.size()};
    // Nothing is known of a request that has no route but that it was refused, which its kind of refusal counts.
    if (m_route != nullptr) {
        m_context.ends.note(m_route->kind, end);
    }
    const bool isOnRoll = isOrdinary(end);
    if (isOnRoll) {
        m_context.roll.noteServed(m_head.attempt.value());
    } else {
        m_context.roll.noteTold(m_head.attempt.value());
    }
    return isOnRoll;
}

void request_run::tellTry(const backend &target, try_end end) const
{
    m_context.tries.at(static_cast<std::size_t>(end)).increment();
    if (end == try_end::answered) {
        return;
    }
    requestLog.writeKept("try_ended",
                         {{"request", m_head.attempt.value()},
                          {"replica", target.replica.value()},
                          {"group", target.group.value()},
                          {"end", tryEndName(end)},
                          {"why", m_lastWhy},
                          {"identity", m_identity ? m_identity->value() : ""},
                          {"replica_found", m_replicaEnd ? replicaEndFindingName(*m_replicaEnd) : ""},
                          {"others_there", m_othersThere},
                          {"try_ms", (monotonicNow() - m_tryStart).count()},
                          {"last_event", m_events.lastId()}});
}

std::optional<duration> request_run::firstEvent() const
{
    return m_firstSent ? std::optional(*m_firstSent - m_arrival) : std::nullopt;
}

duration request_run::held() const
{
    return monotonicNow() - m_arrival;
}

} // namespace vetchpost
