// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>

#include <string_view>

namespace vetchpost {

/// How much of a request was written to its connection.
enum class written_request {
    whole,
    /// The connection broke off or stalled before. A response may have arrived nevertheless.
    partial
};

/// Writes a request with its body to the session's connection. Throws Poco::Exception if the session cannot be used.
written_request writeRequest(Poco::Net::HTTPClientSession &session, Poco::Net::HTTPRequest &request, std::string_view body);

} // namespace vetchpost
