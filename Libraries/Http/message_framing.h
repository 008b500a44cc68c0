// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Http/body_framing.h"
#include "Libraries/Http/request_writer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <optional>
#include <string>

namespace vetchpost {

/// Returns the decoder for the body of a request. Returns nothing and sets \a lastReason to malformed_request if the head does not
/// determine unambiguously where the body ends, so that another recipient could find the end elsewhere (RFC 9112, sections 5.1 and 6.3).
std::optional<body_decoder> decoderForRequest(const Poco::Net::HTTPRequest &request, reason &lastReason);

/// Returns the decoder for the body of the response to a request with this method, of which \a written was sent. After a partial one, a
/// body that ends with its connection is broken. Returns nothing and sets \a lastReason to backend_lost if the head does not determine
/// unambiguously where the body ends.
std::optional<body_decoder>
decoderForResponse(const Poco::Net::HTTPResponse &response, const std::string &method, written_request written, reason &lastReason);

} // namespace vetchpost
