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

constexpr duration patience(6000);
/// A daemon may give a request up so long before its time is over: less is too short for an answer.
constexpr duration deadlineMargin(50);
/// A stream whose next event does not come is given up.
constexpr duration longestSilence(3000);
constexpr duration shortestThought(5);
/// Between two sendings of a request that ends replicas.
constexpr duration deadlyPause(400);
constexpr int longestThoughtMs = 60;
constexpr int mostTries = 3;
/// Of 100 requests: the rest are probes.
constexpr int streams = 45;
constexpr int idempotents = 30;
constexpr int nonIdempotents = 18;
/// One in so many streams is left after its first event, one in so many requests is sent with a key that changes, and on an open connection
/// one in so many gives the connection up.
constexpr int leavesOneIn = 20;
constexpr int changingKeyOneIn = 8;
constexpr int newConnectionOneIn = 8;
constexpr int notRunTooMany = 429;
constexpr int notRunUnavailable = 503;
constexpr int notRunTimeout = 408;

/// Of the parts of an id only the last is a number.
constexpr std::size_t idPrefixLength = 5;

struct wanted_request
{
    request_kind kind = request_kind::idempotent;
    std::string path;
    std::string service;
    std::string key;
    std::uint64_t version = 0;
    const char *model = "m0";
    std::string body = "work";
    /// The last event that the client has, when it goes on with a stream.
    int lastEvent = 0;
    /// The number of the stream's last event; 0 while that is not known.
    int events = 0;
    bool leavesEarly = false;
    instant deadline;
};

std::string requestText(const wanted_request &wanted, const request_id &id)
{
    const auto left = std::max<std::int64_t>(1, (wanted.deadline - monotonicNow()).count());
    auto text = fmt::format("POST {}work HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}{}\r\nContent-Length: {}\r\n",
                            wanted.path,
                            soakHost,
                            names::attemptId,
                            id.value(),
                            names::deadline,
                            left,
                            names::authorization,
                            names::bearerPrefix,
                            wanted.key,
                            wanted.body.size());
    if (wanted.kind == request_kind::stream) {
        text += fmt::format(
            "{}: {}\r\nToken-Counts: 400,80\r\nPrompt-Prefix: {}:400\r\n", names::model, wanted.model, id.value().substr(idPrefixLength));
    }
    if (wanted.lastEvent > 0) {
        text += fmt::format("{}: {}\r\n", names::lastEventId, wanted.lastEvent);
    }
    return text + "\r\n" + wanted.body;
}

/// How far a stream has come, and what is wrong with it.
struct stream_reading
{
    int lastEvent = 0;
    int of = 0;
    std::string flaw;
};

stream_reading readStream(const std::string &body, const wanted_request &wanted, const request_id &id)
{
    stream_reading reading{wanted.lastEvent, wanted.events, {}};
    std::istringstream in(body);
    constexpr std::string_view dataPrefix = "data: ";
    for (std::string line; std::getline(in, line) && !in.eof();) {
        const auto data = line.starts_with(dataPrefix) ? parseJson(line.substr(dataPrefix.size())) : std::nullopt;
        if (!data) {
            continue;
        }
        const auto number = static_cast<int>(jsonNumber(*data, "event"));
        if (number != reading.lastEvent + 1) {
            reading.flaw = fmt::format("event {} follows {}", number, reading.lastEvent);
        } else if (jsonString(*data, "attempt") != id.value()) {
            reading.flaw = "an event of " + jsonString(*data, "attempt");
        }
        reading.lastEvent = number;
        reading.of = static_cast<int>(jsonNumber(*data, "of"));
    }
    return reading;
}

/// What is wrong with a whole answer; empty where nothing is.
std::string flawOf(const client_answer &answer, const wanted_request &wanted, const request_id &id)
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
    if (wanted.kind == request_kind::stream) {
        const auto reading = readStream(answer.body, wanted, id);
        const bool isCut = answer.end == answer_end::whole && (reading.of == 0 || reading.lastEvent != reading.of);
        return reading.flaw.empty() && isCut ? fmt::format("ended after event {} of {}", reading.lastEvent, reading.of) : reading.flaw;
    }
    const auto json = answer.end == answer_end::whole ? parseJson(answer.body).value_or(Json::Value()) : Json::Value();
    const bool isOwn = json.isObject() && jsonString(json, "attempt") == id.value() && jsonFlag(json, "end");
    return answer.end != answer_end::whole || isOwn ? std::string() : "not the replica's whole body: " + answer.body;
}

