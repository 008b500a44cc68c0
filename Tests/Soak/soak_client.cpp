// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_client.h"

#include "Libraries/Base/json.h"
#include "Tests/Soak/client_connection.h"
#include "platform/names.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <thread>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

/// A client's deadline for a request with all its retries.
constexpr duration clientTimeout(6000);
/// A daemon may give up a request this long before its deadline, as the time left is too short for an answer.
constexpr duration deadlineMargin(50);
/// A client gives up an answer that brings no byte for this long.
constexpr duration maxSilence(3000);
constexpr duration minThinkTime(5);
/// The pause between two sends of a deadly request.
constexpr duration deadlyPause(400);
constexpr int thinkTimeSpreadMs = 60;
constexpr int maxAttempts = 3;
/// The mix of request kinds in percent; the remainder are probes.
constexpr int streamPercent = 45;
constexpr int idempotentPercent = 30;
constexpr int nonIdempotentPercent = 18;
/// One in this many streams is abandoned after its first event.
constexpr int abandonOneIn = 20;
/// One in this many requests uses a changing key.
constexpr int changingKeyOneIn = 8;
/// One in this many attempts opens a new connection although there is an open one.
constexpr int newConnectionOneIn = 8;
constexpr int notRunTooMany = 429;
constexpr int notRunUnavailable = 503;
constexpr int notRunTimeout = 408;

/// The length of an attempt id's part before the attempt's number.
constexpr std::size_t idPrefixLength = 5;
/// The first part of all prompts.
constexpr auto commonPart = "c0";

/// A request that a client is to complete, with its progress over all attempts.
struct client_request
{
    request_kind kind = request_kind::idempotent;
    std::string path;
    std::string service;
    std::string key;
    std::uint64_t version = 0;
    const char *model = "m0";
    std::string body = "work";
    /// The number of the last event received, from which a retry resumes the stream.
    int lastEvent = 0;
    /// The number of the stream's final event; 0 while it is unknown.
    int finalEvent = 0;
    bool abandonsEarly = false;
    instant deadline;
    std::string deadlyPart = {};
};

/// How the body of an attempt's request is sent.
struct body_style
{
    bool isChunked = false;
    /// The client leaves before the end of the body.
    bool isCut = false;
};

/// Returns the body with its framing, without its end if it is cut.
std::string framedBody(const std::string &body, const body_style &style)
{
    if (style.isChunked) {
        return fmt::format("{:x}\r\n{}\r\n{}", body.size(), body, style.isCut ? "" : "0\r\n\r\n");
    }
    return style.isCut ? body.substr(0, body.size() / 2) : body;
}

/// Returns the beginning of a request, which ends at a place in its head that \a number selects.
std::string cutInHead(const std::string &request, int number)
{
    constexpr int step = 37;
    const auto headSize = request.find("\r\n\r\n") + 2;
    return request.substr(0, 1 + static_cast<std::size_t>(number * step) % headSize);
}

/// Returns the HTTP request for one attempt.
std::string requestText(const client_request &request, const request_id &id, const body_style &style)
{
    const auto remaining = std::max<std::int64_t>(1, (request.deadline - monotonicNow()).count());
    auto text = fmt::format("POST {}work HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}{}\r\n{}\r\n",
                            request.path,
                            soakHost,
                            names::attemptId,
                            id.value(),
                            names::deadline,
                            remaining,
                            names::authorization,
                            names::bearerPrefix,
                            request.key,
                            style.isChunked ? "Transfer-Encoding: chunked" : fmt::format("Content-Length: {}", request.body.size()));
    if (request.kind == request_kind::stream) {
        const auto ownPart = id.value().substr(idPrefixLength);
        text += fmt::format("{}: {}\r\nToken-Counts: 400,80\r\nPrompt-Prefix: {}:200,{}{}:400\r\n",
                            names::model,
                            request.model,
                            commonPart,
                            request.deadlyPart.empty() ? std::string() : request.deadlyPart + ":100,",
                            ownPart);
    }
    if (request.lastEvent > 0) {
        text += fmt::format("{}: {}\r\n", names::lastEventId, request.lastEvent);
    }
    return text + "\r\n" + framedBody(request.body, style);
}

/// How far a stream has progressed, and the flaw found in it.
struct stream_progress
{
    int lastEvent = 0;
    int finalEvent = 0;
    std::string flaw;
};

