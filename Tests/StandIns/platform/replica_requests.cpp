// SPDX-License-Identifier: Apache-2.0
// The part of replica_host that runs requests.
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/replica_host.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr int deadlinePassed = 504;
constexpr duration evaluationPeriod(10);
/// An event of a stream holds as many tokens.
constexpr int tokensPerEvent = 5;
constexpr int usualEvents = 6;
/// A plain answer takes as many steps.
constexpr int plainSteps = 3;
constexpr std::int64_t usualDeadlineMs = 30000;

int eventsOf(const std::string &tokenCounts)
{
    const auto comma = tokenCounts.find(',');
    const int tokens = comma == std::string::npos ? 0 : std::stoi("0" + tokenCounts.substr(comma + 1));
    return tokens == 0 ? usualEvents : (tokens + tokensPerEvent - 1) / tokensPerEvent;
}

/// Bytes on the connection that are part of no answer.
void sendRaw(const http_exchange &exchange, const std::string &bytes)
{
    [[maybe_unused]] const auto sent = ::send(exchange.socketDescriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

} // namespace

void replica_host::note(const char *what, const running_request &request, const char *name, const Json::Value &value)
{
    Json::Value fields;
    fields["replica"] = request.id;
    fields["attempt"] = request.attempt;
    if (name != nullptr) {
        fields[name] = value;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[what];
    }
    m_journal.note(what, fields);
}

void replica_host::refuse(const running_request &request, http_exchange &exchange, int status)
{
    note("refused", request, "status", status);
    exchange.setHeader(names::attemptId, request.attempt);
    exchange.setHeader(names::notExecuted, "1");
    exchange.setHeader(stand_in_names::faultyReplica, request.id);
    addNotices(request, exchange, status);
    exchange.send(status, "text/plain", "not run\n");
}

void replica_host::handleRequest(std::size_t number, http_exchange &exchange)
{
    constexpr std::size_t bodyLimit = 16U << 20U;
    reason ignored;
    const auto body = exchange.readBody(bodyLimit, std::chrono::seconds(10), ignored).value_or(std::string());
    const auto patience = std::stoll("0" + exchange.header(names::deadline));
    running_request request{number,
                            {},
                            0,
                            exchange.header(names::attemptId),
                            monotonicNow() + duration(patience == 0 ? usualDeadlineMs : patience),
                            std::stoi("0" + exchange.header(names::lastEventId)) + 1,
                            eventsOf(exchange.header(stand_in_names::tokenCounts))};
    int status = badRequest;
    {
        const std::lock_guard lock(m_mutex);
        settle(m_world, monotonicNow());
        auto &replica = m_world.replicas[number];
        request.isDeadly = !m_faults.deadlyBody.empty() && body.starts_with(m_faults.deadlyBody);
        request.id = replica.id;
        request.serving = replica.serving;
        Json::Value fields;
        fields["replica"] = replica.id;
        fields["attempt"] = request.attempt;
        fields["deadline"] = Json::Int64(patience);
        fields["tenant"] = exchange.header(names::tenant);
        fields["group"] = replica.membership ? replica.membership->group : "";
        fields["path"] = exchange.path();
        fields["last_event"] = request.firstEvent - 1;
        m_world.events.push_back({"arrived", fields});
        passEvents();
        if (!request.attempt.empty()) {
            status = admissionStatus(replica, exchange.header(names::model));
        }
        if (status == 200) {
            ++replica.waiting;
        }
    }
    if (status != 200) {
        refuse(request, exchange, status);
    } else if (waitForSlot(request, exchange)) {
        run(request, exchange);
    }
}

/// Takes the request out of the queue; true once it runs. Otherwise it has been answered.
bool replica_host::waitForSlot(const running_request &request, http_exchange &exchange)
{
    for (;; std::this_thread::sleep_for(evaluationPeriod)) {
        const bool hasLeft = hasCallerLeft(exchange);
        const bool isLate = monotonicNow() >= request.deadline;
        bool isGone = false;
        {
            const std::lock_guard lock(m_mutex);
            settle(m_world, monotonicNow());
            auto &replica = m_world.replicas[request.number];
            // A new life at this port counts its own requests.
            const auto standing = replica.id == request.id ? standingOf(replica, request.serving) : request_standing::cut;
            const bool runs = !hasLeft && !isLate && standing == request_standing::moves && replica.active < replica.slots;
            const bool waits
                = !hasLeft && !isLate && !runs && (standing == request_standing::moves || standing == request_standing::stalls);
            if (waits) {
                continue;
            }
            replica.waiting -= replica.id == request.id ? 1 : 0;
            if (runs) {
                ++replica.active;
                return true;
            }
            isGone = hasLeft || replica.id != request.id || !replica.isAlive;
        }
        if (isGone) {
            note("refused", request, "status", 0);
            exchange.abort();
        } else {
            refuse(request, exchange, unavailable);
        }
        return false;
    }
}

/// The request begins to run: it has now been executed.
void replica_host::begin(const running_request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto &replica = m_world.replicas[request.number];
    Json::Value fields;
    fields["replica"] = request.id;
    fields["attempt"] = request.attempt;
    fields["group"] = replica.membership ? replica.membership->group : "";
    fields["partial"] = replica.membership && isPartial(m_world, replica);
    m_world.events.push_back({"ran", fields});
    passEvents();
}

void replica_host::run(const running_request &request, http_exchange &exchange)
{
    bool hasEngine = false;
    {
        const std::lock_guard lock(m_mutex);
        hasEngine = m_world.replicas[request.number].hasEngine;
    }
    std::string how;
    if (request.isDeadly) {
        how = endReplica(request, exchange);
    } else if (m_faults.garble.strikes()) {
        begin(request);
        sendRaw(exchange, "\x01\x02 no answer at all\r\n\r\n");
        how = "garbled";
    } else {
        how = hasEngine ? stream(request, exchange) : answer(request, exchange);
    }
    if (how != "whole" && how != "refused") {
        exchange.abort();
    }
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_world.replicas[request.number];
        replica.active -= replica.id == request.id ? 1 : 0;
    }
    if (how != "refused") {
        note("ended", request, "how", how);
    }
}

