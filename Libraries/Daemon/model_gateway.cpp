// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/model_gateway.h"

#include "Libraries/Base/log.h"
#include "Libraries/Daemon/answer_sink.h"
#include "Libraries/Daemon/claimed_run.h"
#include "Libraries/Engines/engine_client.h"
#include "Libraries/Requests/answer_check.h"
#include "Libraries/Requests/recovery.h"
#include "Libraries/Requests/router.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr part_log requestLog("request");
/// An engine that is silent for longer in the middle of an answer is taken for lost; its stream can be taken up.
constexpr duration longestTokenGap(2000);
constexpr duration longestFirstToken(15000);
constexpr duration avoidAfterTrouble(1000);
constexpr std::uint64_t defaultMaximumTokens = 256;
constexpr double bytesPerToken = 4;
constexpr int httpOk = 200;

std::string promptOf(const Json::Value &body)
{
    std::string prompt;
    for (const auto &message : jsonArray(body, "messages")) {
        prompt += jsonString(message, "role");
        prompt += ':';
        prompt += jsonString(message, "content");
        prompt += '\n';
    }
    return prompt;
}

double expectedTokens(const Json::Value &body, std::size_t bodySize)
{
    const auto asked = jsonNumber(body, "max_tokens");
    return static_cast<double>(bodySize) / bytesPerToken + static_cast<double>(asked == 0 ? defaultMaximumTokens : asked);
}

/// How one try went.
struct try_result
{
    bool isComplete = false;
    bool hasCallerLeft = false;
    attempt_failure failure = attempt_failure::not_sent;
    std::string why;
};

try_result failed(attempt_failure failure, std::string why)
{
    return {false, false, failure, std::move(why)};
}

try_result callerLeft()
{
    return {false, true, attempt_failure::no_answer, "the caller has left"};
}

/// One request on its way through tries, resumptions and continuations.
class model_run
{
public:
    model_run(gateway_context &context, http_exchange &exchange, const caller_request &request, const Json::Value &body)
        : m_context(context)
        , m_request(request)
        , m_body(body)
        , m_callerSocket(exchange.socketDescriptor())
        , m_sink(exchange, request, jsonFlag(body, "stream"))
    {
        m_progress.isRepeatable = request.isRepeatable;
        m_progress.isResumable = true;
        m_progress.deadline = request.deadline;
        m_answer.request = request.id;
        m_admission.deployment = request.target.id;
        m_admission.organisation = request.owner.id;
        m_admission.priority = request.owner.priority;
        m_admission.weight = request.owner.weight;
        m_admission.cost = expectedTokens(body, request.body.size());
        m_admission.prefix = prefixHash(promptOf(body));
        m_admission.deadline = request.deadline;
    }

    /// Runs to the end; true where the whole answer was sent.
    bool run()
    {
        for (;;) {
            reason why;
            auto route = m_context.admissions.acquire(m_admission, why);
            if (!route) {
                // Where no replica is left for another try, how the last one ended says more.
                return giveUp(m_lastFailure.value_or(why));
            }
            ++m_progress.attempts;
            auto result = tryOn(*route);
            m_context.admissions.release(m_request.target.id, *route);
            if (result.hasCallerLeft) {
                cancelCompletion(route->leader, m_request.id);
                note(error_kind::caller_left);
                return false;
            }
            if (result.isComplete) {
                return finish();
            }
            if (!mayGoOn(*route, result)) {
                return false;
            }
        }
    }

    bool mayHaveRun() const
    {
        return m_progress.mayHaveRun;
    }

    kept_answer keptAnswer() const
    {
        return {httpOk, "application/json", m_sink.body()};
    }

private:
    /// One try on one replica, with the resumptions of its stream.
    try_result tryOn(const replica_route &route)
    {
        m_answer.group = route.group;
        m_answer.expected = route.expected;
        m_context.requests.accepted.increment();
        const completion_call completion{
            route.leader, m_request.id, route.group, route.expected, m_admission.priority, m_body, m_sink.text(), m_answer.nextIndex};
        auto result = follow(makeCompletionCall(completion, longestFirstToken), route);
        while (!result.isComplete && !result.hasCallerLeft) {
            const auto next = planRecovery(m_progress, result.failure, false, monotonicNow());
            if (next.step != recovery_step::resume) {
                break;
            }
            m_context.requests.resumes.increment();
            result = follow(makeResumeCall(route.leader, m_request.id, m_answer.nextIndex, longestTokenGap), route);
        }
        return result;
    }