/// Parses the events of a stream's body, continuing from the progress in \a request.
stream_progress parseStream(const std::string &body, const client_request &request, const request_id &id)
{
    stream_progress progress{request.lastEvent, request.finalEvent, {}};
    std::istringstream in(body);
    constexpr std::string_view dataPrefix = "data: ";
    for (std::string line; std::getline(in, line) && !in.eof();) {
        const auto data = line.starts_with(dataPrefix) ? parseJson(line.substr(dataPrefix.size())) : std::nullopt;
        if (!data) {
            continue;
        }
        const auto number = static_cast<int>(jsonNumber(*data, "event"));
        if (number != progress.lastEvent + 1) {
            progress.flaw = fmt::format("event {} follows {}", number, progress.lastEvent);
        } else if (jsonString(*data, "attempt") != id.value()) {
            progress.flaw = "an event of " + jsonString(*data, "attempt");
        }
        progress.lastEvent = number;
        progress.finalEvent = static_cast<int>(jsonNumber(*data, "of"));
    }
    return progress;
}

/// Returns a description of what is wrong with the answer's content; empty if nothing is.
std::string findFlaw(const client_answer &answer, const client_request &request, const request_id &id)
{
    constexpr int success = 200;
    if (answer.hasSurplus) {
        return "bytes that belong to no answer";
    }
    if (answer.status != success || answer.end == answer_end::not_sent) {
        return {};
    }
    if (headerValue(answer.headers, names::attemptId) != id.value()) {
        return "the answer of " + headerValue(answer.headers, names::attemptId);
    }
    if (headerValue(answer.headers, names::serverStamp).empty()) {
        return "a success without a replica's signature";
    }
    if (request.kind == request_kind::stream) {
        const auto progress = parseStream(answer.body, request, id);
        const bool isCut = answer.end == answer_end::whole && (progress.finalEvent == 0 || progress.lastEvent != progress.finalEvent);
        return progress.flaw.empty() && isCut ? fmt::format("ended after event {} of {}", progress.lastEvent, progress.finalEvent)
                                              : progress.flaw;
    }
    const auto json = answer.end == answer_end::whole ? parseJson(answer.body).value_or(Json::Value()) : Json::Value();
    const bool isOwn = json.isObject() && jsonString(json, "attempt") == id.value() && jsonFlag(json, "end");
    return answer.end != answer_end::whole || isOwn ? std::string() : "not the replica's whole body: " + answer.body;
}

/// Classifies how the attempt ended.
attempt_end attemptEndOf(const client_answer &answer)
{
    constexpr int success = 200;
    switch (answer.end) {
    case answer_end::not_sent:
        return attempt_end::not_sent;
    case answer_end::abandoned:
        return attempt_end::abandoned;
    case answer_end::broken:
        return attempt_end::broken;
    case answer_end::whole:
        break;
    }
    if (answer.status == success) {
        return attempt_end::answered;
    }
    const bool isNotRun = answer.status == notRunTimeout || answer.status == names::misdirected || answer.status == notRunTooMany
        || answer.status == notRunUnavailable;
    return isNotRun ? attempt_end::refused : attempt_end::failed;
}

/// Returns whether the attempt may be retried, by the rule of the platform's clients: a request that may have run is sent again only if a
/// second run does no harm.
bool mayRetry(const attempt_fact &attempt)
{
    constexpr int firstServerError = 500;
    if (attempt.kind == request_kind::probe || attempt.end == attempt_end::answered || attempt.end == attempt_end::abandoned) {
        return false;
    }
    const bool hasNotRun = attempt.end == attempt_end::refused || attempt.end == attempt_end::not_sent;
    const bool isFinal = attempt.end == attempt_end::failed && attempt.status < firstServerError;
    return hasNotRun || (!isFinal && attempt.kind != request_kind::non_idempotent);
}

} // namespace

std::string versionPath(std::uint64_t version)
{
    return fmt::format("/v{}/", version);
}

soak_directory::soak_directory(std::vector<endpoint> daemons)
    : incarnations(daemons.size())
    , m_daemons(std::move(daemons))
    , m_inRotation(m_daemons.size(), false)
{
}

std::size_t soak_directory::daemonCount() const
{
    return m_daemons.size();
}

endpoint soak_directory::daemonAt(int daemon) const
{
    return m_daemons.at(static_cast<std::size_t>(daemon));
}