/// Lets the replica work for a time, during which it may stand still; empty if all is well, else how the request ends.
std::string replica_host::pause(const running_request &request, const http_exchange &exchange, duration time)
{
    auto left = time;
    while (left.count() > 0) {
        const auto slice = std::min(left, evaluationPeriod);
        std::this_thread::sleep_for(slice);
        if (hasCallerLeft(exchange)) {
            return "cancelled";
        }
        const std::lock_guard lock(m_mutex);
        settle(m_world, monotonicNow());
        const auto &replica = m_world.replicas[request.number];
        const auto standing = replica.id == request.id ? standingOf(replica, request.serving) : request_standing::cut;
        if (m_isStopping || standing == request_standing::cut) {
            return "cut";
        }
        if (standing == request_standing::broken) {
            return "broken";
        }
        if (monotonicNow() >= request.deadline) {
            return "deadline";
        }
        if (standing == request_standing::moves) {
            left -= slice;
        }
    }
    return {};
}

/// The replica ends a moment after the request has begun, with all that it runs.
std::string replica_host::endReplica(const running_request &request, const http_exchange &exchange)
{
    begin(request);
    note("ended_replica", request, nullptr, {});
    {
        const std::lock_guard lock(m_mutex);
        m_endedReplicas.push_back({request.number, request.id, monotonicNow() + endLength});
    }
    return pause(request, exchange, endLength);
}

std::vector<http_header> replica_host::answerHeaders(const running_request &request)
{
    std::vector<http_header> headers = {{names::attemptId, request.attempt},
                                        {names::serverStamp, fmt::format("{}.{}", request.id, request.attempt)},
                                        {stand_in_names::weightVersions, "1"}};
    for (auto &notice : noticesOf(request.id, 0)) {
        headers.push_back(std::move(notice));
    }
    noteTold(request, 0);
    return headers;
}

void replica_host::addNotices(const running_request &request, http_exchange &exchange, int status)
{
    for (const auto &notice : noticesOf(request.id, status)) {
        exchange.setHeader(notice.name, notice.value);
    }
    noteTold(request, status);
}

/// Writes down what the answer to a request says of its replica.
void replica_host::noteTold(const running_request &request, int status)
{
    for (const auto &notice : noticesOf(request.id, status)) {
        const auto *what = notice.name == names::serverLimit ? "told_limit"
            : notice.name == names::serverLeaving            ? "told_leaving"
                                                             : "told_rest";
        note(what, request, "value", notice.value);
    }
}

std::string replica_host::answer(const running_request &request, http_exchange &exchange)
{
    begin(request);
    auto how = pause(request, exchange, m_options.step * plainSteps);
    if (how == "deadline") {
        exchange.setHeader(names::attemptId, request.attempt);
        addNotices(request, exchange, deadlinePassed);
        exchange.send(deadlinePassed, "text/plain", "too late\n");
        return how;
    }
    if (!how.empty() || m_faults.loseAnswers.strikes()) {
        return how.empty() ? "lost" : how;
    }
    const auto body = fmt::format(R"({{"attempt":"{}","path":"{}","end":true}})", request.attempt, exchange.path());
    exchange.beginAnswer(200, "OK", answerHeaders(request), body.size());
    if (!exchange.write(body)) {
        return "cancelled";
    }
    if (m_faults.extraBytes.strikes()) {
        sendRaw(exchange, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus");
    }
    return "whole";
}

std::string replica_host::stream(const running_request &request, http_exchange &exchange)
{
    double slowness = 1;
    {
        const std::lock_guard lock(m_mutex);
        slowness = m_world.replicas[request.number].slowness;
    }
    const duration time(static_cast<std::int64_t>(static_cast<double>(m_options.step.count() * tokensPerEvent) * slowness));
    const bool isLost = m_faults.loseAnswers.strikes();
    for (int event = request.firstEvent; event <= request.lastEvent; ++event) {
        if (auto how = pause(request, exchange, time); !how.empty()) {
            // Before its first token a request has not run.
            const bool isRefused = !exchange.hasBegun() && (how == "broken" || how == "deadline");
            if (isRefused) {
                refuse(request, exchange, unavailable);
            }
            return isRefused ? "refused" : how;
        }
        if (!exchange.hasBegun()) {
            begin(request);
            auto headers = answerHeaders(request);
            headers.push_back({"Content-Type", "text/event-stream"});
            exchange.beginAnswer(200, "OK", headers, std::nullopt);
        }
        const auto text = fmt::format(
            "id: {}\ndata: {{\"attempt\":\"{}\",\"event\":{},\"of\":{}}}\n\n", event, request.attempt, event, request.lastEvent);
        if (isLost && event > request.lastEvent / 2) {
            exchange.write(text.substr(0, text.size() / 2));
            return "lost";
        }
        if (!exchange.write(text)) {
            return "cancelled";
        }
    }
    if (!exchange.hasBegun()) {
        begin(request);
        exchange.beginAnswer(200, "OK", answerHeaders(request), std::nullopt);
    }
    return "whole";
}

} // namespace vetchpost::test
