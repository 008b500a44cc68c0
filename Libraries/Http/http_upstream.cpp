// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_upstream.h"

#include "Libraries/Http/message_framing.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Buffer.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace vetchpost {

namespace {

/// Buffer size of one read from the socket, in bytes. The events of a stream are far smaller.
constexpr std::size_t readSize = 16384;
/// Timeout of a read while the head of the response is received, once its first byte has arrived.
constexpr duration headTimeout(2000);

} // namespace

struct http_upstream::private_data
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session;
    std::string method;
    body_decoder decoder{body_framing::none};
    /// Bytes of the body that were received together with the head.
    std::string received;

    upstream_event waitReadable(instant deadline, int clientSocket)
    {
        for (;;) {
            std::array<pollfd, 2> sockets{{{session->socket().impl()->sockfd(), POLLIN, 0}, {clientSocket, POLLRDHUP, 0}}};
            const auto left = std::clamp<std::int64_t>((deadline - monotonicNow()).count(), 0, maxSteadyWait.count());
            const auto ready = poll(sockets.data(), sockets.size(), static_cast<int>(left));
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if ((sockets[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                return upstream_event::caller_left;
            }
            if (sockets[0].revents != 0) {
                return upstream_event::data;
            }
            if (monotonicNow() >= deadline) {
                return upstream_event::timeout;
            }
        }
    }

    /// The event for a decoder state and the bytes that were decoded; timeout means that more bytes must be read.
    upstream_event eventFor(body_decoder::state state, const std::string &piece) const
    {
        if (state == body_decoder::state::broken) {
            return upstream_event::lost;
        }
        if (!piece.empty()) {
            return upstream_event::data;
        }
        return state == body_decoder::state::complete ? upstream_event::end : upstream_event::timeout;
    }

    /// Reads once from the socket, which must be readable, and decodes the bytes into \a piece.
    body_decoder::state receive(std::string &piece)
    {
        std::array<char, readSize> bytes{};
        try {
            const auto count = session->socket().receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            return count > 0 ? decoder.consume({bytes.data(), static_cast<std::size_t>(count)}, piece) : decoder.consumeEnd();
        } catch (const Poco::Exception &) {
            // A reset connection means a truncated body, even if the body ends with its connection.
            return body_decoder::state::broken;
        }
    }
};

http_upstream::http_upstream()
    : d(std::make_unique<private_data>())
{
}

http_upstream::~http_upstream() = default;
http_upstream::http_upstream(http_upstream &&other) noexcept = default;
http_upstream &http_upstream::operator=(http_upstream &&other) noexcept = default;

bool http_upstream::send(const http_call &call, reason &lastReason)
{
    connect_failure failure{};
    auto connection = connectTo(call.to, call.connectTimeout, failure, lastReason);
    return connection && send(*connection, call, lastReason);
}

bool http_upstream::send(const tcp_connection &connection, const http_call &call, reason &lastReason)
{
    d->method = call.method;
    try {
        // A session that is constructed from a socket has no address, so POCO cannot reconnect it and send the request a second time.
        d->session = std::make_unique<Poco::Net::HTTPClientSession>(connection.socket());
        d->session->socket().setReceiveTimeout(timespanOf(headTimeout));
        d->session->socket().setSendTimeout(timespanOf(call.receiveTimeout));
        d->session->setKeepAlive(false);
        Poco::Net::HTTPRequest request(call.method, call.target, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &header : call.headers) {
            request.add(header.name, header.value);
        }
        if (!request.has(Poco::Net::HTTPRequest::HOST)) {
            request.setHost(call.to.host, call.to.port);
        }
        request.setKeepAlive(false);
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        }
        d->session->sendRequest(request) << call.body << std::flush;
        return true;
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_lost, "the connection to " + call.to.text() + " failed: " + error.what()};
        return false;
    }
}

upstream_event http_upstream::waitForAnswer(instant deadline, int clientSocket)
{
    return d->waitReadable(deadline, clientSocket);
}

std::optional<upstream_head> http_upstream::readHead(reason &lastReason)
{
    try {
        Poco::Net::HTTPResponse response;
        d->session->receiveResponse(response);
        d->decoder = decoderForResponse(response, d->method);
        Poco::Buffer<char> buffered(0);
        d->session->drainBuffer(buffered);
        d->received.assign(buffered.begin(), buffered.size());
        upstream_head head{response.getStatus(), response.getReason(), {}};
        for (const auto &[name, value] : response) {
            head.headers.push_back({name, value});
        }
        return head;
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_lost, std::string("the response has an invalid head: ") + error.what()};
        return std::nullopt;
    }
}

upstream_event http_upstream::nextPiece(std::string &piece, instant deadline, int clientSocket)
{
    piece.clear();
    auto state = d->decoder.current();
    if (!d->received.empty()) {
        state = d->decoder.consume(std::exchange(d->received, {}), piece);
    }
    for (;;) {
        const auto result = d->eventFor(state, piece);
        if (result != upstream_event::timeout) {
            return result;
        }
        const auto waited = d->waitReadable(deadline, clientSocket);
        if (waited != upstream_event::data) {
            return waited;
        }
        state = d->receive(piece);
    }
}

bool http_upstream::endsWithConnection() const
{
    return d->decoder.framing() == body_framing::until_close;
}

void http_upstream::close()
{
    d->session.reset();
}

bool http_upstream::isOpen() const
{
    return d->session != nullptr;
}

bool http_upstream::isAtEnd() const
{
    char next = 0;
    const auto count = recv(d->session->socket().impl()->sockfd(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool hasNothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return d->received.empty() && count <= 0 && !hasNothingYet;
}

upstream_pair::upstream_pair(const http_upstream &first, const http_upstream &second)
    : m_first(first)
    , m_second(second)
{
}

upstream_pair_event upstream_pair::wait(instant deadline, int clientSocket) const
{
    const auto socketOf
        = [](const http_upstream &upstream) { return upstream.isOpen() ? upstream.d->session->socket().impl()->sockfd() : -1; };
    const auto hasBuffered = [](const http_upstream &upstream) { return upstream.isOpen() && !upstream.d->received.empty(); };
    for (;;) {
        std::array<pollfd, 3> sockets{{{socketOf(m_first), POLLIN, 0}, {socketOf(m_second), POLLIN, 0}, {clientSocket, POLLRDHUP, 0}}};
        const bool isAnyBuffered = hasBuffered(m_first) || hasBuffered(m_second);
        const auto left = isAnyBuffered ? 0 : std::clamp<std::int64_t>((deadline - monotonicNow()).count(), 0, maxSteadyWait.count());
        const auto ready = poll(sockets.data(), sockets.size(), static_cast<int>(left));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        const upstream_pair_event event{sockets[0].revents != 0 || hasBuffered(m_first),
                                        sockets[1].revents != 0 || hasBuffered(m_second),
                                        (sockets[2].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0};
        if (event.isFirstReady || event.isSecondReady || event.hasCallerLeft || monotonicNow() >= deadline) {
            return event;
        }
    }
}

} // namespace vetchpost
