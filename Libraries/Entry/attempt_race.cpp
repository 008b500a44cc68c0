// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that sends a request whose replica is silent to a second replica, and goes on with the first of the two that
// answers. The other connection is closed only then, so that a replica that was merely slow loses nothing.
#include "Libraries/Entry/attempt_race.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");
/// A hedge is only of use if the second replica can be connected to at once; the first connection is not read meanwhile. A replica that
/// has been silent for long is worth the usual time, so that replicas in other regions can be asked too.
constexpr duration hedgeConnectTimeout(30);
/// How often a waiting race checks whether the request must be withdrawn, or the second replica is silent too.
constexpr duration raceCheckPeriod(120);
constexpr int firstServerError = 500;

/// Whether an answer with this status may be passed on while another replica may still succeed.
bool isUsableStatus(int status)
{
    return status < firstServerError;
}

std::string_view raceCauseName(race_cause cause)
{
    return cause == race_cause::losses ? "losses" : "silence";
}

} // namespace

/// Chooses the second replica for a request whose replica is silent, and takes what sending to it needs. Returns nothing if no other
/// replica shows signs of life: a silence that all replicas share is not overcome by another one.
std::optional<backend> request_handler::reserveSecondReplica()
{
    if (!m_route->mayRunAgain() || m_attempts >= m_route->maximumAttempts || timeLeft() < minimumTimeLeft || refusedFor()) {
        return std::nullopt;
    }
    const auto now = monotonicNow();
    const auto newest = m_context.currentView();
    auto excluded = m_triedReplicas;
    const auto &candidates = newest->backends(*m_service, m_head.model);
    for (const auto &candidate : candidates) {
        if (isAvoided(*candidate.load, now)) {
            excluded.push_back(candidate.replica);
        }
    }
    return reserveAmong(*newest, excluded, 0);
}

/// Chooses a replica that is not in \a excluded, and takes what sending to it needs. Leaves \a reservedBudgetShare of the retry budget.
std::optional<backend>
request_handler::reserveAmong(const entry_view &view, const std::vector<instance_id> &excluded, double reservedBudgetShare)
{
    const auto &candidates = view.backends(*m_service, m_head.model);
    auto unavailable = m_context.constraints.blockedBackends(candidates, m_triedReplicas).replicas;
    unavailable.insert(unavailable.end(), excluded.begin(), excluded.end());
    const auto *chosen
        = chooseBackend(candidates, unavailable, view.dataCentre, monotonicNow(), m_context.nextSequenceNumber(), randomNumber(), true);
    auto &cold = m_context.constraints.cold();
    const bool isReserved = chosen != nullptr && (!cold.hasAny() || cold.takeSend(keyOf(*chosen)))
        && m_context.retries.consume(m_service->id, reservedBudgetShare) && m_context.constraints.consumePermit(*chosen);
    return isReserved ? std::optional(*chosen) : std::nullopt;
}

/// Asks a second replica if the replica \a target is silent and another one shows signs of life.
request_handler::race_result request_handler::raceSilent(http_upstream &upstream, backend &target, bool hasHead)
{
    const auto chosen = reserveSecondReplica();
    return chosen ? race(race_cause::silence, *chosen, upstream, target, hasHead) : race_result{race_end::first, std::nullopt};
}

/// Sends the request to \a second while the replica \a target is silent, and waits until one of the two answers. If the second one wins, it
/// replaces \a upstream and \a target, and events that it has sent are in m_secondEvents. If neither can go on, m_raceFailure tells why.
request_handler::race_result
request_handler::race(race_cause cause, const backend &second, http_upstream &upstream, backend &target, bool hasHead)
{
    m_context.retried.increment();
    m_triedReplicas.push_back(second.replica);
    attempt_race race{cause, upstream, hasHead, target, {}, second, monotonicNow(), {}, {}, m_events};
    race.secondEvents.discardPartial();
    reason why;
    path_failure failure{};
    const auto connectTimeout = cause == race_cause::losses ? hedgeConnectTimeout : directConnectTimeout;
    auto connection = connectTo(second, connectTimeout, failure, why);
    if (!connection || !race.second.send(connection->connection, replicaCall(second), why)) {
        m_attempts += connection ? 1 : 0;
        m_mayHaveRun = m_mayHaveRun || connection;
        avoid(*second.load, monotonicNow());
        logRace(race, "unreachable");
        return {race_end::first, std::nullopt};
    }
    ++m_attempts;
    m_context.constraints.recordSent(second);
    beginOutstanding(second);
    const auto winner = runRace(race);
    second.load->outstanding.fetch_sub(1);
    logRace(race, winner == race_end::second ? "second" : winner == race_end::first ? "first" : "neither");
    if (winner == race_end::second) {
        m_proxy = connection->proxy;
        upstream = std::move(race.second);
        adoptSecond(race, target);
        return {winner, std::move(race.secondHead)};
    }
    m_mayHaveRun = m_mayHaveRun || race.secondFailure != attempt_outcome::not_run;
    return {winner, std::move(race.firstHead)};
}

