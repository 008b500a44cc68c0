// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// Sends one call on a connection of its own and reads the whole answer. Nothing is ever sent twice.
/// Fails with backend_unreachable where no byte of the call can have been acted on, else with backend_lost,
/// backend_truncated or deadline_exceeded.
std::optional<http_reply> sendOnFreshConnection(const http_call &call, reason &lastReason);

/// Keeps connections to the peers it calls. Only for calls that may be repeated: a connection that the peer closed
/// while idle leads to a second try. Safe to use from several threads.
class http_connection_pool
{
public:
    http_connection_pool();
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool &) = delete;
    http_connection_pool &operator=(const http_connection_pool &) = delete;

    /// As sendOnFreshConnection(), but may send the call again on a fresh connection where a kept one had been closed.
    std::optional<http_reply> send(const http_call &call, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// What came of waiting for the next line of a streamed answer.
enum class stream_wait { line, end, lost, timeout, caller_left };

/// A streamed answer that is read line by line on a connection of its own.
class http_stream
{
public:
    http_stream();
    ~http_stream();
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// Sends the call and reads the answer's head. Errors as sendOnFreshConnection().
    std::optional<int> open(const http_call &call, reason &lastReason);
    /// Waits for one line, without its line end, until \a deadline. \a callerSocket, where not negative, is watched too:
    /// caller_left is returned once its peer has closed.
    stream_wait nextLine(std::string &line, instant deadline, int callerSocket);
    /// The headers of the answer.
    const std::vector<http_header> &headers() const;
    /// Reads what is left of the answer, up to \a limit bytes; nothing where it broke off or was larger.
    std::optional<std::string> readRest(std::size_t limit);
    /// Passes on the rest of the answer in pieces as they come; false where it broke off, timed out or \a consume
    /// returned false.
    bool forEachPiece(instant deadline, int callerSocket, const std::function<bool(std::string_view)> &consume);
    /// Closes the connection.
    void close();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
