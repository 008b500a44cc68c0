// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// What came of waiting on an upstream connection.
enum class upstream_wait {
    /// Bytes of the body came.
    data,
    /// The body is whole.
    end,
    /// The connection broke off, or what came is no answer.
    lost,
    timeout,
    caller_left
};

struct upstream_head
{
    int status = 0;
    std::string reasonPhrase;
    std::vector<http_header> headers;
};

/// One call on a connection of its own, whose answer is taken piece by piece while the caller's socket is watched. Nothing is sent twice.
class http_upstream
{
public:
    http_upstream();
    ~http_upstream();
    http_upstream(const http_upstream &) = delete;
    http_upstream &operator=(const http_upstream &) = delete;

    /// Connects and sends. Fails with backend_unreachable where nothing was sent, else with backend_lost.
    bool send(const http_call &call, reason &lastReason);
    /// Waits until the answer begins. \a callerSocket, where not negative, is watched too.
    upstream_wait waitForAnswer(instant deadline, int callerSocket);
    /// Reads the answer's head; nothing where it is none.
    std::optional<upstream_head> readHead(reason &lastReason);
    /// Waits for bytes of the body and puts them into \a piece.
    upstream_wait nextPiece(std::string &piece, instant deadline, int callerSocket);
    /// Ends the connection at once.
    void close();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
