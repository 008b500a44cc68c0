// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that runs the attempts: it chooses a replica for each, by a dispatcher or by turns, and decides on retries.
#include "Libraries/Entry/random_number.h"
#include "Libraries/Entry/request_handler.h"

#include <algorithm>
#include <thread>

namespace vetchpost {

namespace {

/// A starting daemon lists its replicas within this time, even thousands of them through such a link while other daemons do the same.
constexpr duration firstListingWait(1000);
/// Replicas that could not be connected to do not count as attempts; the request is given up after this many of them.
constexpr int maximumUnreachable = 4;
/// The time that a request waits for a permit if no other replica is available. A permit takes one round trip of a few milliseconds.
constexpr duration maximumPermitWait(100);
/// How often a waiting request asks again for a permit whose request was put off.
constexpr duration permitPollPeriod(10);
/// How often a request that waits for its turn at a cold replica checks whether another replica has become available.
constexpr duration coldPollPeriod(25);

/// A request waits for this long for room at a daemon that carries tunnels for others, and not once it is late.
constexpr duration longestRoomWait(300);

constexpr auto sheddingText = "the model is overloaded: most first events are late";
/// Size of a request that states none, where the engine's description names no usual size either.
constexpr int defaultPromptTokens = 500;
constexpr int defaultAnswerTokens = 100;
/// Clients of one route state time limits that differ by the time that they take to send a request.
constexpr duration firstAttemptSpread(100);

slot_end slotEndOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::not_run:
        return slot_end::rejected;
    case attempt_outcome::silent:
        return slot_end::silent;
    case attempt_outcome::lost:
    case attempt_outcome::not_sent:
        return slot_end::lost;

    default:
        return slot_end::done;
    }
}

bool isKnownModel(const engine_description &engine, const model_id &id)
{
    return std::any_of(engine.models.begin(), engine.models.end(), [&](const group_model &model) { return model.id == id; });
}

