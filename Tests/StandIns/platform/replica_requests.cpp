// SPDX-License-Identifier: Apache-2.0
// The part of replica_host that handles requests.
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/replica_host.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr int deadlinePassed = 504;
constexpr duration pollPeriod(10);
/// Number of tokens in an event of a stream.
constexpr int tokensPerEvent = 5;
constexpr int defaultEvents = 6;
/// The lower limit of TCP's retransmission timeout on common systems.
constexpr duration retransmissionTimeout(200);
/// Number of steps that an answer of a plain service takes.
constexpr int plainSteps = 3;
constexpr std::int64_t defaultDeadlineMs = 30000;

int eventCount(const std::string &tokenCounts)
{
    const auto comma = tokenCounts.find(',');
    const int tokens = comma == std::string::npos ? 0 : std::stoi("0" + tokenCounts.substr(comma + 1));
    return tokens == 0 ? defaultEvents : (tokens + tokensPerEvent - 1) / tokensPerEvent;
}

/// Whether a part of the prompt that is not the last begins with \a prefix, which is empty for none.
bool hasPartWithPrefix(const std::string &parts, const std::string &prefix)
{
    const auto found = prefix.empty() ? std::string::npos : ("," + parts).find("," + prefix);
    return found != std::string::npos && parts.find(',', found) != std::string::npos;
}

/// Sends bytes on the connection that are not part of an answer.
void sendRaw(const http_exchange &exchange, const std::string &bytes)
{
    [[maybe_unused]] const auto sent = ::send(exchange.socketDescriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

} // namespace

void replica_host::recordEvent(const char *what, const running_request &request, const char *name, const Json::Value &value)
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
    m_journal.recordEvent(what, fields);
}

void replica_host::refuse(const running_request &request, http_exchange &exchange, int status)
{
    recordEvent("refused", request, "status", status);
    exchange.setHeader(names::attemptId, request.attempt);
    exchange.setHeader(names::notExecuted, "1");
    exchange.setHeader(stand_in_names::faultyReplica, request.id);
    addNotices(request, exchange, status);
    exchange.send(status, "text/plain", "not run\n");
}

void replica_host::handleRequest(std::size_t number, http_exchange &exchange)
{
    constexpr std::size_t bodyLimit = 16U << 20U;
    reason why;
    const auto body = exchange.readBody(bodyLimit, std::chrono::seconds(10), why);
    if (!body) {
        exchange.sendError(why);
        return;
    }
    const auto deadlineMs = std::stoll("0" + exchange.header(names::deadline));
    running_request request{number,
                            {},
                            0,
                            exchange.header(names::attemptId),
                            monotonicNow() + duration(deadlineMs == 0 ? defaultDeadlineMs : deadlineMs),
                            std::stoi("0" + exchange.header(names::lastEventId)) + 1,
                            eventCount(exchange.header(stand_in_names::tokenCounts))};
    int status = badRequest;
    {
        const std::lock_guard lock(m_mutex);
        advance(m_simulation, monotonicNow());
        auto &replica = m_simulation.replicas[number];
        request.isDeadly = !m_faults.deadlyBody.empty() && body->starts_with(m_faults.deadlyBody);
        request.hasDeadlyPart = hasPartWithPrefix(exchange.header(names::promptPrefix), m_faults.deadlyPart);
        request.id = replica.id;
        request.serving = replica.serving;
        Json::Value fields;
        fields["replica"] = replica.id;
        fields["attempt"] = request.attempt;
        fields["deadline"] = Json::Int64(deadlineMs);
        fields["tenant"] = exchange.header(names::tenant);
        fields["group"] = replica.membership ? replica.membership->group : "";
        fields["path"] = exchange.path();
        fields["zone"] = replica.zone;
        fields["last_event"] = request.firstEvent - 1;
        m_simulation.events.push_back({"arrived", fields});
        flushEvents();
        if (!request.attempt.empty()) {
            status = admissionStatus(replica, exchange.header(names::model));
            status = status == 200 && m_faults.rejections.occurs() ? unavailable : status;
        }
        // A request for another instance has been answered before, and does not count.
        if (!bearsArrival(m_simulation, replica, monotonicNow())) {
            const auto now = monotonicNow();
            m_crashedReplicas.push_back({number, replica.id, now, now + crashDowntime});
            status = unavailable;
        }
        flushEvents();
        if (status == 200) {
            request.queued = ++replica.lastQueued;
            replica.queue.insert(request.queued);
        }
    }
    if (status != 200) {
        refuse(request, exchange, status);
    } else if (waitForSlot(request, exchange)) {
        run(request, exchange);
    }
}

