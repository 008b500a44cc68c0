// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Http/connection_eviction.h"
#include "Libraries/Http/head_limits.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>

namespace vetchpost {

/// What applies to all connections of one server.
struct connection_rules
{
    std::shared_ptr<const head_limits> heads;
    /// Called from time to time while a connection waits for its client to finish a request. Closes connections if others need a place.
    std::function<void()> makeRoom;
};

/// Why the head of a request was not read to its end.
enum class head_problem {
    /// The connection has ended or failed.
    ended,
    too_large,
    too_slow,
    /// Another connection needed the place of this one.
    interrupted
};

/// The server's side of a client's connection. POCO's streams take the end of a connection, and a read that fails, for the end of what they
/// read; this class tells them apart, limits heads as a whole, and can be interrupted while it waits for the client. Used on the thread of
/// the connection unless stated otherwise.
class accepted_connection : public Poco::Net::StreamSocketImpl
{
public:
    /// \a rules must outlive the connection.
    accepted_connection(poco_socket_t descriptor, const connection_rules &rules);

    using StreamSocketImpl::receiveBytes;
    /// Returns 0 if the head that is being read has exceeded its limits, or the connection was interrupted.
    int receiveBytes(void *buffer, int length, int flags) override;
    /// Opens no descriptor, unlike POCO's own, which opens one for as long as it waits.
    bool poll(const Poco::Timespan &timeout, int mode) override;
    void close() override;

    /// Whether a read has met the end of the connection, has failed or exceeded a limit since the last request.
    bool hasMetEnd() const;
    head_problem headProblem() const;
    /// Begins a phase of the current request. Returns false, once the connection was interrupted.
    bool enter(connection_phase phase);
    /// Ends the current request and waits for the next one.
    void endRequest();
    /// The client has not sent the whole request: the close waits for the rest of it, for a short time, since a close with unread bytes
    /// resets the connection and the client may lose the response.
    void discardRestOnClose();

    /// On any thread: what the connection is doing.
    connection_state state(instant now) const;
    /// On any thread: ends the wait for the client to make room for another connection. Returns false if the connection does not wait.
    bool interrupt();
    /// On any thread.
    bool isInterrupted() const;

private:
    bool isAwaitingRequest() const;
    bool waitForHead();
    void beginPhase(connection_phase phase);
    void discardRest();

    const connection_rules &m_rules;
    instant m_headDeadline;
    std::size_t m_headSize = 0;
    bool m_hasMetEnd = false;
    bool m_mustDiscardRest = false;
    head_problem m_headProblem = head_problem::ended;

    mutable std::mutex m_mutex;
    // Written under the mutex; atomic since poll() is also called on other threads.
    std::atomic<connection_phase> m_phase = connection_phase::idle;
    std::atomic<bool> m_hasServed = false;
    instant m_since = monotonicNow();
    std::atomic<bool> m_isInterrupted = false;
};

/// A server socket that accepts such connections.
class accepting_socket : public Poco::Net::ServerSocket
{
public:
    explicit accepting_socket(const connection_rules &rules);
};

/// The connection of a socket that an accepting_socket has accepted.
accepted_connection &connectionOf(const Poco::Net::StreamSocket &socket);

} // namespace vetchpost
