// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// One request that is being answered. Lives on the thread of its connection.
class http_exchange
{
public:
    struct private_data;
    explicit http_exchange(private_data &data);

    const std::string &method() const;
    /// The path without the query.
    const std::string &path() const;
    /// Path and query as they came.
    const std::string &target() const;
    /// The query as it came, without the question mark.
    std::string query() const;
    /// The value of a query parameter; empty where there is none.
    std::string queryParameter(std::string_view name) const;
    /// The value of a header; empty where there is none.
    std::string header(const std::string &name) const;
    /// All headers of the request.
    std::vector<http_header> headers() const;
    /// Reads the body. Fails with body_too_large, slow_sender or malformed_request.
    std::optional<std::string> readBody(std::size_t limit, duration timeout, reason &lastReason);

    /// Sets a header of the answer; before it begins.
    void setHeader(const std::string &name, const std::string &value);
    /// Sends a whole answer.
    void send(int status, const std::string &contentType, const std::string &body);
    /// Sends the answer of one error kind, with whether the request ran and when to come back.
    /// \a comeBackAfter takes the place of the table's time where it is given; fractions of a second are told.
    void sendError(const reason &why, const std::string &requestId = {}, std::optional<duration> comeBackAfter = std::nullopt);
    /// Begins an answer whose head is passed on as it is. Without a length the body goes in chunks.
    void
    beginAnswer(int status, const std::string &reasonPhrase, const std::vector<http_header> &headers, std::optional<std::size_t> length);
    /// The connection ends after this answer.
    void closeAfterwards();
    /// Begins a streamed answer.
    void beginStream(int status, const std::string &contentType);
    /// Sends one piece at once; false once the caller has gone.
    bool write(std::string_view piece);
    /// Ends the connection without the end marker, so that the caller sees that the answer broke off.
    void abort();
    /// Whether the answer has begun.
    bool hasBegun() const;
    /// The socket of the caller, to watch for its leaving; -1 where the server itself has stopped reading from it, which looks the same.
    int socketDescriptor() const;

private:
    private_data &d;
};

struct http_server_limits
{
    int maximumThreads = 64;
    int maximumQueued = 64;
    std::size_t threadStackBytes = 256U * 1024U;
    duration requestTimeout{10000};
    duration keepAliveTimeout{8000};
};

/// A listener that calls one handler for every request, each connection on a thread of its own.
class http_server
{
public:
    using handler = std::function<void(http_exchange &)>;

    /// Binds at once. Throws Poco::Net::NetException where the address cannot be bound.
    http_server(const endpoint &address, const http_server_limits &limits, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Stops accepting connections; those that are open go on.
    void stopAccepting();
    /// Stops accepting, closes all idle connections at once, and lets each other one answer the request at hand before it closes. Returns
    /// once all have; a request that was not read yet is not read any more.
    void finish();
    /// Requests that are being answered at this moment.
    int activeRequests() const;
    /// Connections that are open at this moment, idle ones too.
    int openConnections() const;
    /// Ends all connections and their threads.
    void stopAll();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
