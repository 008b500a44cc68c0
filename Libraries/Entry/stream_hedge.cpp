// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that asks a second group for a stream whose first group is silent, and goes on with the first of the two that
// sends an event.
#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"
#include "Libraries/Entry/request_handler.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");
/// A second group is only of use if it can be connected to at once; the first connection is not read meanwhile.
constexpr duration hedgeConnectTimeout(30);
/// The part of the retry budget that hedging leaves for requests whose replica was lost.
constexpr double reservedBudgetShare = 0.5;

} // namespace

/// The two connections of a hedged stream while neither has won.
struct request_handler::hedge_race
{
    http_upstream &first;
    bool hasFirstHead;
    backend firstTarget;
    http_upstream second;
    backend secondTarget;
    instant secondSentAt;
    std::optional<upstream_head> firstHead;
    std::optional<upstream_head> secondHead;
    event_splitter secondEvents;
    attempt_outcome lastFailure = attempt_outcome::lost;
};

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
    const auto &candidates = newest->backends(*m_service, m_head.model);
    auto excluded = m_context.constraints.blockedBackends(candidates, m_triedReplicas).replicas;
    excluded.insert(excluded.end(), m_triedReplicas.begin(), m_triedReplicas.end());
    const auto *chosen = chooseBackend(candidates, excluded, newest->dataCentre, now, m_context.nextSequenceNumber(), randomNumber(), true);
    // A group that rejected this daemon's last request is full.
    const bool isUsable
        = chosen != nullptr && chosen->load->avoidedUntil.load() <= now.time_since_epoch().count() && chosen->load->rejections.load() == 0;
    auto &cold = m_context.constraints.cold();
    if (isUsable && cold.hasAny() && !cold.takeSend(keyOf(*chosen))) {
        return std::nullopt;
    }
    if (!isUsable || !m_context.consumeRetry(m_service->id, reservedBudgetShare) || !m_context.constraints.consumePermit(*chosen)) {
        return std::nullopt;
    }
    return *chosen;
}

/// Asks a second group for the rest of a stream whose first group \a target is silent, and waits until one of the two has an event. If the
/// second one wins, it replaces \a upstream and \a target, and its events are in m_hedgedEvents.
request_handler::hedge_result request_handler::hedge(http_upstream &upstream, backend &target, bool hasHead)
{
    const auto chosen = reserveHedge();
    m_isHedged = true;
    if (!chosen) {
        return {race_end::first, std::nullopt};
    }
    m_context.retried.increment();
    m_triedReplicas.push_back(chosen->replica);
    hedge_race race{upstream, hasHead, target, {}, *chosen, monotonicNow(), {}, {}, m_events, attempt_outcome::lost};
    race.secondEvents.discardPartial();
    reason why;
    path_failure failure{};
    auto connection = connectTo(*chosen, hedgeConnectTimeout, failure, why);
    if (!connection || !race.second.send(connection->connection, replicaCall(*chosen), why)) {
        m_attempts += connection ? 1 : 0;
        avoid(*chosen->load, monotonicNow());
        logHedge(race, "unreachable");
        return {race_end::first, std::nullopt};
    }
    ++m_attempts;
    m_mayHaveRun = true;
    m_context.constraints.recordSent(*chosen);
    chosen->load->outstanding.fetch_add(1);
    const auto winner = runRace(race);
    chosen->load->outstanding.fetch_sub(1);
    logHedge(race, winner == race_end::second ? "second" : winner == race_end::first ? "first" : "neither");
    if (winner == race_end::second) {
        upstream = std::move(race.second);
        adoptSecond(race, target);
        return {winner, std::move(race.secondHead)};
    }
    m_hedgeFailure = race.lastFailure;
    return {winner, std::move(race.firstHead)};
}

