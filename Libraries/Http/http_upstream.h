// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Libraries/Http/tcp_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// Outcome of waiting on an upstream connection.
enum class upstream_event {
    /// Bytes have arrived.
    data,
    /// The body is complete.
    end,
    /// The connection was lost, or the received bytes are not a valid body.
    lost,
    timeout,
    /// The client for which the request is sent has disconnected.
    caller_left
};

/// The status line and the headers of a response.
struct upstream_head
{
    int status = 0;
    std::string reasonPhrase;
    std::vector<http_header> headers;
};

/// Sends one request on its own connection and reads the response piece by piece, while it watches the client's socket for a disconnect.
/// The request is never sent twice.
class http_upstream
{
public:
    http_upstream();
    ~http_upstream();
    http_upstream(const http_upstream &) = delete;
    http_upstream &operator=(const http_upstream &) = delete;
    http_upstream(http_upstream &&other) noexcept;
    http_upstream &operator=(http_upstream &&other) noexcept;

    /// Connects and sends the request. Returns false on an error and sets \a lastReason: backend_unreachable if nothing was sent, otherwise
    /// backend_lost.
    bool send(const http_call &call, reason &lastReason);
    /// Sends the request on an established connection. Returns false on an error and sets \a lastReason to backend_lost.
    bool send(const tcp_connection &connection, const http_call &call, reason &lastReason);
    /// Waits until \a deadline for the head of the response, or until it is known to be invalid. Bytes that do not complete it count as
    /// nothing, and it must be complete within two seconds after its first byte. After readHead(), waits for bytes of the body. Also
    /// watches \a clientSocket, unless it is negative, and returns caller_left once its peer has closed the connection.
    upstream_event waitForAnswer(instant deadline, int clientSocket);
    /// Returns the head of the response, which waitForAnswer() or upstream_pair has waited for. Returns nothing and sets \a lastReason to
    /// backend_lost if the head is invalid or incomplete.
    std::optional<upstream_head> readHead(reason &lastReason);
    /// Waits until \a deadline for bytes of the body and stores them in \a piece. \a clientSocket is watched as by waitForAnswer().
    upstream_event nextPiece(std::string &piece, instant deadline, int clientSocket);
    /// Whether the body has neither a length nor chunks, so that the end of the connection is its only end.
    bool endsWithConnection() const;
    /// Closes the connection immediately.
    void close();
    /// Whether the connection is open.
    bool isOpen() const;

private:
    friend class upstream_pair;
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Which of two upstream connections has bytes or was closed by its peer.
struct upstream_pair_event
{
    bool isFirstReady = false;
    bool isSecondReady = false;
    /// The client for which the requests are sent has disconnected.
    bool hasCallerLeft = false;
};

/// Waits on two upstream connections at once.
class upstream_pair
{
public:
    upstream_pair(const http_upstream &first, const http_upstream &second);
    /// Waits until \a deadline for bytes on a connection that is open. Also watches \a clientSocket, unless it is negative. All flags are
    /// false after a timeout.
    upstream_pair_event wait(instant deadline, int clientSocket) const;

private:
    const http_upstream &m_first;
    const http_upstream &m_second;
};

} // namespace vetchpost