/// Waits until the request leaves the queue. Returns true if it has a slot; otherwise the request has been refused or aborted.
bool replica_host::waitForSlot(const running_request &request, http_exchange &exchange)
{
    for (;; std::this_thread::sleep_for(pollPeriod)) {
        waitWhilePaused(request.number);
        const bool hasLeft = hasClientDisconnected(exchange);
        const bool isLate = monotonicNow() >= request.deadline;
        bool isGone = false;
        {
            const std::lock_guard lock(m_mutex);
            advance(m_simulation, monotonicNow());
            auto &replica = m_simulation.replicas[request.number];
            // A later incarnation at this port has counters of its own.
            const auto state = replica.id == request.id ? requestState(replica, request.serving) : request_state::cut;
            // Slots are given in the order of arrival.
            const auto before = std::distance(replica.queue.begin(), replica.queue.lower_bound(request.queued));
            const bool hasSlot = replica.active + before < replica.slots;
            const bool runs = !hasLeft && !isLate && state == request_state::progressing && hasSlot;
            const bool waits = !hasLeft && !isLate && !runs && (state == request_state::progressing || state == request_state::stalled);
            if (waits) {
                continue;
            }
            if (replica.id == request.id) {
                replica.queue.erase(request.queued);
            }
            if (runs) {
                ++replica.active;
                return true;
            }
            isGone = hasLeft || replica.id != request.id || !replica.isAlive;
        }
        if (isGone) {
            recordEvent("refused", request, "status", 0);
            exchange.abort();
        } else {
            refuse(request, exchange, unavailable);
        }
        return false;
    }
}

/// Records that the request starts to run: from now on it counts as executed.
void replica_host::recordStart(const running_request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto &replica = m_simulation.replicas[request.number];
    Json::Value fields;
    fields["replica"] = request.id;
    fields["attempt"] = request.attempt;
    fields["group"] = replica.membership ? replica.membership->group : "";
    fields["partial"] = replica.membership && isPartial(m_simulation, replica);
    m_simulation.events.push_back({"ran", fields});
    flushEvents();
}

void replica_host::run(const running_request &request, http_exchange &exchange)
{
    bool hasEngine = false;
    {
        const std::lock_guard lock(m_mutex);
        hasEngine = m_simulation.replicas[request.number].hasEngine;
    }
    std::string outcome;
    if (request.hasDeadlyPart) {
        exchange.beginAnswer(200, "OK", answerHeaders(request), std::nullopt);
    }
    if (request.isDeadly || request.hasDeadlyPart) {
        outcome = crashReplica(request, exchange);
    } else if (m_faults.garble.occurs()) {
        recordStart(request);
        sendRaw(exchange, "\x01\x02 no answer at all\r\n\r\n");
        outcome = "garbled";
    } else {
        outcome = hasEngine ? sendStream(request, exchange) : sendPlainAnswer(request, exchange);
    }
    if (outcome != "whole" && outcome != "refused") {
        exchange.abort();
    }
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_simulation.replicas[request.number];
        replica.active -= replica.id == request.id ? 1 : 0;
    }
    if (outcome != "refused") {
        recordEvent("ended", request, "how", outcome);
    }
}

/// Waits until the replica has worked for a time; a stall does not count. Returns an empty string, or how the request ends if it ends
/// before.
std::string replica_host::workFor(const running_request &request, const http_exchange &exchange, duration time)
{
    auto left = time;
    while (left.count() > 0) {
        const auto slice = std::min(left, pollPeriod);
        std::this_thread::sleep_for(slice);
        waitWhilePaused(request.number);
        if (hasClientDisconnected(exchange)) {
            return "cancelled";
        }
        const std::lock_guard lock(m_mutex);
        advance(m_simulation, monotonicNow());
        const auto &replica = m_simulation.replicas[request.number];
        const auto state = replica.id == request.id ? requestState(replica, request.serving) : request_state::cut;
        if (m_isStopping || state == request_state::cut) {
            return "cut";
        }
        if (state == request_state::broken) {
            return "broken";
        }
        if (monotonicNow() >= request.deadline) {
            return "deadline";
        }
        if (state == request_state::progressing) {
            left -= slice;
        }
    }
    return {};
}