void soak_directory::setInRotation(int daemon, bool isInRotation)
{
    const std::lock_guard lock(m_mutex);
    m_inRotation.at(static_cast<std::size_t>(daemon)) = isInRotation;
}

int soak_directory::selectDaemon(std::uint64_t number) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<int> candidates;
    for (std::size_t daemon = 0; daemon < m_inRotation.size(); ++daemon) {
        if (m_inRotation[daemon]) {
            candidates.push_back(static_cast<int>(daemon));
        }
    }
    return candidates.size() * 2 < m_inRotation.size() ? static_cast<int>(number % m_inRotation.size())
                                                       : candidates[number % candidates.size()];
}

void soak_directory::setVersion(std::uint64_t version)
{
    m_version = version;
}

std::uint64_t soak_directory::version() const
{
    return m_version;
}

void soak_directory::setChangingKey(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_changingKey = key;
}

std::string soak_directory::changingKey() const
{
    const std::lock_guard lock(m_mutex);
    return m_changingKey;
}

void attempt_log::add(const attempt_fact &attempt)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.push_back(attempt);
}

std::vector<attempt_fact> attempt_log::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempts;
}

struct soak_client::private_data
{
    int number;
    std::mt19937_64 generator;
    const soak_directory &directory;
    attempt_log &log;
    deadly_content deadly;
    std::atomic<bool> isStopping = false;
    int lastId = 0;
    /// A changing key that the client keeps using for a while after its withdrawal.
    std::string knownKey;
    int knownKeyUses = 0;
    std::map<int, std::unique_ptr<client_connection>> connections;
    std::thread thread;

    bool oneIn(int count)
    {
        return generator() % static_cast<std::uint64_t>(count) == 0;
    }

    void run()
    {
        while (!isStopping) {
            auto request = drawRequest();
            completeRequest(request);
            std::this_thread::sleep_for(!isDeadly() ? minThinkTime + duration(generator() % thinkTimeSpreadMs) : deadlyPause);
        }
    }

    /// Returns the key for the next request: the lasting one, or at random a changing one, which is used for a while after its withdrawal.
    std::string drawKey()
    {
        constexpr int maxUsesOfOldKey = 12;
        if (!oneIn(changingKeyOneIn)) {
            return lastingKey;
        }
        if (knownKey.empty() || (knownKey != directory.changingKey() && ++knownKeyUses > maxUsesOfOldKey)) {
            knownKey = directory.changingKey();
            knownKeyUses = 0;
        }
        return knownKey;
    }

    bool isDeadly() const
    {
        return !deadly.body.empty() || !deadly.part.empty();
    }

    const char *idPrefix() const
    {
        if (!deadly.part.empty()) {
            return deadlyPartIdPrefix;
        }
        return isDeadly() ? deadlyIdPrefix : "c";
    }

    client_request deadlyRequest() const
    {
        client_request request{request_kind::stream, streamPath, engineService, lastingKey};
        request.body = deadly.body.empty() ? fmt::format("question {}", lastId) : deadly.body;
        request.deadlyPart = deadly.part;
        request.deadline = monotonicNow() + clientTimeout;
        return request;
    }

    /// Returns a random request, or the deadly request of a deadly client.
    client_request drawRequest()
    {
        if (isDeadly()) {
            return deadlyRequest();
        }
        constexpr int all = 100;
        const int drawn = static_cast<int>(generator() % all);
        client_request request{request_kind::probe, {}, plainService, drawKey(), 0, oneIn(2) ? "m0" : "m1"};
        request.deadline = monotonicNow() + clientTimeout;
        if (drawn < streamPercent) {
            request.kind = request_kind::stream;
            request.path = streamPath;
            request.service = engineService;
            request.abandonsEarly = oneIn(abandonOneIn);
        } else if (drawn < streamPercent + idempotentPercent) {
            request.kind = request_kind::idempotent;
            request.path = idempotentPath;
        } else if (drawn < streamPercent + idempotentPercent + nonIdempotentPercent) {
            request.kind = request_kind::non_idempotent;
            request.path = nonIdempotentPath;
        } else {
            // Routes of the previous version are probed too.
            const auto newest = directory.version();
            request.version = newest > 1 && oneIn(3) ? newest - 1 : newest;
            request.path = versionPath(request.version);
            request.key = lastingKey;
        }
        return request;
    }

