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
/// Maximum time between tokens of an answer; after it the stream counts as broken off and is resumed.
constexpr duration maxTokenGap(2000);
constexpr duration maxFirstTokenTime(15000);
constexpr duration avoidAfterFailure(1000);
constexpr std::uint64_t defaultMaximumTokens = 256;
constexpr double bytesPerToken = 4;
constexpr int httpOk = 200;

/// Concatenates the roles and contents of all messages, for the prefix hash.
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

/// Estimates the tokens of prompt and answer.
double expectedTokens(const Json::Value &body, std::size_t bodySize)
{
    const auto asked = jsonNumber(body, "max_tokens");
    return static_cast<double>(bodySize) / bytesPerToken + static_cast<double>(asked == 0 ? defaultMaximumTokens : asked);
}

/// Result of one attempt on a replica.
struct attempt_result
{
    bool isComplete = false;
    bool hasCallerLeft = false;
    attempt_failure failure = attempt_failure::not_sent;
    std::string why;
};

attempt_result failedAttempt(attempt_failure failure, std::string why)
{
    return {false, false, failure, std::move(why)};
}

attempt_result callerDisconnected()
{
    return {false, true, attempt_failure::no_answer, "the caller has disconnected"};
}

/// Runs one request through attempts on replicas, resumed streams and continuations on other replicas.
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
        m_admission.organisation = request.callerOrganisation.id;
        m_admission.priority = request.callerOrganisation.priority;
        m_admission.weight = request.callerOrganisation.weight;
        m_admission.cost = expectedTokens(body, request.body.size());
        m_admission.prefix = prefixHash(promptOf(body));
        m_admission.deadline = request.deadline;
    }

    /// Runs the request to its end. Returns true if the answer is complete.
    bool run()
    {
        for (;;) {
            reason why;
            auto route = m_context.admissions.acquire(m_admission, why);
            if (!route) {
                // If no replica is left for another attempt, the failure of the last attempt is the more useful reason.
                return giveUp(m_lastFailure.value_or(why));
            }
            ++m_progress.attempts;
            auto result = attemptOn(*route);
            m_context.admissions.release(m_request.target.id, *route);
            if (result.hasCallerLeft) {
                cancelCompletion(route->leader, m_request.id);
                countFailure(error_kind::caller_left);
                return false;
            }
            if (result.isComplete) {
                return finish();
            }
            if (!prepareNextAttempt(*route, result)) {
                return false;
            }
        }
    }

    bool mayHaveRun() const
    {
        return m_progress.mayHaveRun;
    }

    cached_answer makeCachedAnswer() const
    {
        return {httpOk, "application/json", m_sink.body()};
    }