/// Crashes the replica just after the request has started, with all requests at it.
std::string replica_host::crashReplica(const running_request &request, const http_exchange &exchange)
{
    recordStart(request);
    recordEvent("ended_replica", request, nullptr, {});
    const duration exitTime(m_faults.exitMs);
    {
        const std::lock_guard lock(m_mutex);
        const auto now = monotonicNow();
        m_crashedReplicas.push_back({request.number, request.id, now + exitTime, now + crashDowntime});
    }
    // The connection ends before the port.
    return exitTime > duration() ? "crashed" : workFor(request, exchange, crashDowntime);
}

std::vector<http_header> replica_host::answerHeaders(const running_request &request)
{
    std::vector<http_header> headers = {{names::attemptId, request.attempt},
                                        {names::serverStamp, fmt::format("{}.{}", request.id, request.attempt)},
                                        {stand_in_names::weightVersions, "1"}};
    for (auto &notice : noticeHeaders(request.id, 0)) {
        headers.push_back(std::move(notice));
    }
    recordNotices(request, 0);
    return headers;
}

void replica_host::addNotices(const running_request &request, http_exchange &exchange, int status)
{
    for (const auto &notice : noticeHeaders(request.id, status)) {
        exchange.setHeader(notice.name, notice.value);
    }
    recordNotices(request, status);
}

/// Records the notices of the replica that the answer to a request carries.
void replica_host::recordNotices(const running_request &request, int status)
{
    for (const auto &notice : noticeHeaders(request.id, status)) {
        if (notice.name == names::coldHeader) {
            continue;
        }
        const auto *what = notice.name == names::serverLimit ? "told_limit"
            : notice.name == names::serverLeaving            ? "told_leaving"
                                                             : "told_rest";
        recordEvent(what, request, "value", notice.value);
    }
}

std::string replica_host::sendPlainAnswer(const running_request &request, http_exchange &exchange)
{
    recordStart(request);
    auto outcome = workFor(request, exchange, m_options.step * plainSteps);
    if (outcome == "deadline") {
        exchange.setHeader(names::attemptId, request.attempt);
        addNotices(request, exchange, deadlinePassed);
        exchange.send(deadlinePassed, "text/plain", "too late\n");
        return outcome;
    }
    if (!outcome.empty() || m_faults.loseAnswers.occurs()) {
        return outcome.empty() ? "lost" : outcome;
    }
    const auto body = fmt::format(R"({{"attempt":"{}","path":"{}","end":true}})", request.attempt, exchange.path());
    exchange.beginAnswer(200, "OK", answerHeaders(request), body.size());
    if (!exchange.write(body)) {
        return "cancelled";
    }
    if (m_faults.extraBytes.occurs()) {
        sendRaw(exchange, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus");
    }
    exchange.completeAnswer();
    return "whole";
}

std::string replica_host::sendStream(const running_request &request, http_exchange &exchange)
{
    double slowness = 1;
    {
        const std::lock_guard lock(m_mutex);
        slowness = m_simulation.replicas[request.number].slowness;
    }
    const duration time(static_cast<std::int64_t>(static_cast<double>(m_options.step.count() * tokensPerEvent) * slowness));
    const bool isLost = m_faults.loseAnswers.occurs();
    for (int event = request.firstEvent; event <= request.lastEvent; ++event) {
        const auto delay = m_faults.retransmissions.occurs() ? retransmissionTimeout : duration();
        if (auto outcome = workFor(request, exchange, time + delay); !outcome.empty()) {
            // A request counts as not run until its first token.
            const bool isRefused = !exchange.hasBegun() && (outcome == "broken" || outcome == "deadline");
            if (isRefused) {
                refuse(request, exchange, unavailable);
            }
            return isRefused ? "refused" : outcome;
        }
        if (!exchange.hasBegun()) {
            recordStart(request);
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
        recordStart(request);
        exchange.beginAnswer(200, "OK", answerHeaders(request), std::nullopt);
    }
    exchange.completeAnswer();
    return "whole";
}

} // namespace vetchpost::test
