// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Http/http_message.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost::test {

/// How an exchange of a request and its answer ended.
enum class answer_end { whole, broken, not_sent, abandoned };

/// The answer that a client received, as far as it came.
struct client_answer
{
    answer_end end = answer_end::not_sent;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    instant sentAt;
    /// Bytes arrived that belong to no answer.
    bool hasSurplus = false;
};

/// A client's persistent HTTP/1.1 connection, for one request at a time. It never resends a request.
class client_connection
{
public:
    explicit client_connection(const endpoint &daemon);
    ~client_connection();
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /// Sends a request and reads the answer. The answer counts as broken when no byte arrives for \a maxSilence. Closes the connection
    /// early when \a shouldAbandon returns true for the body received so far.
    client_answer exchange(const std::string &request, duration maxSilence, const std::function<bool(const std::string &)> &shouldAbandon);
    /// Sends a part of a request and closes the connection. Returns when it was sent.
    instant sendAndClose(const std::string &part);
    /// Returns whether another request may be sent on this connection.
    bool isOpen() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
