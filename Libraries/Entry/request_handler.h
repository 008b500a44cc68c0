// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/attempt_outcome.h"
#include "Libraries/Entry/event_splitter.h"
#include "Libraries/Entry/relay_context.h"
#include "Libraries/Entry/request_outcome.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/http_upstream.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// Handles one client request on the thread of its connection. request_handler.cpp holds validation and the sending of an
/// attempt, request_placement.cpp the choice of replicas and retries, request_answer.cpp the relaying of a replica's answer,
/// attempt_race.cpp and stream_hedge.cpp the second replica for a silent one, request_finish.cpp the final answer and the log.
class request_handler
{
public:
    request_handler(relay_context &context, http_exchange &exchange);
    request_handler(const request_handler &) = delete;
    request_handler &operator=(const request_handler &) = delete;

    /// Runs the request to its end and answers the client.
    void serve();

private:
    /// No replica can answer in less time than this.
    static constexpr duration minimumTimeLeft{15};

    struct buffered_answer
    {
        upstream_head head;
        std::string body;
    };

    struct pending_refusal
    {
        std::string text;
        std::optional<duration> retryAfter;
    };

    bool readRequest();
    bool findRoute();
    bool authenticate();
    bool awaitReplicaList() const;
    void dispatch();
    attempt_outcome runAttempts();
    bool mayRetry(attempt_outcome outcome);
    void finish(attempt_outcome outcome);
    void refuse(error_kind kind, const std::string &text, std::optional<duration> retryAfter = std::nullopt);
    void refuse(error_kind kind, const std::string &text, refusal_scope scope);
    void refuseUnknown(error_kind kind, const std::string &text);
    void refuseForLackOfReplicas(error_kind kind, const std::string &text, refusal_scope scope);

    void logAnswered(attempt_outcome end);
    bool recordResult(request_outcome outcome);
    void recordAttempt(const backend &target, attempt_outcome outcome) const;

    organisation_id organisation() const;
    const std::optional<request_identity> &identity();
    std::string partIdentities() const;
    request_parts parts() const;
    lost_stage lostStage() const;
    void recordLoss(const backend &target, lost_stage stage);
    void awaitLostReplicas();
    void recordAnswered();
    std::optional<duration> refusedFor();
    bool mustWithdraw();
    std::optional<duration> timeToFirstEvent() const;
    duration elapsed() const;

    std::optional<backend> placeByDispatcher();
    slot_request slotRequest() const;
    duration untilLate() const;
    std::optional<backend> takeOpenReplica(const instance_id &head) const;
    void releasePlace(attempt_outcome outcome);
    bool isShed() const;
    int priority() const;
    std::optional<backend> chooseReplica(const std::vector<instance_id> &others);
    std::optional<cold_reservation> reserveColdReplica(instant now) const;
    std::optional<backend> takeReserved(const cold_reservation &reserved, const std::vector<backend> &candidates) const;
    bool hasAvailableReplica(duration time) const;
    static int beginOutstanding(const backend &target);
    attempt_outcome runAttempt(const backend &target);
    attempt_outcome sendAndRelay(backend &target);
    std::optional<replica_connection> connectTo(const backend &target, duration timeout, path_failure &failure, reason &why) const;
    attempt_outcome handleNoPath(path_failure failure);
    http_call replicaCall(const backend &target) const;
    attempt_outcome awaitAnswer(http_upstream &upstream, backend &target);
    std::optional<upstream_head> readHead(http_upstream &upstream, const backend &target, attempt_outcome &failure);
    attempt_outcome relayAnswer(http_upstream &upstream, backend &target);
    attempt_outcome relayAnswer(http_upstream &upstream, const upstream_head &head, backend &target);
    attempt_outcome relayBuffered(http_upstream &upstream, const upstream_head &head);
    attempt_outcome relayEvents(http_upstream &upstream, const upstream_head &head, backend &target);
    bool isStillSilent(http_upstream &upstream) const;
    bool isStreamWhole(const http_upstream &upstream) const;
    bool relaySecondEvents(const upstream_head &head, const backend &target);
    bool relayComplete(const std::string &events, const upstream_head &head);
    void beginStream(const upstream_head &head);
    bool sendBuffered(const buffered_answer &answer);
    void recordSent();

    // Requests that are sent to a second replica while the first one is silent (attempt_race.cpp).
    enum class race_end { first, second, neither };
    struct attempt_race;
    struct race_result
    {
        race_end winner = race_end::first;
        /// The head of the winner's answer, if it was read by the race.
        std::optional<upstream_head> head;
    };
    std::optional<backend> reserveSecondReplica();
    std::optional<backend> reserveAmong(const entry_view &view, const std::vector<instance_id> &excluded, double reservedBudgetShare);
    race_result race(race_cause cause, const backend &second, http_upstream &upstream, backend &target, bool hasHead);
    race_result raceSilent(http_upstream &upstream, backend &target, bool hasHead);
    race_end runRace(attempt_race &race);
    bool isFirstUsable(attempt_race &race);
    bool readSecond(attempt_race &race);
    bool isSecondSilent(const attempt_race &race) const;
    void endSecond(attempt_race &race, attempt_outcome failure);
    void adoptSecond(attempt_race &race, backend &target);
    void logRace(const attempt_race &race, const char *winner) const;

