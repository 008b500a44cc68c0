// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/claimed_run.h"

namespace vetchpost {

namespace {

constexpr auto keptAnswerMethod = "keptAnswer";
constexpr duration keptAnswerTimeout(2000);
constexpr duration longestClaim(5000);

std::optional<kept_answer>
askForAnswer(const claim_record &record, claim_service &claims, const cluster_state &cluster, peer_service &peers)
{
    if (auto own = claims.answerOf(record.owner)) {
        return own;
    }
    const auto address = cluster.peerAddress(record.daemon, monotonicNow());
    if (!address) {
        return std::nullopt;
    }
    Json::Value parameters;
    parameters["owner"] = record.owner.value();
    const auto reply = peers.call(*address, keptAnswerMethod, parameters, keptAnswerTimeout);
    if (!reply || !jsonFlag(*reply, "kept")) {
        return std::nullopt;
    }
    return kept_answer{static_cast<int>(jsonNumber(*reply, "status")), jsonString(*reply, "content_type"), jsonString(*reply, "body")};
}

/// Whether the daemon that claimed a key can still be running the request.
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
    const auto answer = context.claims.claim(record, std::min(request.deadline, request.received + longestClaim));
    claim_permission permission;
    if (!answer.verdict) {
        permission.why = {error_kind::claim_unavailable, "the key could not be claimed; the request did not run"};
        return permission;
    }
    switch (*answer.verdict) {
    case claim_verdict::granted:
        permission.mayRun = true;
        break;
    case claim_verdict::reused:
        permission.why = {error_kind::claim_reused, "this key was used with another body"};
        break;
    case claim_verdict::running:
        // It may have ended a moment ago, with the record of that still on its way to the service.
        permission.earlier = askForAnswer(answer.decidedBy, context.claims, context.cluster, context.peers);
        permission.why = mayStillRun(answer.decidedBy, context.cluster)
            ? reason{error_kind::claim_running, "a request with this key is running"}
            : reason{error_kind::claim_unknown, "a request with this key was begun, and how it ended is not known"};
        break;
    case claim_verdict::ran:
        permission.earlier = askForAnswer(answer.decidedBy, context.claims, context.cluster, context.peers);
        permission.why = {error_kind::claim_ran, "a request with this key ran; its answer is no longer kept"};
        break;
    case claim_verdict::unknown:
        permission.why = {error_kind::claim_unknown, "a request with this key was begun, and how it ended is not known"};
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

void settleClaim(gateway_context &context, const caller_request &request, const claim_record &record, const run_end &end)
{
    if (request.key.empty()) {
        return;
    }
    if (end.answer) {
        // Kept first: whoever reads that it ran may ask for the answer at once.
        context.claims.keepAnswer(request.id, *end.answer);
        context.claims.settle(claim_change::finish, record);
        return;
    }
    context.claims.settle(end.mayHaveRun ? claim_change::abandon : claim_change::withdraw, record);
}

void offerKeptAnswers(claim_service &claims, peer_service &peers)
{
    peers.addMethod(keptAnswerMethod, [&claims](const Json::Value &parameters) {
        Json::Value result(Json::objectValue);
        const auto answer = claims.answerOf(request_id(jsonString(parameters, "owner")));
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