    /// Sends attempts for the request until it is answered, must be given up or has used up its attempts.
    void completeRequest(client_request &request)
    {
        for (int attempts = 0; attempts < maxAttempts && !isStopping; ++attempts) {
            const auto retryDelay = sendAttempt(request, attempts > 0);
            if (!retryDelay) {
                return;
            }
            // A client waits for at most a third of the time that is left.
            const auto remaining = std::max(duration(0), std::chrono::duration_cast<duration>(request.deadline - monotonicNow()));
            std::this_thread::sleep_for(std::min(*retryDelay, remaining / 3));
        }
    }

    /// Returns the daemon for the next attempt. An open connection is reused whatever the daemon's readiness; a new one goes to a daemon
    /// that the balancer selects.
    int chooseDaemon(bool usesNewConnection)
    {
        std::erase_if(connections, [](const auto &entry) { return !entry.second->isOpen(); });
        if (usesNewConnection || connections.empty() || oneIn(newConnectionOneIn)) {
            const int daemon = directory.selectDaemon(generator());
            connections[daemon] = std::make_unique<client_connection>(directory.daemonAt(daemon));
            return daemon;
        }
        auto chosen = connections.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(generator() % connections.size()));
        return chosen->first;
    }

    /// Every few requests have a body in chunks, and some end before their body does. Does not use the generator, so that seeds keep their
    /// requests.
    body_style nextBodyStyle() const
    {
        constexpr int chunkedOneIn = 4;
        constexpr int cutOneIn = 33;
        return {lastId % chunkedOneIn == 0, !isDeadly() && lastId % cutOneIn == cutOneIn - 1};
    }

    /// Sends one attempt and logs it. Returns the time to wait before a retry, or nothing if the request is answered or must be given up.
    std::optional<duration> sendAttempt(client_request &request, bool usesNewConnection)
    {
        const int daemon = chooseDaemon(usesNewConnection);
        auto &connection = *connections.at(daemon);
        const request_id id(fmt::format("{}{:03}-{:06}", idPrefix(), number, ++lastId));
        const bool hasModel = request.kind == request_kind::stream;
        attempt_fact attempt{id, request.kind, request.service, request.key, hasModel ? request.model : "", daemon};
        attempt.incarnation = directory.incarnations.at(static_cast<std::size_t>(daemon));
        attempt.version = request.version;
        attempt.deadline = std::min(request.deadline, monotonicNow() + routeTimeout) - deadlineMargin;
        const auto style = nextBodyStyle();
        attempt.isSentInPart = style.isCut;
        client_answer answer;
        if (style.isCut) {
            // Half of them leave in the body, half in the head.
            const auto text = requestText(request, id, style);
            answer.sentAt = connection.sendAndClose(lastId % 2 == 0 ? text : cutInHead(text, lastId + number));
            answer.end = answer_end::abandoned;
        } else if (connection.isOpen()) {
            const auto shouldAbandon = [&](const std::string &body) { return request.abandonsEarly && !body.empty(); };
            answer = connection.exchange(requestText(request, id, style), maxSilence, shouldAbandon);
        }
        attempt.sentAt = answer.sentAt;
        attempt.endedAt = monotonicNow();
        attempt.end = attemptEndOf(answer);
        attempt.status = answer.status;
        attempt.flaw = findFlaw(answer, request, id);
        log.add(attempt);
        if (request.kind == request_kind::stream) {
            const auto progress = parseStream(answer.body, request, id);
            request.lastEvent = progress.lastEvent;
            request.finalEvent = progress.finalEvent;
        }
        if (!mayRetry(attempt)) {
            return std::nullopt;
        }
        constexpr double millisecondsPerSecond = 1000;
        const auto retryAfter = headerValue(answer.headers, "Retry-After");
        return duration(static_cast<std::int64_t>(retryAfter.empty() ? 0 : std::stod(retryAfter) * millisecondsPerSecond));
    }
};

soak_client::soak_client(int number, std::uint64_t seed, const soak_directory &directory, attempt_log &log, deadly_content deadly)
    : d(new private_data{number, std::mt19937_64(seed + static_cast<std::uint64_t>(number)), directory, log, std::move(deadly)})
{
    d->thread = std::thread([this] { d->run(); });
}

void soak_client::requestStop()
{
    d->isStopping = true;
}

soak_client::~soak_client()
{
    requestStop();
    d->thread.join();
}

} // namespace vetchpost::test