/// Replaces the first connection by the second one, which continues the stream.
void request_handler::adoptSecond(hedge_race &race, backend &target)
{
    const auto now = monotonicNow();
    target.load->outstanding.fetch_sub(1);
    target = race.secondTarget;
    target.load->outstanding.fetch_add(1);
    // The second group was chosen without a dispatcher. The first one is not to blame: the network loses packets.
    releasePlace(attempt_outcome::answered);
    m_events = race.secondEvents;
    m_attemptStart = race.secondSentAt;
    m_hasProgress = false;
    m_context.habits.with(m_service->id, m_head.model, [&](const stream_habits & /*habits*/, observed_losses &losses) {
        recordHedgeWon(losses, race.firstTarget.replica, now);
    });
}

/// Waits until one of the two connections has an event, or only the first one is left.
request_handler::race_end request_handler::runRace(hedge_race &race)
{
    while (race.first.isOpen() || race.second.isOpen()) {
        const auto event = upstream_pair(race.first, race.second).wait(m_deadline, m_exchange.socketDescriptor());
        if (event.hasCallerLeft || monotonicNow() >= m_deadline) {
            race.lastFailure = event.hasCallerLeft ? attempt_outcome::caller_left : attempt_outcome::timed_out;
            m_lastReason = event.hasCallerLeft ? "the client has gone" : "the deadline passed";
            return race_end::neither;
        }
        if (event.isFirstReady && isFirstUsable(race)) {
            return race_end::first;
        }
        if (event.isSecondReady && readSecond(race)) {
            return race_end::second;
        }
        if (!race.second.isOpen() && race.first.isOpen()) {
            return race_end::first;
        }
    }
    return race_end::neither;
}

/// Whether the first connection, which is readable, can go on with the stream. Reads its head unless that was read before, and closes it
/// if it was lost or its answer is of no use. The caller reads the events.
bool request_handler::isFirstUsable(hedge_race &race)
{
    if (race.hasFirstHead) {
        if (!race.first.isAtEnd()) {
            return true;
        }
        m_lastReason = "the stream broke off";
        recordLoss(race.firstTarget);
    } else {
        race.firstHead = readHead(race.first, race.firstTarget, race.lastFailure);
        if (race.firstHead && isSuccessStatus(race.firstHead->status)) {
            return true;
        }
        race.firstHead.reset();
        updateLoad(race.firstTarget, race.lastFailure);
    }
    race.first.close();
    return false;
}

/// Reads what has arrived on the second connection. Returns whether it holds an event; closes the connection if its answer is of no use.
bool request_handler::readSecond(hedge_race &race)
{
    if (!race.secondHead) {
        race.secondHead = readHead(race.second, race.secondTarget, race.lastFailure);
        if (!race.secondHead || !isSuccessStatus(race.secondHead->status)) {
            if (race.lastFailure == attempt_outcome::not_run) {
                recordRejection(*race.secondTarget.load, monotonicNow());
            }
            race.second.close();
            return false;
        }
    }
    std::string piece;
    const auto wait = race.second.nextPiece(piece, monotonicNow(), -1);
    if (wait == upstream_event::timeout) {
        return false;
    }
    m_hedgedEvents.clear();
    const bool hasEvents = wait == upstream_event::data && race.secondEvents.extractEvents(piece, m_hedgedEvents) > 0;
    const bool hasEnded = wait == upstream_event::end && !race.secondEvents.hasPartial() && !race.second.endsWithConnection();
    if (wait != upstream_event::data && !hasEnded) {
        race.second.close();
    }
    return hasEvents || hasEnded;
}

void request_handler::logHedge(const hedge_race &race, const char *winner) const
{
    m_context.hedgeCounter(winner).increment();
    requestLog.writeEssential("hedged",
                              {{"request", m_head.requestId.value()},
                               {"replica", race.secondTarget.replica.value()},
                               {"first", race.firstTarget.replica.value()},
                               {"had_head", race.hasFirstHead},
                               {"went_on", winner},
                               {"after_ms", (race.secondSentAt - m_lastSent.value_or(m_arrival)).count()},
                               {"took_ms", (monotonicNow() - race.secondSentAt).count()},
                               {"last_event", m_events.lastId()}});
}

} // namespace vetchpost
