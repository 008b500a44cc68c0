// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <string>
#include <vector>

namespace vetchpost {

struct http_header
{
    std::string name;
    std::string value;
};

/// One call to another process.
struct http_call
{
    endpoint to;
    std::string method = "GET";
    /// The path with the query.
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    duration connectTimeout{1000};
    /// How long the peer may be silent.
    duration receiveTimeout{5000};
    std::size_t maximumReplySize = 4U << 20U;
};

constexpr bool isSuccessStatus(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int afterSuccess = 300;
    return status >= firstSuccess && status < afterSuccess;
}

/// The whole answer to a call.
struct http_reply
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    bool isSuccess() const
    {
        return isSuccessStatus(status);
    }

    /// The first header of that name, compared without case; empty where there is none.
    std::string header(std::string_view name) const;
};

/// The first header of that name, compared without case; empty where there is none.
std::string headerValue(const std::vector<http_header> &headers, std::string_view name);

} // namespace vetchpost
