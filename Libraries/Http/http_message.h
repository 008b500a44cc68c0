// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <string>
#include <string_view>
#include <vector>

namespace vetchpost {

struct http_header
{
    std::string name;
    std::string value;
};

/// The largest response to an order or a probe, in bytes. Many are received at once.
constexpr std::size_t maximumReportSize = 65536;

/// An HTTP request to another process.
struct http_call
{
    endpoint to;
    std::string method = "GET";
    /// The path, including the query.
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    /// Sent in place of \a body if that is empty. Must outlive the sending, and saves the copy of a large body.
    std::string_view borrowedBody = {};
    duration connectTimeout{1000};
    /// Timeout of a single send on the socket, and of the head of the response. Its body may take four times as long.
    duration receiveTimeout{5000};
    /// In bytes; a larger response is an error.
    std::size_t maximumReplySize = 4U << 20U;

    std::string_view sentBody() const
    {
        return body.empty() ? borrowedBody : std::string_view(body);
    }
};

constexpr bool isSuccessStatus(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int afterSuccess = 300;
    return status >= firstSuccess && status < afterSuccess;
}

/// A complete HTTP response.
struct http_reply
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    bool isSuccess() const
    {
        return isSuccessStatus(status);
    }

    /// The value of the first header with that name (case-insensitive); empty if there is none.
    std::string header(std::string_view name) const;
};

/// The value of the first header with that name (case-insensitive); empty if there is none.
std::string headerValue(const std::vector<http_header> &headers, std::string_view name);

} // namespace vetchpost
