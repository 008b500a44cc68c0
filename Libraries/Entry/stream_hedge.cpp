// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that decides when a second group is asked for a stream because the network loses packets.
#include "Libraries/Entry/request_handler.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// The part of the retry budget that hedging leaves for requests whose replica was lost.
constexpr double reservedBudgetShare = 0.5;

} // namespace

/// Records the time to the first event of an attempt, or between two events.
void request_handler::recordEventTime(const backend &target, duration pause) const
{
    if (!isHedgeable()) {
        return;
    }
    const auto now = monotonicNow();
    m_context.habits.with(m_service->id, m_head.model, [&](stream_habits &habits, observed_losses &losses) {
        if (m_hasProgress) {
            if (recordPause(habits, target.replica, pause, now)) {
                recordRetransmission(losses, now);
            }
        } else {
            recordFirstEventTime(habits, now - m_attemptStart);
        }
    });
}

/// Whether the route and the model allow a second group for one stream.
bool request_handler::isHedgeable() const
{
    return isStream() && m_route->isResumable && m_route->pauseLimit > duration() && m_isModelKnown;
}

/// Returns how long the group may be silent before a second group is asked; nothing if none is asked.
std::optional<duration> request_handler::silenceBeforeHedge(const backend &target, bool hasHead) const
{
    if (!isHedgeable() || m_isHedged || m_attempts >= m_route->maximumAttempts) {
        return std::nullopt;
    }
    const auto now = monotonicNow();
    return m_context.habits.with(
        m_service->id, m_head.model, [&](const stream_habits &habits, observed_losses &losses) -> std::optional<duration> {
            confirmHedges(
                losses, [&](const instance_id &head) { return isServing(head, now); }, now);
            if (!losesPackets(losses, now)) {
                return std::nullopt;
            }
            const auto untilLate = m_route->objective - m_priorWait - (m_attemptStart - m_arrival);
            return hasHead ? pauseBeforeHedge(habits, target.replica, m_route->pauseLimit) : firstEventBeforeHedge(habits, untilLate);
        });
}

/// Whether the group of this head still accepts requests and is not avoided.
bool request_handler::isServing(const instance_id &head, instant now) const
{
    const auto view = m_context.currentView();
    return std::any_of(view->groups.begin(), view->groups.end(), [&](const auto &entry) {
        return std::any_of(entry.second.begin(), entry.second.end(), [&](const backend &candidate) {
            return candidate.replica == head && candidate.load->avoidedUntil.load() <= now.time_since_epoch().count();
        });
    });
}

/// Chooses the second group, if another one has spare capacity and the retry budget is large enough.
std::optional<backend> request_handler::reserveHedge()
{
    const auto now = monotonicNow();
    if (m_context.shedding.isShedding(m_service->id, m_head.model, now) || timeLeft() < m_route->pauseLimit) {
        return std::nullopt;
    }
    const auto newest = m_context.currentView();
    auto excluded = m_triedReplicas;
    for (const auto &candidate : newest->backends(*m_service, m_head.model)) {
        // A group that rejected this daemon's last request is full.
        if (candidate.load->avoidedUntil.load() > now.time_since_epoch().count() || candidate.load->rejections.load() > 0) {
            excluded.push_back(candidate.replica);
        }
    }
    return reserveAmong(*newest, excluded, reservedBudgetShare);
}

/// Asks a second group for the rest of a stream whose first group \a target is silent, if there is one to ask. This happens once for a
/// request.
request_handler::race_result request_handler::hedge(http_upstream &upstream, backend &target, bool hasHead)
{
    m_isHedged = true;
    const auto chosen = reserveHedge();
    return chosen ? race(race_cause::losses, *chosen, upstream, target, hasHead) : race_result{race_end::first, std::nullopt};
}

} // namespace vetchpost