std::vector<instance_id> joined(std::vector<instance_id> first, const std::vector<instance_id> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

/// Chooses the service, checks whether the request is admitted, and runs it on replicas until it is finished.
void request_handler::dispatch()
{
    const auto *chosen = chooseService(*m_route, randomNumber());
    m_service = chosen == nullptr ? nullptr : m_view->routes->findService(*chosen);
    if (m_service == nullptr) {
        refuse(error_kind::no_serving_group, "the route has no service", refusal_scope::all_daemons);
        return;
    }
    if (const auto time = refusedFor()) {
        refuse(error_kind::crashing_request,
               "several replicas have ended while running this request, or others with a part of its prompt",
               time);
        return;
    }
    if (isTooLateToStart()) {
        refuse(error_kind::stopping, "the daemon stops before it could pass on the answer", refusal_scope::this_daemon);
        return;
    }
    if (!awaitReplicaList()) {
        refuse(error_kind::platform_unavailable, "the replicas have not been listed yet", m_context.scopeWithoutListing());
        return;
    }
    m_context.retries.recordFirstAttempt(m_service->id);
    if (m_head.patience) {
        m_priorWait = m_context.priorWait(m_route->name, *m_head.patience, m_arrival);
    }
    // Clients must not be able to grow the counts with unknown model names.
    const bool isCounted = m_service->engine && isKnownModel(*m_service->engine, m_head.model);
    m_isModelKnown = isCounted;
    m_isDispatched = isCounted && m_context.isDispatchOn();
    if (isCounted && !m_isDispatched && isShed()) {
        refuse(error_kind::overloaded, sheddingText, refusal_scope::whole_model);
        return;
    }
    const auto room = m_context.admission.acquire(organisation(), priority(), std::clamp(untilLate(), duration(), longestRoomWait), false);
    if (!room) {
        refuse(error_kind::overloaded, "this daemon bears no more work while it carries tunnels for others", refusal_scope::full_slots);
        return;
    }
    if (isCounted) {
        m_context.inFlight.add(m_service->id, m_head.model);
    }
    const auto outcome = runAttempts();
    if (isCounted) {
        m_context.inFlight.remove(m_service->id, m_head.model);
    }
    finish(outcome);
}

/// Waits until the replicas have been listed or at least one replica for the request is known, and returns whether that is so. A starting
/// daemon lists the replicas after it has read its configuration. Requests that arrive earlier wait, since clients retry only a few times
/// and the next daemon may have just started as well.
bool request_handler::awaitReplicaList() const
{
    const auto isEnough = [this](const entry_view &view) { return view.isListed || !view.backends(*m_service, m_head.model).empty(); };
    return m_context.awaitView(std::min(m_arrival + firstListingWait, deadline() - minimumTimeLeft), isEnough);
}

/// Runs the request on one replica after another until it is finished or may not be retried. Returns the outcome of the last attempt.
attempt_outcome request_handler::runAttempts()
{
    auto outcome = attempt_outcome::not_sent;
    do {
        const auto target = m_isDispatched ? placeByDispatcher() : chooseReplica({});
        if (m_hasCallerLeft) {
            return attempt_outcome::caller_left;
        }
        if (!target && m_refusal) {
            m_lastReason += m_lastReason.empty() ? m_refusal->text : "; " + m_refusal->text;
            m_noRetryReason = m_refusal->text;
            break;
        }
        if (!target) {
            m_lastReason += m_lastReason.empty() ? "no replica accepts requests" : "; no other replica accepts requests";
            m_noRetryReason = "no other replica accepts requests";
            break;
        }
        outcome = runAttempt(*target);
        releasePlace(outcome);
    } while (mayRetry(outcome));
    return outcome;
}

/// Asks a dispatcher for the replica of the next attempt. Where none answers, or its answer cannot be used, the replica is chosen by turns.
/// Returns nothing if the request must not be sent, which sets m_refusal or m_hasCallerLeft, or if no untried replica accepts it.
std::optional<backend> request_handler::placeByDispatcher()
{
    const auto newest = m_context.currentView();
    const auto placed
        = m_context.dispatch.requestPlace(slotRequest(), newest->backends(*m_service, m_head.model), m_exchange.socketDescriptor());
    m_dispatchText = placed.text;
    m_hasCallerLeft = placed.end == placement_end::caller_left;
    if (m_hasCallerLeft) {
        return std::nullopt;
    }
    if (placed.end == placement_end::granted) {
        if (auto target = takeOpenReplica(placed.head)) {
            m_place = placed.place;
            return target;
        }
        m_context.dispatch.releaseUnused(*placed.place);
        m_dispatchText += ", not used: the head is closed to this daemon";
    }
    // A request that may have run cannot be refused as not run; its client has nothing to gain from a refusal.
    const bool mayRefuse = !m_mayHaveRun && !m_hasBegun && !m_failure;
    if (placed.end == placement_end::refused && mayRefuse) {
        m_refusal = {"a dispatcher expects no slot in time", placed.retryAfter};
        return std::nullopt;
    }
    if (m_triedReplicas.empty() && isShed()) {
        m_refusal = {sheddingText, retryAfterFor(refusal_scope::whole_model, randomNumber())};
        return std::nullopt;
    }
    return chooseReplica(placed.headsOfOthers);
}

/// The request for a slot for the next attempt.
slot_request request_handler::slotRequest() const
{
    slot_request request;
    request.service = m_service->id;
    request.model = m_head.model;
    request.organisation = organisation();
    request.priority = priority();
    const auto &engine = *m_service->engine;
    const auto usualPrompt = engine.usualPromptTokens > 0 ? engine.usualPromptTokens : defaultPromptTokens;
    const auto usualAnswer = engine.usualAnswerTokens > 0 ? engine.usualAnswerTokens : defaultAnswerTokens;
    request.promptTokens = m_head.tokens.prompt.value_or(usualPrompt);
    request.expectedTokens
        = m_head.tokens.expectedAnswer.value_or(std::min(usualAnswer, m_head.tokens.maximumAnswer.value_or(usualAnswer)));
    request.untilLate = untilLate();
    request.timeLeft = std::max(duration(), timeLeft());
    request.dataCentre = m_view->dataCentre;
    request.excluded = m_triedReplicas;
    request.hasReturned = m_priorWait > firstAttemptSpread;
    return request;
}

/// The time left until the first event is late; for a stream that has begun, until the pause is longer than the route allows.
duration request_handler::untilLate() const
{
    if (m_hasBegun && m_lastSent && m_route->pauseLimit.count() > 0) {
        // Not negative: the client receives this stream already, so it must not wait behind all requests that are in time.
        return std::max(duration(), m_route->pauseLimit - (monotonicNow() - *m_lastSent));
    }
    return m_route->objective - elapsed() - m_priorWait;
}

/// Returns the backend of a head if this daemon may send it a request now, and takes the permit that it needs.
std::optional<backend> request_handler::takeOpenReplica(const instance_id &head) const
{
    const auto newest = m_context.currentView();
    for (const auto &candidate : newest->backends(*m_service, m_head.model)) {
        if (candidate.replica == head) {
            // The dispatcher paces the requests to cold heads that it places.
            const auto blocked = m_context.constraints.blockedBackends({candidate}, m_triedReplicas);
            const bool isOpen = blocked.replicas.size() == blocked.cold.size();
            return isOpen && m_context.constraints.consumePermit(candidate) ? std::optional(candidate) : std::nullopt;
        }
    }
    return std::nullopt;
}

/// Releases the slot of an attempt that has ended, if a dispatcher had granted one.
void request_handler::releasePlace(attempt_outcome outcome)
{
    if (m_place) {
        m_context.dispatch.release(*std::exchange(m_place, std::nullopt), slotEndOf(outcome));
    }
}

/// Whether load shedding refuses the request. Streams only: for plain answers no time to the first event is known.
bool request_handler::isShed() const
{
    return isStream() && !m_context.shedding.isAdmitted(m_service->id, m_head.model, randomNumber(), m_arrival);
}

/// Chooses the replica for the next attempt by turns and takes the permit that it needs, waiting briefly for a permit if no other replica
/// is available. Uses the replicas in \a others only if there is no other. Returns nothing if no untried replica accepts the request.
std::optional<backend> request_handler::chooseReplica(const std::vector<instance_id> &others)
{
    const auto until = monotonicNow() + std::min(maximumPermitWait, timeLeft() - minimumTimeLeft);
    std::optional<cold_reservation> reserved;
    bool hasPassedOver = false;
    for (;;) {
        // A replica may have been removed while the request waited, so the newest view is used.
        const auto newest = m_context.currentView();
        const auto &candidates = newest->backends(*m_service, m_head.model);
        m_blockedBackends = m_context.constraints.blockedBackends(candidates, m_triedReplicas);
        if (!m_blockedBackends.cold.empty() && !std::exchange(hasPassedOver, true)) {
            m_context.constraints.cold().countPassedOver(m_blockedBackends.cold.size());
        }
        const bool isPermitRequested
            = m_blockedBackends.limited > 0 && m_context.requestAnyPermit(candidates, m_triedReplicas, randomNumber());
        const auto excluded = joined(m_triedReplicas, m_blockedBackends.replicas);
        const bool hasSpareCapacity = m_context.shedding.hasSpareCapacity(m_service->id, m_head.model);
        const auto now = monotonicNow();
        const auto choose = [&](const std::vector<instance_id> &unavailable) {
            return chooseBackend(
                candidates, unavailable, newest->dataCentre, now, m_context.nextSequenceNumber(), randomNumber(), hasSpareCapacity);
        };
        const auto *best = others.empty() ? nullptr : choose(joined(excluded, others));
        best = best == nullptr ? choose(excluded) : best;
        auto &cold = m_context.constraints.cold();
        const bool mayTake = best != nullptr && (!cold.hasAny() || cold.takeSend(keyOf(*best)));
        if (mayTake && m_context.constraints.consumePermit(*best)) {
            return *best;
        }
        if (best == nullptr && !m_blockedBackends.cold.empty()) {
            if (!reserved) {
                reserved = reserveColdReplica(now);
            }
            if (reserved && now < reserved->at) {
                std::this_thread::sleep_for(std::min(coldPollPeriod, reserved->at - now));
                continue;
            }
            if (auto target = reserved ? takeReserved(*reserved, candidates) : std::nullopt) {
                return target;
            }
            reserved.reset();
        }
        // If no replica accepts requests, it is only worth waiting if a permit may arrive and a replica is unblocked in time.
        if (best == nullptr && (!isPermitRequested || m_blockedBackends.unblockedAt.value_or(until) >= until || now >= until)) {
            return std::nullopt;
        }
        if (best == nullptr) {
            m_context.constraints.awaitPermit(std::min(until, now + permitPollPeriod));
        }
    }
}

/// Reserves a request to a cold replica if no other replica is available: the earliest that is due within the remaining objective. A later
/// one is not waited for, so that the client learns at once when to come back.
std::optional<cold_reservation> request_handler::reserveColdReplica(instant now) const
{
    const auto objectiveEnd = m_hasBegun ? now + maximumPermitWait : m_arrival + m_route->objective - m_priorWait;
    const auto until = std::min(objectiveEnd, deadline() - minimumTimeLeft);
    return m_context.constraints.cold().reserveSend(m_blockedBackends.cold, until);
}

/// Returns the backend for which a request is reserved and due, unless it is gone or blocked for another reason.
std::optional<backend> request_handler::takeReserved(const cold_reservation &reserved, const std::vector<backend> &candidates) const
{
    const auto &cold = m_blockedBackends.cold;
    const auto target = std::find_if(
        candidates.begin(), candidates.end(), [&](const backend &candidate) { return keyOf(candidate) == reserved.replica; });
    const bool isReady = target != candidates.end() && std::find(cold.begin(), cold.end(), reserved.replica) != cold.end();
    return isReady && m_context.constraints.consumePermit(*target) ? std::optional(*target) : std::nullopt;
}

/// Whether an untried replica accepts requests, or is expected to within \a time.
bool request_handler::hasAvailableReplica(duration time) const
{
    const auto newest = m_context.currentView();
    const auto &candidates = newest->backends(*m_service, m_head.model);
    const auto blocked = m_context.constraints.blockedBackends(candidates, m_triedReplicas);
    const bool isUnblockedSoon = blocked.unblockedAt && *blocked.unblockedAt < monotonicNow() + time;
    return isUnblockedSoon || hasUntried(candidates, joined(m_triedReplicas, blocked.replicas));
}

/// Whether the request may be sent to another replica after an attempt with this outcome. Consumes a retry of the budget unless nothing was
/// sent. Sets m_noRetryReason where it returns false.
bool request_handler::mayRetry(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::answered || outcome == attempt_outcome::caller_left || outcome == attempt_outcome::timed_out
        || timeLeft() < minimumTimeLeft) {
        m_noRetryReason = "no time is left";
        return false;
    }
    if (outcome == attempt_outcome::no_path) {
        return false;
    }
    if (outcome == attempt_outcome::lost && m_route->mayRunAgain() && m_attempts < m_route->maximumAttempts) {
        awaitLostReplicas();
    }
    if (outcome == attempt_outcome::withdrawn || refusedFor()) {
        m_noRetryReason = "replicas have ended while running the same request";
        return false;
    }
    if (m_lossNamesPart) {
        m_noRetryReason = "a replica has ended, and a part of the prompt may be the cause";
        return false;
    }
    if (outcome == attempt_outcome::not_sent) {
        m_noRetryReason = "too many replicas could not be reached";
        return ++m_unreachableReplicas < maximumUnreachable;
    }
    if (outcome != attempt_outcome::not_run && !m_route->mayRunAgain()) {
        m_noRetryReason = "the request may have run";
        return false;
    }
    if (m_attempts >= m_route->maximumAttempts) {
        m_noRetryReason = "the route allows no more attempts";
        return false;
    }
    if (!hasAvailableReplica(maximumPermitWait)) {
        m_noRetryReason = "no other replica accepts requests";
        return false;
    }
    if (!m_context.retries.consume(m_service->id, 0)) {
        m_noRetryReason = "the retry budget is exhausted";
        return false;
    }
    m_context.retried.increment();
    if (m_hasBegun) {
        m_context.resumed.increment();
    }
    return true;
}

} // namespace vetchpost
