// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_upstream.h"

#include "Libraries/Http/message_framing.h"
#include "Libraries/Http/poco_timespan.h"
#include "Libraries/Http/request_writer.h"
#include "Libraries/Http/response_head.h"

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
/// The time within which the head of the response arrives completely, once its first byte has arrived.
constexpr duration headTimeout(2000);

} // namespace

struct http_upstream::private_data
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session;
    std::string method;
    written_request written = written_request::whole;
    response_head_decoder head;
    /// When the first byte of the head arrived.
    std::optional<instant> headBegan;
    /// Whether the head was returned by readHead(), so that what arrives belongs to the body.
    bool isHeadRead = false;
    body_decoder decoder{body_framing::none};
    /// Bytes of the body that were received together with the head.
    std::string received;

    /// Whether the head is complete, or is known to be invalid.
    bool isHeadDecided() const
    {
        return head.current() != response_head_decoder::state::needs_more;
    }

    /// Whether something can be read without a wait.
    bool hasBuffered() const
    {
        return !received.empty() || (!isHeadRead && isHeadDecided());
    }

    /// The time at which a head that has begun must be complete, if that is before \a deadline.
    instant headDeadline(instant deadline) const
    {
        return headBegan && !isHeadRead ? std::min(deadline, *headBegan + headTimeout) : deadline;
    }

    /// Gives up a head that has not arrived in time.
    void checkHeadTime(instant now)
    {
        if (headBegan && now - *headBegan >= headTimeout) {
            head.fail("it did not arrive in time");
        }
    }

    /// Reads once from the socket, which must be readable, into the head.
    void receiveHead()
    {
        std::array<char, readSize> bytes{};
        headBegan = headBegan.value_or(monotonicNow());
        try {
            const auto count = session->socket().receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count > 0) {
                head.consume({bytes.data(), static_cast<std::size_t>(count)});
            } else {
                head.consumeEnd();
            }
        } catch (const Poco::Exception &error) {
            head.fail(error.displayText());
        }
    }

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
    d->head = {};
    d->headBegan.reset();
    d->isHeadRead = false;
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
        if (!call.sentBody().empty() || call.method == "POST" || call.method == "PUT") {
            request.setContentLength(static_cast<std::streamsize>(call.sentBody().size()));
        }
        d->written = writeRequest(*d->session, request, call.sentBody());
        return true;
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_lost, "the connection to " + call.to.text() + " failed: " + error.what()};
        return false;
    }
}

upstream_event http_upstream::waitForAnswer(instant deadline, int clientSocket)
{
    for (;;) {
        if (d->hasBuffered()) {
            return upstream_event::data;
        }
        const auto wait = d->waitReadable(d->headDeadline(deadline), clientSocket);
        if (d->isHeadRead || wait == upstream_event::caller_left) {
            return wait;
        }
        if (wait == upstream_event::data) {
            d->receiveHead();
        }
        const auto now = monotonicNow();
        d->checkHeadTime(now);
        if (now >= deadline) {
            return d->hasBuffered() ? upstream_event::data : upstream_event::timeout;
        }
    }
}

std::optional<upstream_head> http_upstream::readHead(reason &lastReason)
{
    if (!d->isHeadDecided()) {
        waitForAnswer(monotonicNow() + headTimeout, -1);
    }
    d->isHeadRead = true;
    if (d->head.current() != response_head_decoder::state::complete) {
        d->head.fail("it did not arrive in time");
        lastReason = {error_kind::backend_lost, "the response has an invalid head: " + d->head.problem()};
        return std::nullopt;
    }
    const auto &response = d->head.response();
    const auto decoder = decoderForResponse(response, d->method, d->written, lastReason);
    if (!decoder) {
        return std::nullopt;
    }
    d->decoder = *decoder;
    d->received = d->head.takeRest();
    upstream_head head{response.getStatus(), response.getReason(), {}};
    for (const auto &[name, value] : response) {
        head.headers.push_back({name, value});
    }
    return head;
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

upstream_pair::upstream_pair(const http_upstream &first, const http_upstream &second)
    : m_first(first)
    , m_second(second)
{
}

upstream_pair_event upstream_pair::wait(instant deadline, int clientSocket) const
{
    const auto socketOf
        = [](const http_upstream &upstream) { return upstream.isOpen() ? upstream.d->session->socket().impl()->sockfd() : -1; };
    const auto hasBuffered = [](const http_upstream &upstream) { return upstream.isOpen() && upstream.d->hasBuffered(); };
    // Part of a head is nothing that the caller can go on with.
    const auto isReady = [&](const http_upstream &upstream, const pollfd &socket) {
        if (upstream.isOpen() && !upstream.d->isHeadRead && !upstream.d->hasBuffered()) {
            if (socket.revents != 0) {
                upstream.d->receiveHead();
            }
            upstream.d->checkHeadTime(monotonicNow());
            return upstream.d->hasBuffered();
        }
        return socket.revents != 0 || hasBuffered(upstream);
    };
    for (;;) {
        std::array<pollfd, 3> sockets{{{socketOf(m_first), POLLIN, 0}, {socketOf(m_second), POLLIN, 0}, {clientSocket, POLLRDHUP, 0}}};
        const bool isAnyBuffered = hasBuffered(m_first) || hasBuffered(m_second);
        const auto until = m_second.d->headDeadline(m_first.d->headDeadline(deadline));
        const auto left = isAnyBuffered ? 0 : std::clamp<std::int64_t>((until - monotonicNow()).count(), 0, maxSteadyWait.count());
        const auto ready = poll(sockets.data(), sockets.size(), static_cast<int>(left));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        const upstream_pair_event event{
            isReady(m_first, sockets[0]), isReady(m_second, sockets[1]), (sockets[2].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0};
        if (event.isFirstReady || event.isSecondReady || event.hasCallerLeft || monotonicNow() >= deadline) {
            return event;
        }
    }
}

} // namespace vetchpost
