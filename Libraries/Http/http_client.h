// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Libraries/Http/tcp_connection.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// Sends one request on a new connection and reads the whole response. The request is never sent twice.
/// Returns nothing on an error and sets \a lastReason: backend_unreachable if the connection failed, so that the request was not sent,
/// otherwise backend_lost, backend_truncated or deadline_exceeded.
std::optional<http_reply> sendOnFreshConnection(const http_call &call, reason &lastReason);
/// Sends one request on an established connection, which is closed afterwards, and reads the whole response. The errors are those of
/// sendOnFreshConnection() without backend_unreachable.
std::optional<http_reply> sendOn(const tcp_connection &connection, const http_call &call, reason &lastReason);

/// Pool of keep-alive connections. Use it only for idempotent requests: if the peer closed a connection while it was idle, the request is
/// sent again. Thread-safe.
class http_connection_pool
{
public:
    http_connection_pool();
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool &) = delete;
    http_connection_pool &operator=(const http_connection_pool &) = delete;

    /// Sends a request and reads the whole response, with the same errors as sendOnFreshConnection(). If a pooled connection is lost, the
    /// request is sent once more, on a new connection.
    std::optional<http_reply> send(const http_call &call, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Outcome of waiting for the next line of a streamed response.
enum class stream_event {
    line,
    /// The response is complete.
    end,
    /// The connection was lost, or the response ended inside a line.
    lost,
    timeout,
    /// The client for which the response is read has disconnected.
    caller_left
};

/// A streamed response that is read line by line on its own connection.
class http_stream
{
public:
    http_stream();
    ~http_stream();
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// Sends a request, reads the head of the response and returns its status. Returns nothing on an error and sets \a lastReason:
    /// backend_unreachable if the connection failed, otherwise backend_lost or deadline_exceeded.
    std::optional<int> open(const http_call &call, reason &lastReason);
    /// Waits until \a deadline for one line and stores it in \a line without its line end. Also watches \a clientSocket, unless it is
    /// negative, and returns caller_left once its peer has closed the connection.
    stream_event nextLine(std::string &line, instant deadline, int clientSocket);
    /// The headers of the response.
    const std::vector<http_header> &headers() const;
    /// Reads the rest of the response; nothing if it was truncated or is larger than \a limit bytes.
    std::optional<std::string> readRest(std::size_t limit);
    /// Closes the connection.
    void close();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