/// Replaces the first connection by the second one, which continues the request.
void request_handler::adoptSecond(attempt_race &race, backend &target)
{
    const auto now = monotonicNow();
    const auto firstEnd = race.firstFailure.value_or(attempt_outcome::silent);
    m_mayHaveRun = m_mayHaveRun || firstEnd != attempt_outcome::not_run;
    target.load->outstanding.fetch_sub(1);
    if (race.firstFailure || race.cause == race_cause::silence) {
        m_lastReason = race.firstFailure ? m_lastReason : "the replica is silent";
        updateLoad(target, firstEnd);
        recordAttempt(target, firstEnd);
        releasePlace(firstEnd);
    } else {
        // The second group was chosen without a dispatcher. The first one is not to blame: the network loses packets.
        releasePlace(attempt_outcome::answered);
        m_context.habits.with(m_service->id, m_head.model, [&](const stream_habits & /*habits*/, observed_losses &losses) {
            recordHedgeWon(losses, race.firstTarget.replica, now);
        });
    }
    if (m_hasBegun) {
        m_context.resumed.increment();
    }
    target = race.secondTarget;
    m_concurrentRequests = target.load->outstanding.fetch_add(1);
    m_events = race.secondEvents;
    m_attemptStart = race.secondSentAt;
    m_lastReceived = race.secondHead ? now : race.secondSentAt;
    m_headAt = race.secondHead ? std::optional(now) : std::nullopt;
    m_pieces = 0;
    m_hasProgress = false;
}

/// Waits until one of the two connections can go on. A connection that cannot is closed, and the other one goes on.
request_handler::race_end request_handler::runRace(attempt_race &race)
{
    for (;;) {
        const auto until = std::min(deadline(), monotonicNow() + raceCheckPeriod);
        const auto event = upstream_pair(race.first, race.second).wait(until, m_exchange.socketDescriptor());
        if (event.hasCallerLeft || monotonicNow() >= deadline()) {
            m_raceFailure = event.hasCallerLeft ? attempt_outcome::caller_left : attempt_outcome::timed_out;
            m_lastReason = event.hasCallerLeft ? "the client has gone" : "the deadline passed";
            return race_end::neither;
        }
        if (event.isFirstReady && isFirstUsable(race)) {
            return race_end::first;
        }
        if (event.isSecondReady && readSecond(race)) {
            return race_end::second;
        }
        if (mustWithdraw() || (race.firstFailure && m_lossNamesPart)) {
            m_raceFailure = race.firstFailure.value_or(attempt_outcome::withdrawn);
            return race_end::neither;
        }
        if (!race.second.isOpen()) {
            m_raceFailure = race.firstFailure.value_or(attempt_outcome::lost);
            return race.first.isOpen() ? race_end::first : race_end::neither;
        }
        if (!race.first.isOpen()) {
            return race_end::second;
        }
        if (isSecondSilent(race)) {
            race.secondFailure = attempt_outcome::silent;
            updateLoad(race.secondTarget, attempt_outcome::silent);
            return race_end::first;
        }
    }
}

/// Whether the second replica has been silent for so long that a third one may be tried.
bool request_handler::isSecondSilent(const attempt_race &race) const
{
    return m_attempts < m_route->maximumAttempts && monotonicNow() >= firstAnswerDeadline(race.secondSentAt)
        && (!isStream() || isStalled(race.secondTarget));
}

