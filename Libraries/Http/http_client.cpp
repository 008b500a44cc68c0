// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_client.h"

#include "Libraries/Http/body_reader.h"
#include "Libraries/Http/message_framing.h"
#include "Libraries/Http/poco_timespan.h"
#include "Libraries/Http/request_writer.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <poll.h>

#include <array>
#include <map>
#include <mutex>
#include <utility>

namespace vetchpost {

namespace {

using session_pointer = std::unique_ptr<Poco::Net::HTTPClientSession>;

constexpr std::size_t maxIdleConnectionsPerPeer = 4;
constexpr duration idleConnectionTimeout(4000);
/// The time for a whole body, in receive timeouts.
constexpr int bodyTimeouts = 4;
/// The longest line of a response that is read line by line, in bytes.
constexpr std::size_t maximumLineSize = 1U << 20U;

/// Begins a session on an established connection. A session that is constructed from a socket has no address, so POCO cannot reconnect it
/// and send a request a second time.
session_pointer makeSession(const tcp_connection &connection, const http_call &call, bool keepAlive)
{
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(connection.socket());
    session->setTimeout(timespanOf(call.connectTimeout), timespanOf(call.receiveTimeout), timespanOf(call.receiveTimeout));
    session->socket().setReceiveTimeout(timespanOf(call.receiveTimeout));
    session->socket().setSendTimeout(timespanOf(call.receiveTimeout));
    session->setKeepAlive(keepAlive);
    session->setKeepAliveTimeout(timespanOf(idleConnectionTimeout));
    return session;
}

/// Connects a session; null on an error. Connecting is a separate step so that "nothing was sent" can be distinguished from "outcome
/// unknown".
session_pointer connect(const http_call &call, bool keepAlive, reason &lastReason)
{
    connect_failure failure{};
    const auto connection = connectTo(call.to, call.connectTimeout, failure, lastReason);
    return connection ? makeSession(*connection, call, keepAlive) : nullptr;
}

Poco::Net::HTTPRequest makeRequest(const http_call &call, bool keepAlive)
{
    Poco::Net::HTTPRequest request(call.method, call.target, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &header : call.headers) {
        request.set(header.name, header.value);
    }
    request.setHost(call.to.host, call.to.port);
    request.setKeepAlive(keepAlive);
    if (!call.sentBody().empty() || call.method == "POST" || call.method == "PUT") {
        request.setContentLength(static_cast<std::streamsize>(call.sentBody().size()));
    }
    return request;
}

std::vector<http_header> headersOf(const Poco::Net::HTTPResponse &response)
{
    std::vector<http_header> headers;
    for (const auto &[name, value] : response) {
        headers.push_back({name, value});
    }
    return headers;
}

/// Until when the body of a response whose head has just arrived is read.
instant bodyDeadline(const http_call &call)
{
    return monotonicNow() + call.receiveTimeout * bodyTimeouts;
}

/// Appends the rest of the body to \a text. Returns false and sets \a lastReason if it is larger than \a limit bytes or was truncated.
/// Throws Poco::TimeoutException if it has not ended at \a deadline.
bool readAll(body_reader &reader, std::string &text, std::size_t limit, instant deadline, reason &lastReason)
{
    while (reader.current() == body_decoder::state::needs_more && text.size() <= limit) {
        reader.read(text, deadline);
    }
    if (text.size() > limit) {
        lastReason = {error_kind::backend_truncated, "the response is larger than the limit"};
        return false;
    }
    if (reader.current() == body_decoder::state::broken) {
        lastReason = {error_kind::backend_truncated, "the response was truncated"};
        return false;
    }
    return true;
}

std::optional<http_reply> exchange(Poco::Net::HTTPClientSession &session, const http_call &call, bool keepAlive, reason &lastReason)
{
    try {
        auto request = makeRequest(call, keepAlive);
        const auto written = writeRequest(session, request, call.sentBody());
        const auto response = readResponseHead(session, monotonicNow() + call.receiveTimeout);
        const auto decoder = decoderForResponse(response, call.method, written, lastReason);
        if (!decoder) {
            return std::nullopt;
        }
        body_reader reader(session, *decoder);
        std::string body;
        if (!readAll(reader, body, call.maximumReplySize, bodyDeadline(call), lastReason)) {
            return std::nullopt;
        }
        return http_reply{response.getStatus(), headersOf(response), std::move(body)};
    } catch (const Poco::TimeoutException &) {
        lastReason = {error_kind::deadline_exceeded, "no response in time from " + call.to.text()};
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_lost, "the connection to " + call.to.text() + " failed: " + error.what()};
    }
    return std::nullopt;
}

} // namespace

std::string headerValue(const std::vector<http_header> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (Poco::icompare(header.name, std::string(name)) == 0) {
            return header.value;
        }
    }
    return {};
}

std::string http_reply::header(std::string_view name) const
{
    return headerValue(headers, name);
}

std::optional<http_reply> sendOnFreshConnection(const http_call &call, reason &lastReason)
{
    const auto session = connect(call, false, lastReason);
    if (!session) {
        return std::nullopt;
    }
    return exchange(*session, call, false, lastReason);
}

std::optional<http_reply> sendOn(const tcp_connection &connection, const http_call &call, reason &lastReason)
{
    const auto session = makeSession(connection, call, false);
    return exchange(*session, call, false, lastReason);
}

struct http_connection_pool::private_data
{
    struct idle_connection
    {
        session_pointer session;
        instant since;
    };

