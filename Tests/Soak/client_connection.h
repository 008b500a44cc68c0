// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Http/http_message.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost::test {

enum class answer_end { whole, broken, not_sent, left };

struct client_answer
{
    answer_end end = answer_end::not_sent;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    instant sentAt;
    /// Bytes came that belong to no answer.
    bool hasSurplus = false;
};

/// A client's connection, kept for many requests. It never sends anything twice.
class client_connection
{
public:
    explicit client_connection(const endpoint &daemon);
    ~client_connection();
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /// Sends a request and reads the answer; gives up after a silence of \a patience. Leaves, closing the connection, once \a leaves says
    /// so of the body that has come.
    client_answer exchange(const std::string &request, duration patience, const std::function<bool(const std::string &)> &leaves);
    /// Whether another request may be sent.
    bool isOpen() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