attempt_end endOf(const client_answer &answer)
{
    constexpr int success = 200;
    switch (answer.end) {
    case answer_end::not_sent:
        return attempt_end::not_sent;
    case answer_end::left:
        return attempt_end::left;
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

/// As the platform's clients: what may have run is sent again only where that does no harm.
bool mayRetry(const attempt_fact &attempt)
{
    constexpr int firstServerError = 500;
    if (attempt.kind == request_kind::probe || attempt.end == attempt_end::answered || attempt.end == attempt_end::left) {
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
    , m_isIn(m_daemons.size(), false)
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

void soak_directory::setIn(int daemon, bool isIn)
{
    const std::lock_guard lock(m_mutex);
    m_isIn.at(static_cast<std::size_t>(daemon)) = isIn;
}

int soak_directory::choose(std::uint64_t number) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<int> in;
    for (std::size_t daemon = 0; daemon < m_isIn.size(); ++daemon) {
        if (m_isIn[daemon]) {
            in.push_back(static_cast<int>(daemon));
        }
    }
    return in.size() * 2 < m_isIn.size() ? static_cast<int>(number % m_isIn.size()) : in[number % in.size()];
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
    /// All that it sends, where it is not empty.
    std::string deadlyBody;
    std::atomic<bool> isStopping = false;
    int lastId = 0;
    /// Keys that were given out; it goes on using the first of them when they are withdrawn.
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
            auto wanted = drawRequest();
            serveWish(wanted);
            std::this_thread::sleep_for(deadlyBody.empty() ? shortestThought + duration(generator() % longestThoughtMs) : deadlyPause);
        }
    }

    /// A key that changes is used for a while after its end.
    std::string drawKey()
    {
        constexpr int usesOfKey = 12;
        if (!oneIn(changingKeyOneIn)) {
            return lastingKey;
        }
        if (knownKey.empty() || (knownKey != directory.changingKey() && ++knownKeyUses > usesOfKey)) {
            knownKey = directory.changingKey();
            knownKeyUses = 0;
        }
        return knownKey;
    }

    wanted_request deadlyRequest() const
    {
        wanted_request wanted{request_kind::stream, streamPath, engineService, lastingKey};
        wanted.body = deadlyBody;
        wanted.deadline = monotonicNow() + patience;
        return wanted;
    }

    wanted_request drawRequest()
    {
        if (!deadlyBody.empty()) {
            return deadlyRequest();
        }
        constexpr int all = 100;
        const int drawn = static_cast<int>(generator() % all);
        wanted_request wanted{request_kind::probe, {}, plainService, drawKey(), 0, oneIn(2) ? "m0" : "m1"};
        wanted.deadline = monotonicNow() + patience;
        if (drawn < streams) {
            wanted.kind = request_kind::stream;
            wanted.path = streamPath;
            wanted.service = engineService;
            wanted.leavesEarly = oneIn(leavesOneIn);
        } else if (drawn < streams + idempotents) {
            wanted.kind = request_kind::idempotent;
            wanted.path = idempotentPath;
        } else if (drawn < streams + idempotents + nonIdempotents) {
            wanted.kind = request_kind::non_idempotent;
            wanted.path = nonIdempotentPath;
        } else {
            // Routes of withdrawn versions are asked for too.
            const auto newest = directory.version();
            wanted.version = newest > 1 && oneIn(3) ? newest - 1 : newest;
            wanted.path = versionPath(wanted.version);
            wanted.key = lastingKey;
        }
        return wanted;
    }

    void serveWish(wanted_request &wanted)
    {
        for (int attempts = 0; attempts < mostTries && !isStopping; ++attempts) {
            const auto comeBackAfter = tryOnce(wanted, attempts > 0);
            if (!comeBackAfter) {
                return;
            }
            // A third of the time that is left is the longest that a client waits.
            const auto left = std::max(duration(0), std::chrono::duration_cast<duration>(wanted.deadline - monotonicNow()));
            std::this_thread::sleep_for(std::min(*comeBackAfter, left / 3));
        }
    }

    /// The connection to a daemon; an open one whatever the daemon says of itself, else one that the balancer gives.
    int chooseDaemon(bool isNew)
    {
        std::erase_if(connections, [](const auto &entry) { return !entry.second->isOpen(); });
        if (isNew || connections.empty() || oneIn(newConnectionOneIn)) {
            const int daemon = directory.choose(generator());
            connections[daemon] = std::make_unique<client_connection>(directory.daemonAt(daemon));
            return daemon;
        }
        auto chosen = connections.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(generator() % connections.size()));
        return chosen->first;
    }

    /// When to try again; nothing where the wish is served or must be given up.
    std::optional<duration> tryOnce(wanted_request &wanted, bool isNew)
    {
        const int daemon = chooseDaemon(isNew);
        auto &connection = *connections.at(daemon);
        const request_id id(fmt::format("{}{:03}-{:06}", deadlyBody.empty() ? "c" : deadlyIdPrefix, number, ++lastId));
        const bool hasModel = wanted.kind == request_kind::stream;
        attempt_fact attempt{id, wanted.kind, wanted.service, wanted.key, hasModel ? wanted.model : "", daemon};
        attempt.incarnation = directory.incarnations.at(static_cast<std::size_t>(daemon));
        attempt.version = wanted.version;
        attempt.deadline = std::min(wanted.deadline, monotonicNow() + routeTimeout) - deadlineMargin;
        client_answer answer;
        if (connection.isOpen()) {
            const auto leaves = [&](const std::string &body) { return wanted.leavesEarly && !body.empty(); };
            answer = connection.exchange(requestText(wanted, id), longestSilence, leaves);
        }
        attempt.sentAt = answer.sentAt;
        attempt.endedAt = monotonicNow();
        attempt.end = endOf(answer);
        attempt.status = answer.status;
        attempt.flaw = flawOf(answer, wanted, id);
        log.add(attempt);
        if (wanted.kind == request_kind::stream) {
            const auto reading = readStream(answer.body, wanted, id);
            wanted.lastEvent = reading.lastEvent;
            wanted.events = reading.of;
        }
        if (!mayRetry(attempt)) {
            return std::nullopt;
        }
        constexpr double millisecondsPerSecond = 1000;
        const auto told = headerValue(answer.headers, "Retry-After");
        return duration(static_cast<std::int64_t>(told.empty() ? 0 : std::stod(told) * millisecondsPerSecond));
    }
};

soak_client::soak_client(int number, std::uint64_t seed, const soak_directory &directory, attempt_log &log, const std::string &deadlyBody)
    : d(new private_data{number, std::mt19937_64(seed + static_cast<std::uint64_t>(number)), directory, log, deadlyBody})
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
