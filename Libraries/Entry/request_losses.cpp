// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that reports attempts whose replicas may have crashed, and keeps the request from crashing others.
#include "Libraries/Entry/request_handler.h"

#include "Libraries/Base/digest.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A retry that might end another replica waits for this time until a replica that lost the request has ended. Processes that crash close
/// their ports within it.
constexpr duration lostReplicaWait(250);

} // namespace

/// The identity of the request, computed on first use; empty while the digest key is unknown.
const std::optional<request_identity> &request_handler::identity()
{
    if (!m_identity) {
        const auto host = m_exchange.header("Host");
        m_identity = m_context.crashes.identify({organisation(), m_exchange.method(), host, m_exchange.target(), m_body});
    }
    return m_identity;
}

/// The parts of the prompt that other requests for the model may have too.
request_parts request_handler::parts() const
{
    return {m_head.model, m_head.parts.shared};
}

/// How far the answer had come in this attempt.
lost_stage request_handler::lostStage() const
{
    if (!m_headAt) {
        return lost_stage::waiting;
    }
    if (m_pieces == 0) {
        return lost_stage::begun;
    }
    return monotonicNow() - *m_headAt < firstPiecesTime ? lost_stage::first_pieces : lost_stage::answering;
}

/// Checks whether the replica at which the request was lost has terminated, and records the result.
void request_handler::recordLoss(const backend &target, lost_stage stage)
{
    request_loss loss{identity(), organisation(), target, m_service->id, {parts(), stage, monotonicNow(), 0}};
    loss.attempt.request = hashOf(loss.request ? loss.request->value() : m_head.requestId.value());
    const auto result = m_context.crashes.recordLoss(loss);
    m_replicaLiveness = result.liveness;
    m_lossNamesPart = result.mayNamePart && result.liveness == replica_liveness::terminated;
    m_losses.insert_or_assign(target.replica, result);
}

/// Waits for a moment until it is known whether the replicas that lost the request have terminated, if another attempt might end one more:
/// a part of the prompt may be the cause, or the request has been lost or has ended replicas before.
void request_handler::awaitLostReplicas()
{
    const bool mayNamePart = std::any_of(m_losses.begin(), m_losses.end(), [](const auto &loss) { return loss.second.mayNamePart; });
    if (!mayNamePart && m_losses.size() < 2 && !m_context.crashes.isSuspected(identity())) {
        return;
    }
    for (auto &[replica, loss] : m_losses) {
        if (loss.pending) {
            const auto until = std::min(loss.pending->loss.attempt.at + lostReplicaWait, deadline() - minimumTimeLeft);
            loss.liveness = m_context.crashes.awaitLiveness(*loss.pending, until);
        }
        m_lossNamesPart = m_lossNamesPart || (loss.mayNamePart && loss.liveness == replica_liveness::terminated);
    }
}

/// Records a success, which clears the request and the parts of its prompt of the suspicion of crashing replicas.
void request_handler::recordAnswered()
{
    if (isSuccessStatus(m_status)) {
        m_context.crashes.recordAnswered(identity(), parts(), m_headAt.value_or(m_attemptStart));
    }
}

/// The time for which the request will still be refused because replicas have crashed running it, or requests with a part of its prompt;
/// empty if it is not refused.
std::optional<duration> request_handler::refusedFor()
{
    const auto byIdentity = m_context.crashes.hasSuspects() ? m_context.crashes.refusedFor(identity()) : std::nullopt;
    return byIdentity ? byIdentity : m_context.crashes.refusedFor(parts());
}

/// Whether a waiting attempt must be withdrawn before the replica begins to run a request that has crashed other replicas. Only for
/// streams: a replica sends a stream's head as soon as it begins, while a plain request shows no sign that it is running.
bool request_handler::mustWithdraw()
{
    return isStream() && m_route->mayRunAgain() && !m_hasProgress && refusedFor();
}

} // namespace vetchpost
