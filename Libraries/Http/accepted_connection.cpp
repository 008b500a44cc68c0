// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/accepted_connection.h"

#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace vetchpost {

namespace {

/// How much of the rest of a request is discarded, and for how long, before its connection is closed.
constexpr std::size_t mostDiscarded = 8U << 20U;
constexpr duration longestDiscard(1000);
/// How often a connection that waits for a request checks whether others need its place.
constexpr duration roomCheckPeriod(200);

class connection_listener : public Poco::Net::ServerSocketImpl
{
public:
    explicit connection_listener(const connection_rules &rules)
        : m_rules(rules)
    {
    }

    Poco::Net::SocketImpl *acceptConnection(Poco::Net::SocketAddress &client) override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        int descriptor = -1;
        do {
            descriptor = accept(sockfd(), reinterpret_cast<sockaddr *>(&address), &length);
        } while (descriptor < 0 && errno == EINTR);
        if (descriptor < 0) {
            error();
        }
        client = Poco::Net::SocketAddress(reinterpret_cast<sockaddr *>(&address), length);
        return new accepted_connection(descriptor, m_rules);
    }

private:
    const connection_rules &m_rules;
};

} // namespace

accepted_connection::accepted_connection(poco_socket_t descriptor, const connection_rules &rules)
    : StreamSocketImpl(descriptor)
    , m_rules(rules)
{
}

int accepted_connection::receiveBytes(void *buffer, int length, int flags)
{
    if (m_phase == connection_phase::idle && enter(connection_phase::head)) {
        m_headDeadline = m_since + m_rules.heads->timeout.load();
        m_headSize = 0;
    }
    if (m_phase == connection_phase::idle || (m_phase == connection_phase::head && !waitForHead())) {
        m_hasMetEnd = true;
        return 0;
    }
    try {
        const auto count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        m_hasMetEnd = m_hasMetEnd || count <= 0;
        m_headSize += static_cast<std::size_t>(std::max(0, count));
        if (m_phase == connection_phase::body) {
            beginPhase(connection_phase::body);
        }
        return count;
    } catch (const Poco::Exception &) {
        m_hasMetEnd = true;
        throw;
    }
}

/// Waits until more of the head can be read. Returns false if that is not allowed.
bool accepted_connection::waitForHead()
{
    if (m_headSize >= m_rules.heads->size) {
        m_headProblem = head_problem::too_large;
        return false;
    }
    // Bytes that have arrived in time are read, however late that is.
    const auto left = std::max(duration(), m_headDeadline - monotonicNow());
    const bool isReadable = poll(timespanOf(left), Poco::Net::Socket::SELECT_READ);
    if (m_isInterrupted || !isReadable) {
        m_headProblem = m_isInterrupted ? head_problem::interrupted : head_problem::too_slow;
        return false;
    }
    return true;
}

bool accepted_connection::poll(const Poco::Timespan &timeout, int mode)
{
    const auto deadline = monotonicNow() + duration(timeout.totalMilliseconds());
    pollfd waited{sockfd(), 0, 0};
    waited.events |= (mode & Poco::Net::Socket::SELECT_READ) != 0 ? POLLIN : 0;
    waited.events |= (mode & Poco::Net::Socket::SELECT_WRITE) != 0 ? POLLOUT : 0;
    for (;;) {
        const auto left = std::max(duration(), deadline - monotonicNow());
        const auto wait = isAwaitingRequest() ? std::min(left, roomCheckPeriod) : left;
        const auto ready = ::poll(&waited, 1, static_cast<int>(wait.count()));
        if (ready > 0 || (ready == 0 && wait == left)) {
            return ready > 0;
        }
        if (ready < 0 && errno != EINTR) {
            error();
        }
        if (ready == 0) {
            m_rules.makeRoom();
        }
    }
}

/// Whether the connection waits for a client that has not sent the whole request, or none yet.
bool accepted_connection::isAwaitingRequest() const
{
    return m_phase == connection_phase::head || m_phase == connection_phase::body || (m_phase == connection_phase::idle && !m_hasServed);
}

void accepted_connection::close()
{
    if (m_mustDiscardRest && initialized()) {
        m_mustDiscardRest = false;
        discardRest();
    }
    // Keeps interrupt() from the descriptor, which may soon belong to another connection.
    beginPhase(connection_phase::handling);
    StreamSocketImpl::close();
}

/// Reads on until the client has closed its side, so that the response arrives (RFC 9112, section 9.6).
void accepted_connection::discardRest()
{
    beginPhase(connection_phase::closing);
    std::array<char, 16384> bytes;
    const auto deadline = monotonicNow() + longestDiscard;
    try {
        shutdownSend();
        int count = 1;
        for (std::size_t discarded = 0; count > 0 && discarded < mostDiscarded && monotonicNow() < deadline && !isInterrupted();
             discarded += static_cast<std::size_t>(count)) {
            const bool isReadable = poll(timespanOf(deadline - monotonicNow()), Poco::Net::Socket::SELECT_READ);
            count = isReadable ? StreamSocketImpl::receiveBytes(bytes.data(), static_cast<int>(bytes.size()), 0) : 0;
        }
    } catch (const Poco::Exception &) {
        // The client has closed or reset the connection.
        return;
    }
}

bool accepted_connection::hasMetEnd() const
{
    return m_hasMetEnd;
}

head_problem accepted_connection::headProblem() const
{
    return m_headProblem;
}

bool accepted_connection::enter(connection_phase phase)
{
    const std::lock_guard lock(m_mutex);
    if (m_isInterrupted) {
        return false;
    }
    m_phase = phase;
    m_since = monotonicNow();
    return true;
}

void accepted_connection::beginPhase(connection_phase phase)
{
    const std::lock_guard lock(m_mutex);
    m_phase = phase;
    m_since = monotonicNow();
}

void accepted_connection::endRequest()
{
    m_hasMetEnd = false;
    m_headProblem = head_problem::ended;
    const std::lock_guard lock(m_mutex);
    m_phase = connection_phase::idle;
    m_since = monotonicNow();
    m_hasServed = true;
}

void accepted_connection::discardRestOnClose()
{
    m_mustDiscardRest = true;
}

connection_state accepted_connection::state(instant now) const
{
    const std::lock_guard lock(m_mutex);
    return {m_phase, m_hasServed, now - m_since};
}

bool accepted_connection::interrupt()
{
    const std::lock_guard lock(m_mutex);
    if (m_isInterrupted || m_phase == connection_phase::handling) {
        return false;
    }
    // A kept connection on which the next request has arrived is in use.
    pollfd waited{sockfd(), POLLIN, 0};
    if (m_phase == connection_phase::idle && ::poll(&waited, 1, 0) > 0) {
        return false;
    }
    m_isInterrupted = true;
    // Ends a wait at once, unless that is for a body, whose client is still told why.
    if (m_phase != connection_phase::body) {
        ::shutdown(sockfd(), SHUT_RD);
    }
    return true;
}

bool accepted_connection::isInterrupted() const
{
    return m_isInterrupted;
}

accepting_socket::accepting_socket(const connection_rules &rules)
    : ServerSocket(new connection_listener(rules), true)
{
}

accepted_connection &connectionOf(const Poco::Net::StreamSocket &socket)
{
    return dynamic_cast<accepted_connection &>(*socket.impl());
}

} // namespace vetchpost
