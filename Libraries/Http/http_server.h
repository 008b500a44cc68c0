// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/body_memory.h"
#include "Libraries/Http/head_limits.h"
#include "Libraries/Http/http_message.h"
#include "Libraries/Http/tcp_connection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// A request that is being handled, and its response. It may be used only on the thread of its connection.
class http_exchange
{
public:
    struct private_data;
    explicit http_exchange(private_data &data);

    const std::string &method() const;
    /// The path without the query.
    const std::string &path() const;
    /// The path and the query as received.
    const std::string &target() const;
    /// The query as received, without the question mark.
    std::string query() const;
    /// The value of a query parameter; empty if there is none.
    std::string queryParameter(std::string_view name) const;
    /// The number of this request on its connection, from 1.
    int number() const;
    /// The value of a header; empty if there is none.
    std::string header(const std::string &name) const;
    /// All headers of the request.
    std::vector<http_header> headers() const;
    /// Reads the whole body. Returns nothing and sets \a lastReason to body_too_large if it has more than \a limit bytes, to slow_sender if
    /// it does not arrive within \a timeout, to overloaded if the process has no memory for it, or to malformed_request if the connection
    /// ends before it or its framing is invalid. The connection is then closed after the response, as it is if a handler does not read a
    /// body. The body counts as held until the handler returns. Before more of it is kept than every request may have, \a isAdmitted
    /// is called, unless it is empty; it returns false if the handler has refused the request, and nothing more is read then.
    std::optional<std::string>
    readBody(std::size_t limit, duration timeout, reason &lastReason, const std::function<bool()> &isAdmitted = {});

    /// Sets a header of the response. Must be called before the response begins.
    void setHeader(const std::string &name, const std::string &value);
    /// Sends a complete response.
    void send(int status, const std::string &contentType, const std::string &body);
    /// Sends the error response for \a why, which states whether the request ran and, for error kinds that have one, the retry-after time.
    /// \a retryAfterOverride replaces the default retry-after time of such an error kind and is sent with fractions of a second.
    void sendError(const reason &why, const std::string &requestId = {}, std::optional<duration> retryAfterOverride = std::nullopt);
    /// Begins a response with the given status line and headers. Without a length in bytes, the body uses chunked encoding. Unless
    /// completeAnswer() is called, the response is truncated visibly once the handler returns.
    void
    beginAnswer(int status, const std::string &reasonPhrase, const std::vector<http_header> &headers, std::optional<std::size_t> length);
    /// Closes the connection after this response.
    void closeAfterResponse();
    /// Begins a streamed response with chunked encoding, to be completed as with beginAnswer().
    void beginStream(int status, const std::string &contentType);
    /// Sends a part of the body immediately; false once the client has disconnected. The response must have begun.
    bool write(std::string_view piece);
    /// Ends a response that was begun and whose body has been written completely.
    void completeAnswer();
    /// Answers a CONNECT request with a success and passes bytes on between the client and \a server, until one of them closes its
    /// connection, or until \a deadline. The client sees a connection that is closed if the server closed it, and one that is reset if the
    /// server reset it or this process ends.
    void tunnelTo(const tcp_connection &server, instant deadline);
    /// Closes the connection without the end of the body, so that the client can detect that the response is truncated.
    void abort();
    /// Whether the response has begun.
    bool hasBegun() const;
    /// The client's socket, which can be polled to detect that the client disconnects. -1 if the server has shut down its receiving side,
    /// because that looks the same as a disconnect.
    int socketDescriptor() const;

private:
    void closeUnlessBodyRead();

    private_data &d;
};

struct http_server_limits
{
    int maximumThreads = 64;
    /// Accepted connections that wait for a thread.
    int maximumQueued = 64;
    /// Requests per second that the server can handle; 0 for no limit. New connections beyond it are closed unread, so that their clients
    /// can turn to another server at once. Requests on open connections are always handled.
    double requestsPerSecond = 0;
    std::size_t threadStackBytes = 256U * 1024U;
    duration requestTimeout{10000};
    duration keepAliveTimeout{8000};
    /// Empty for limits that stay as they are by default.
    std::shared_ptr<const head_limits> heads;
    /// Bounds the bodies of this server's requests together with those of other servers that share it. Empty for a bound of its own.
    std::shared_ptr<body_memory> bodies;
};

/// HTTP server that calls one handler for every request. Each connection has its own thread. If almost all threads are in use, connections
/// that wait for their clients are closed for new ones, first those that have sent no whole request for longest.
class http_server
{
public:
    using handler = std::function<void(http_exchange &)>;

    /// Binds the address and starts to accept connections. Throws Poco::Net::NetException if the address cannot be bound.
    http_server(const endpoint &address, const http_server_limits &limits, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Stops accepting connections; open connections are still served.
    void stopAccepting();
    /// Shuts down gracefully: stops accepting, closes idle connections immediately and every other connection after its current request.
    /// Returns once all connections are closed. Requests that have not arrived by then are not read.
    void finish();
    /// The number of requests that are being handled.
    int activeRequests() const;
    /// The number of open connections, including idle ones.
    int openConnections() const;
    /// The number of connections that were closed unread because of http_server_limits::requestsPerSecond.
    std::uint64_t connectionsClosedUnread() const;
    /// The number of connections that were closed to make room for new ones.
    std::uint64_t connectionsInterrupted() const;
    /// The number of requests whose head did not arrive completely within its limits. They are refused and not handled.
    std::uint64_t incompleteHeads() const;
    /// Stops accepting, closes all connections immediately and waits for their threads.
    void stopAll();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
