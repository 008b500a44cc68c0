// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/claimed_run.h"

namespace vetchpost {

namespace {

constexpr auto cachedAnswerMethod = "keptAnswer";
constexpr duration cachedAnswerTimeout(2000);
constexpr duration maxClaimTime(5000);

/// Returns the cached answer of the request that claimed a key, from this daemon or the daemon that made the claim; nothing if neither has
/// it.
std::optional<cached_answer>
fetchCachedAnswer(const claim_record &record, claim_service &claims, const cluster_state &cluster, peer_service &peers)
{
    if (auto own = claims.cachedAnswer(record.owner)) {
        return own;
    }
    const auto address = cluster.peerAddress(record.daemon, monotonicNow());
    if (!address) {
        return std::nullopt;
    }
    Json::Value parameters;
    parameters["owner"] = record.owner.value();
    const auto reply = peers.call(*address, cachedAnswerMethod, parameters, cachedAnswerTimeout);
    if (!reply || !jsonFlag(*reply, "kept")) {
        return std::nullopt;
    }
    return cached_answer{static_cast<int>(jsonNumber(*reply, "status")), jsonString(*reply, "content_type"), jsonString(*reply, "body")};
}

/// Returns whether the daemon that claimed a key is alive or suspect, so that it may still be running the request.
bool mayStillRun(const claim_record &record, const cluster_state &cluster)
{
    const auto members = cluster.members(monotonicNow());
    for (const auto &member : members) {
        if (member.daemon == record.daemon) {
            return member.liveness == peer_liveness::alive || member.liveness == peer_liveness::suspect;
        }
    }
    return false;
}

} // namespace

claim_permission claimKey(const caller_request &request, const claim_record &record, gateway_context &context)
{
    const auto answer = context.claims.claim(record, std::min(request.deadline, request.received + maxClaimTime));
    claim_permission permission;
    if (!answer.verdict) {
        permission.why = {error_kind::claim_unavailable, "the idempotency key could not be claimed; the request did not run"};
        return permission;
    }
    switch (*answer.verdict) {
    case claim_verdict::granted:
        permission.mayRun = true;
        break;
    case claim_verdict::reused:
        permission.why = {error_kind::claim_reused, "this key was used with a different body"};
        break;
    case claim_verdict::running:
        // The request may have ended just now, with its final record not yet written to the key-value service.
        permission.earlier = fetchCachedAnswer(answer.decidedBy, context.claims, context.cluster, context.peers);
        permission.why = mayStillRun(answer.decidedBy, context.cluster)
            ? reason{error_kind::claim_running, "a request with this key is running"}
            : reason{error_kind::claim_unknown, "a request with this key was started, and its outcome is not known"};
        break;
    case claim_verdict::ran:
        permission.earlier = fetchCachedAnswer(answer.decidedBy, context.claims, context.cluster, context.peers);
        permission.why = {error_kind::claim_ran, "a request with this key ran; its answer is no longer cached"};
        break;
    case claim_verdict::unknown:
        permission.why = {error_kind::claim_unknown, "a request with this key was started, and its outcome is not known"};
        break;
    }
    return permission;
}

bool admitClaim(gateway_context &context, http_exchange &exchange, const caller_request &request, const claim_record &record)
{
    if (request.key.empty()) {
        return true;
    }
    const auto permission = claimKey(request, record, context);
    if (permission.earlier) {
        exchange.setHeader("Idempotent-Replay", "true");
        exchange.send(permission.earlier->status, permission.earlier->contentType, permission.earlier->body);
        return false;
    }
    if (!permission.mayRun) {
        context.counters.countRefusal(permission.why.kind);
        exchange.sendError(permission.why, request.id.value());
    }
    return permission.mayRun;
}

void settleClaim(gateway_context &context, const caller_request &request, const claim_record &record, const run_outcome &outcome)
{
    if (request.key.empty()) {
        return;
    }
    if (outcome.answer) {
        // Cached before the claim is settled: a daemon that reads the settled claim may fetch the answer at once.
        context.claims.cacheAnswer(request.id, *outcome.answer);
        context.claims.settle(claim_change::finish, record);
        return;
    }
    context.claims.settle(outcome.mayHaveRun ? claim_change::abandon : claim_change::withdraw, record);
}

void registerCachedAnswerMethod(claim_service &claims, peer_service &peers)
{
    peers.addMethod(cachedAnswerMethod, [&claims](const Json::Value &parameters) {
        Json::Value result(Json::objectValue);
        const auto answer = claims.cachedAnswer(request_id(jsonString(parameters, "owner")));
        result["kept"] = answer.has_value();
        if (answer) {
            result["status"] = answer->status;
            result["content_type"] = answer->contentType;
            result["body"] = answer->body;
        }
        return result;
    });
}

} // namespace vetchpost