    /// Follows one stream to its end.
    try_result follow(const http_call &call, const replica_route &route)
    {
        http_stream stream;
        reason why;
        const auto status = stream.open(call, why);
        if (!status) {
            return failed(why.kind == error_kind::backend_unreachable ? attempt_failure::not_sent : attempt_failure::no_answer, why.text);
        }
        if (*status != httpOk) {
            m_context.rests.noteAnswer(route.leader, *status, stream.headers());
            return failedWith(*status, stream);
        }
        m_progress.mayHaveRun = true;
        const auto begun = monotonicNow();
        auto last = begun;
        bool isFirst = true;
        std::string line;
        for (;;) {
            const auto limit = std::min(m_request.deadline, last + (isFirst ? longestFirstToken : longestTokenGap));
            const auto wait = stream.nextLine(line, limit, m_callerSocket);
            if (wait == stream_wait::caller_left) {
                return callerLeft();
            }
            if (wait != stream_wait::line) {
                return failed(attempt_failure::broke_off, "the answer broke off");
            }
            const auto piece = answerChunkFrom(line);
            if (!piece) {
                continue;
            }
            const auto now = monotonicNow();
            switch (checkChunk(m_answer, *piece)) {
            case chunk_verdict::deliver:
                noteTime(isFirst, route, begun, last, now);
                isFirst = false;
                last = now;
                if (!m_sink.deliver(piece->text, piece->finishReason)) {
                    return callerLeft();
                }
                m_context.requests.tokens.increment();
                m_progress.delivered = m_answer.nextIndex;
                break;
            case chunk_verdict::complete:
                return {true, false, attempt_failure::not_sent, {}};
            case chunk_verdict::duplicate:
                break;
            case chunk_verdict::foreign:
            case chunk_verdict::gap:
                m_context.requests.foreignPieces.increment();
                return failed(attempt_failure::foreign, "a piece of the answer was not the next of this request");
            }
        }
    }

    static try_result failedWith(int status, http_stream &stream)
    {
        constexpr std::size_t largestError = 65536;
        const auto body = stream.readRest(largestError);
        const auto json = body ? parseJson(*body) : std::nullopt;
        // Only the backend server's own word counts for "not run".
        if (json && jsonString(*json, "ran") == "not_run") {
            return failed(attempt_failure::refused, jsonString(*json, "message"));
        }
        return failed(attempt_failure::failed, "the backend server answered " + std::to_string(status));
    }

    void noteTime(bool isFirst, const replica_route &route, instant begun, instant last, instant now)
    {
        if (!isFirst) {
            m_context.requests.tokenGap.observe(std::chrono::duration<double>(now - last).count());
            return;
        }
        recordFirstToken(route, now - begun);
        if (m_progress.delivered == 0) {
            m_context.requests.firstToken.observe(std::chrono::duration<double>(now - m_request.received).count());
        }
    }

    /// Whether there is another try after this one; else the caller has been told.
    bool mayGoOn(const replica_route &route, const try_result &result)
    {
        noteTrouble(route, avoidAfterTrouble);
        m_admission.tried.insert(route.group);
        // How it ends if there is no other try is worked out first: asking for one begins it.
        const auto end = planRecovery(m_progress, result.failure, false, monotonicNow());
        const auto next = planRecovery(m_progress, result.failure, true, monotonicNow());
        const bool wantsAnother = next.step == recovery_step::retry || next.step == recovery_step::continue_elsewhere;
        requestLog.info("A try failed. request={} group={} why=\"{}\" delivered={} goes_on={}",
                        m_request.id.value(),
                        route.group.value(),
                        result.why,
                        m_progress.delivered,
                        wantsAnother);
        if (!wantsAnother) {
            return giveUp({next.kind, result.why});
        }
        m_lastFailure = reason{end.kind, result.why};
        if (!m_context.admissions.takeRetryFor(m_request.target.id)) {
            return giveUp({m_lastFailure->kind, result.why + "; the retry budget is used up"});
        }
        (next.step == recovery_step::retry ? m_context.requests.retries : m_context.requests.continuations).increment();
        return true;
    }

    bool giveUp(const reason &why)
    {
        note(why.kind);
        m_sink.fail(why, m_progress.mayHaveRun ? std::nullopt : m_context.admissions.opensAfter(m_request.target.id));
        return false;
    }

    void note(error_kind kind)
    {
        m_context.counters.countRefusal(kind);
        countOutcome(m_context.counters, m_request.owner.id, m_request.target.id, std::string(errorAnswer(kind).name));
    }

    bool finish()
    {
        m_context.requests.completed.increment();
        countOutcome(m_context.counters, m_request.owner.id, m_request.target.id, "completed");
        m_sink.complete();
        return true;
    }

    gateway_context &m_context;
    const caller_request &m_request;
    const Json::Value &m_body;
    int m_callerSocket;
    answer_sink m_sink;
    request_progress m_progress;
    answer_progress m_answer;
    admission_request m_admission;
    /// How the last try ended, where another was to follow.
    std::optional<reason> m_lastFailure;
};

} // namespace

void answerModelRequest(gateway_context &context, http_exchange &exchange, const caller_request &request, const Json::Value &body)
{
    const auto record = claimOf(request, context.settings.daemon);
    if (!admitClaim(context, exchange, request, record)) {
        return;
    }
    model_run run(context, exchange, request, body);
    const bool isComplete = run.run();
    settleClaim(context, request, record, {isComplete ? std::optional(run.keptAnswer()) : std::nullopt, run.mayHaveRun()});
}

} // namespace vetchpost