private:
    /// Makes one attempt on a replica, and resumes its stream as often as recovery allows.
    attempt_result attemptOn(const replica_route &route)
    {
        m_answer.group = route.group;
        m_answer.expected = route.expected;
        m_context.requests.accepted.increment();
        const completion_call completion{
            route.leader, m_request.id, route.group, route.expected, m_admission.priority, m_body, m_sink.text(), m_answer.nextIndex};
        auto result = followStream(makeCompletionCall(completion, maxFirstTokenTime), route);
        while (!result.isComplete && !result.hasCallerLeft) {
            const auto next = planRecovery(m_progress, result.failure, false, monotonicNow());
            if (next.step != recovery_step::resume) {
                break;
            }
            m_context.requests.resumes.increment();
            result = followStream(makeResumeCall(route.leader, m_request.id, m_answer.nextIndex, maxTokenGap), route);
        }
        return result;
    }

    /// Opens a stream and delivers its chunks until the answer ends or fails.
    attempt_result followStream(const http_call &call, const replica_route &route)
    {
        http_stream stream;
        reason why;
        const auto status = stream.open(call, why);
        if (!status) {
            return failedAttempt(why.kind == error_kind::backend_unreachable ? attempt_failure::not_sent : attempt_failure::no_answer,
                                 why.text);
        }
        if (*status != httpOk) {
            m_context.backoffs.recordBackoff(route.leader, *status, stream.headers());
            return failureFromReply(*status, stream);
        }
        m_progress.mayHaveRun = true;
        const auto started = monotonicNow();
        auto last = started;
        bool isFirst = true;
        std::string line;
        for (;;) {
            const auto limit = std::min(m_request.deadline, last + (isFirst ? maxFirstTokenTime : maxTokenGap));
            const auto wait = stream.nextLine(line, limit, m_callerSocket);
            if (wait == stream_event::caller_left) {
                return callerDisconnected();
            }
            if (wait != stream_event::line) {
                return failedAttempt(attempt_failure::broke_off, "the answer broke off");
            }
            const auto chunk = answerChunkFrom(line);
            if (!chunk) {
                continue;
            }
            const auto now = monotonicNow();
            switch (checkChunk(m_answer, *chunk)) {
            case chunk_verdict::deliver:
                recordLatency(isFirst, route, started, last, now);
                isFirst = false;
                last = now;
                if (!m_sink.deliver(chunk->text, chunk->finishReason)) {
                    return callerDisconnected();
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
                m_context.requests.foreignChunks.increment();
                return failedAttempt(attempt_failure::foreign, "a chunk of the answer did not belong to this request or was out of order");
            }
        }
    }

    static attempt_result failureFromReply(int status, http_stream &stream)
    {
        constexpr std::size_t maxErrorSize = 65536;
        const auto body = stream.readRest(maxErrorSize);
        const auto json = body ? parseJson(*body) : std::nullopt;
        // The request counts as not run only if the backend server reports so itself.
        if (json && jsonString(*json, "ran") == "not_run") {
            return failedAttempt(attempt_failure::refused, jsonString(*json, "message"));
        }
        return failedAttempt(attempt_failure::failed, "the backend server answered " + std::to_string(status));
    }

    void recordLatency(bool isFirst, const replica_route &route, instant started, instant last, instant now)
    {
        if (!isFirst) {
            m_context.requests.tokenGap.observe(std::chrono::duration<double>(now - last).count());
            return;
        }
        recordFirstToken(route, now - started);
        if (m_progress.delivered == 0) {
            m_context.requests.firstToken.observe(std::chrono::duration<double>(now - m_request.received).count());
        }
    }

    /// Prepares another attempt after a failed one. Returns false if there is none; the caller has then been sent the error.
    bool prepareNextAttempt(const replica_route &route, const attempt_result &result)
    {
        recordFailure(route, avoidAfterFailure);
        m_admission.tried.insert(route.group);
        // The error without another attempt is determined first, as planning another attempt changes the progress.
        const auto end = planRecovery(m_progress, result.failure, false, monotonicNow());
        const auto next = planRecovery(m_progress, result.failure, true, monotonicNow());
        const bool hasAnotherAttempt = next.step == recovery_step::retry || next.step == recovery_step::continue_elsewhere;
        requestLog.info("An attempt failed. request={} group={} why=\"{}\" delivered={} goes_on={}",
                        m_request.id.value(),
                        route.group.value(),
                        result.why,
                        m_progress.delivered,
                        hasAnotherAttempt);
        if (!hasAnotherAttempt) {
            return giveUp({next.kind, result.why});
        }
        m_lastFailure = reason{end.kind, result.why};
        if (!m_context.admissions.spendRetryFor(m_request.target.id)) {
            return giveUp({m_lastFailure->kind, result.why + "; the retry budget is used up"});
        }
        (next.step == recovery_step::retry ? m_context.requests.retries : m_context.requests.continuations).increment();
        return true;
    }

    bool giveUp(const reason &why)
    {
        countFailure(why.kind);
        m_sink.fail(why, m_progress.mayHaveRun ? std::nullopt : m_context.admissions.timeUntilAvailable(m_request.target.id));
        return false;
    }

    void countFailure(error_kind kind)
    {
        m_context.counters.countRefusal(kind);
        countOutcome(m_context.counters, m_request.callerOrganisation.id, m_request.target.id, std::string(errorAnswer(kind).name));
    }

    bool finish()
    {
        m_context.requests.completed.increment();
        countOutcome(m_context.counters, m_request.callerOrganisation.id, m_request.target.id, "completed");
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
    /// Failure of the last attempt, if another was planned after it.
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
    settleClaim(context, request, record, {isComplete ? std::optional(run.makeCachedAnswer()) : std::nullopt, run.mayHaveRun()});
}

} // namespace vetchpost