    std::mutex mutex;
    std::map<endpoint, std::vector<idle_connection>> idle;

    /// Removes an idle connection from the pool; null if there is none that is young enough.
    session_pointer acquire(const endpoint &to)
    {
        const std::lock_guard lock(mutex);
        auto &connections = idle[to];
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (monotonicNow() - connection.since < idleConnectionTimeout) {
                return std::move(connection.session);
            }
        }
        return nullptr;
    }

    /// Returns a connection to the pool, or closes it if the pool holds enough for this peer.
    void release(const endpoint &to, session_pointer session)
    {
        const std::lock_guard lock(mutex);
        auto &connections = idle[to];
        if (connections.size() < maxIdleConnectionsPerPeer) {
            connections.push_back({std::move(session), monotonicNow()});
        }
    }
};

http_connection_pool::http_connection_pool()
    : d(std::make_unique<private_data>())
{
}

http_connection_pool::~http_connection_pool() = default;

std::optional<http_reply> http_connection_pool::send(const http_call &call, reason &lastReason)
{
    if (auto session = d->acquire(call.to)) {
        session->socket().setReceiveTimeout(timespanOf(call.receiveTimeout));
        auto reply = exchange(*session, call, true, lastReason);
        if (reply) {
            d->release(call.to, std::move(session));
            return reply;
        }
        if (lastReason.kind != error_kind::backend_lost) {
            return std::nullopt;
        }
    }
    auto session = connect(call, true, lastReason);
    if (!session) {
        return std::nullopt;
    }
    auto reply = exchange(*session, call, true, lastReason);
    if (reply) {
        d->release(call.to, std::move(session));
    }
    return reply;
}

struct http_stream::private_data
{
    session_pointer session;
    std::vector<http_header> headers;
    std::optional<body_reader> reader;
    /// The time for what readRest() reads.
    duration restTimeout{};
    /// Bytes of the body that were read and not returned yet.
    std::string received;

    /// Waits until more bytes of the response can be read, in which case it returns line.
    stream_event waitReadable(instant deadline, int clientSocket) const
    {
        if (reader->hasBuffered()) {
            return stream_event::line;
        }
        for (;;) {
            std::array<pollfd, 2> sockets{{{session->socket().impl()->sockfd(), POLLIN, 0}, {clientSocket, POLLRDHUP, 0}}};
            const auto left = std::max<std::int64_t>(0, (deadline - monotonicNow()).count());
            const auto ready = poll(sockets.data(), sockets.size(), static_cast<int>(std::min<std::int64_t>(left, maxSteadyWait.count())));
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if ((sockets[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                return stream_event::caller_left;
            }
            if (sockets[0].revents != 0) {
                return stream_event::line;
            }
            if (monotonicNow() >= deadline) {
                return stream_event::timeout;
            }
        }
    }
};

http_stream::http_stream()
    : d(std::make_unique<private_data>())
{
}

http_stream::~http_stream() = default;

std::optional<int> http_stream::open(const http_call &call, reason &lastReason)
{
    d->session = connect(call, false, lastReason);
    if (!d->session) {
        return std::nullopt;
    }
    try {
        auto request = makeRequest(call, false);
        const auto written = writeRequest(*d->session, request, call.sentBody());
        const auto response = readResponseHead(*d->session, monotonicNow() + call.receiveTimeout);
        d->session->socket().setReceiveTimeout(timespanOf(call.receiveTimeout));
        d->restTimeout = call.receiveTimeout * bodyTimeouts;
        const auto decoder = decoderForResponse(response, call.method, written, lastReason);
        if (!decoder) {
            return std::nullopt;
        }
        d->reader.emplace(*d->session, *decoder);
        d->headers = headersOf(response);
        return response.getStatus();
    } catch (const Poco::TimeoutException &) {
        lastReason = {error_kind::deadline_exceeded, "no response in time from " + call.to.text()};
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_lost, "the connection to " + call.to.text() + " failed: " + error.what()};
    }
    return std::nullopt;
}

stream_event http_stream::nextLine(std::string &line, instant deadline, int clientSocket)
{
    std::size_t lineEnd = std::string::npos;
    std::size_t searched = 0;
    try {
        while ((lineEnd = d->received.find('\n', searched)) == std::string::npos) {
            searched = d->received.size();
            if (d->received.size() > maximumLineSize) {
                return stream_event::lost;
            }
            if (d->reader->current() != body_decoder::state::needs_more) {
                // A response that ends inside a line was truncated.
                const bool isWhole = d->reader->current() == body_decoder::state::complete && d->received.empty();
                return isWhole ? stream_event::end : stream_event::lost;
            }
            const auto wait = d->waitReadable(deadline, clientSocket);
            if (wait != stream_event::line) {
                return wait;
            }
            d->reader->read(d->received);
        }
    } catch (const std::exception &) {
        return stream_event::lost;
    }
    line = d->received.substr(0, lineEnd);
    d->received.erase(0, lineEnd + 1);
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return stream_event::line;
}

const std::vector<http_header> &http_stream::headers() const
{
    return d->headers;
}

std::optional<std::string> http_stream::readRest(std::size_t limit)
{
    try {
        reason ignored;
        auto text = std::exchange(d->received, {});
        return readAll(*d->reader, text, limit, monotonicNow() + d->restTimeout, ignored) ? std::optional(std::move(text)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void http_stream::close()
{
    if (d->session) {
        d->session->abort();
    }
}

} // namespace vetchpost