/// Whether the first connection, which is readable, can go on. Reads the head unless it was read before, and closes the connection if it
/// was lost or its answer is of no use. The caller reads the rest.
bool request_handler::isFirstUsable(attempt_race &race)
{
    if (race.hasFirstHead) {
        std::string piece;
        const auto wait = race.first.nextPiece(piece, monotonicNow(), -1);
        const bool hasEvents = wait == upstream_event::data && m_events.extractEvents(piece, m_firstEvents) > 0;
        const bool isBroken = wait == upstream_event::lost || m_events.isOverlong();
        // The caller decides whether the end of the body is that of the stream. Part of an event is nothing to go on with.
        if (!isBroken) {
            return hasEvents || wait == upstream_event::end;
        }
        m_firstEvents.clear();
        m_lastReason = wait == upstream_event::lost ? "the stream broke off" : "the stream's bytes are no events";
        race.firstFailure = attempt_outcome::lost;
    } else {
        auto failure = attempt_outcome::lost;
        race.firstHead = readHead(race.first, race.firstTarget, failure);
        if (race.firstHead && isUsableStatus(race.firstHead->status)) {
            return true;
        }
        // Keeps a server error for the client in case the second replica does not succeed.
        race.firstFailure = race.firstHead ? relayBuffered(race.first, *race.firstHead) : failure;
        race.firstHead.reset();
    }
    if (race.firstFailure == attempt_outcome::lost) {
        recordLoss(race.firstTarget, lostStage());
    }
    race.first.close();
    return false;
}

/// Reads what has arrived on the second connection. Returns whether it can go on; closes the connection if its answer is of no use.
bool request_handler::readSecond(attempt_race &race)
{
    if (!race.secondHead) {
        auto failure = attempt_outcome::lost;
        race.secondHead = readHead(race.second, race.secondTarget, failure);
        if (!race.secondHead || !isUsableStatus(race.secondHead->status)) {
            endSecond(race, race.secondHead ? attempt_outcome::failed : failure);
            return false;
        }
        if (!isStream() || !isSuccessStatus(race.secondHead->status)) {
            return true;
        }
    }
    std::string piece;
    const auto wait = race.second.nextPiece(piece, monotonicNow(), -1);
    if (wait == upstream_event::timeout) {
        return false;
    }
    m_secondEvents.clear();
    const bool hasEvents = wait == upstream_event::data && race.secondEvents.extractEvents(piece, m_secondEvents) > 0;
    if (race.secondEvents.isOverlong()) {
        endSecond(race, attempt_outcome::lost);
        return false;
    }
    const bool hasEnded = wait == upstream_event::end && !race.secondEvents.hasPartial() && !race.second.endsWithConnection();
    if (wait != upstream_event::data && !hasEnded) {
        endSecond(race, attempt_outcome::lost);
    }
    return hasEvents || hasEnded;
}

/// Closes the second connection, which cannot go on.
void request_handler::endSecond(attempt_race &race, attempt_outcome failure)
{
    race.secondFailure = failure;
    race.second.close();
    if (failure == attempt_outcome::lost) {
        recordLoss(race.secondTarget, race.secondHead ? lost_stage::begun : lost_stage::waiting);
    }
    updateLoad(race.secondTarget, failure);
}

void request_handler::logRace(const attempt_race &race, const char *winner) const
{
    m_context.raceCounter(race.cause, winner).increment();
    requestLog.writeEssential("hedged",
                              {{"request", m_head.requestId.value()},
                               {"cause", raceCauseName(race.cause)},
                               {"replica", race.secondTarget.replica.value()},
                               {"first", race.firstTarget.replica.value()},
                               {"had_head", race.hasFirstHead},
                               {"went_on", winner},
                               {"first_end", race.firstFailure ? attemptOutcomeName(*race.firstFailure) : ""},
                               {"second_end", race.secondFailure ? attemptOutcomeName(*race.secondFailure) : ""},
                               {"after_ms", (race.secondSentAt - m_lastReceived).count()},
                               {"took_ms", (monotonicNow() - race.secondSentAt).count()},
                               {"last_event", m_events.lastId()}});
}

} // namespace vetchpost