    // Streams that are requested from a second group because the network loses packets (stream_hedge.cpp).
    bool isHedgeable() const;
    void recordEventTime(const backend &target, duration pause) const;
    std::optional<duration> silenceBeforeHedge(const backend &target, bool hasHead) const;
    bool isServing(const instance_id &head, instant now) const;
    std::optional<backend> reserveHedge();
    race_result hedge(http_upstream &upstream, backend &target, bool hasHead);

    void recordProgress(const backend &target);
    void recordReceived(const backend &target, instant pauseStart);
    void updateLoad(const backend &target, attempt_outcome outcome) const;
    bool isStalled(const backend &target) const;
    bool hasStallWarning(const backend &target) const;
    instant firstAnswerDeadline(instant start) const;
    instant deadline() const;
    bool isTooLateToStart() const;
    duration timeLeft() const;
    bool isLate() const;
    bool isStream() const;

    relay_context &m_context;
    http_exchange &m_exchange;
    instant m_arrival;
    instant m_deadline;
    /// How long the client had waited before it sent this request.
    duration m_priorWait{};
    std::shared_ptr<const entry_view> m_view;
    std::vector<http_header> m_headers;
    client_request_head m_head;
    std::string m_body;
    /// Computed on first use.
    std::optional<request_identity> m_identity;
    const route *m_route = nullptr;
    const served_organisation *m_organisation = nullptr;
    const served_service *m_service = nullptr;
    std::vector<instance_id> m_triedReplicas;
    /// The untried replicas that accepted no requests when a replica was last chosen.
    blocked_backends m_blockedBackends;
    /// Whether dispatchers are asked to place the attempts.
    bool m_isDispatched = false;
    /// The slot of the current attempt, if a dispatcher granted one.
    std::optional<slot_place> m_place;
    /// What the last dispatcher answered, for the log.
    std::string m_dispatchText;
    /// Set if the request is refused as overloaded before it is sent.
    std::optional<pending_refusal> m_refusal;
    /// The client left while the request waited for a slot.
    bool m_hasCallerLeft = false;
    /// Attempts in which a replica was reached.
    int m_attempts = 0;
    int m_unreachableReplicas = 0;
    /// A replica may have run the request.
    bool m_mayHaveRun = false;
    /// The head of an answer has been sent to the client.
    bool m_hasBegun = false;
    /// The status of the answer; valid if m_hasBegun.
    int m_status = 0;
    instant m_attemptStart;
    /// Number of other requests that this daemon had in flight at the replica when the attempt began.
    int m_concurrentRequests = 0;
    /// The extent of the lack of a path to the replicas, if that is why the request is refused.
    refusal_scope m_noPathScope = refusal_scope::whole_model;
    /// The daemon that carried the last attempt's connection; nothing if that was direct.
    std::optional<endpoint> m_proxy;
    /// Whether the replica at which the current attempt was lost is still running.
    std::optional<replica_liveness> m_replicaLiveness;
    /// When the head of the replica's answer arrived in this attempt; empty before.
    std::optional<instant> m_headAt;
    /// The replica of the last attempt ended, and a part of the prompt may be the cause.
    bool m_lossNamesPart = false;
    /// The losses of this request, by replica.
    std::map<instance_id, loss_result> m_losses;
    /// When the replica last sent something in this attempt; the attempt's start before.
    instant m_lastReceived;
    /// Pieces of the replica's answer that have arrived in this attempt.
    int m_pieces = 0;
    /// The replica has sent something in this attempt.
    bool m_hasProgress = false;
    /// When the first and the last part of the answer were sent to the client.
    std::optional<instant> m_firstSent;
    std::optional<instant> m_lastSent;
    duration m_longestPause{};
    event_splitter m_events;
    /// The model is one of the service's, so that its habits may be recorded.
    bool m_isModelKnown = false;
    /// A second group was asked, or could not be, while the first one was silent. This happens once for a request.
    bool m_isHedged = false;
    /// Events of the first replica of a race that are to be sent next.
    std::string m_firstEvents;
    /// Events of the second replica that are to be sent next.
    std::string m_secondEvents;
    /// Why neither of two replicas went on with the request.
    attempt_outcome m_raceFailure = attempt_outcome::lost;
    /// A replica's error answer, kept in case no other replica succeeds.
    std::optional<buffered_answer> m_failure;
    std::string m_lastReason;
    /// Why no further attempt was made after the last one.
    std::string m_noRetryReason;
};

} // namespace vetchpost
