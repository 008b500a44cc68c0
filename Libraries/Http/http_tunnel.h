// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Libraries/Http/tcp_connection.h"

#include <optional>

namespace vetchpost {

/// The answer of a proxy that did not open a tunnel.
struct tunnel_refusal
{
    /// 0 if the proxy was not reached or did not answer.
    int status = 0;
    std::vector<http_header> headers;
};

/// Asks an HTTP proxy by the method CONNECT for a tunnel to \a target, and returns the connection, on which bytes are passed on from then
/// on. \a call names the proxy, the timeouts of the connection and of the answer, and the headers. Returns nothing if there is no tunnel,
/// and sets \a refusal and \a lastReason.
std::optional<tcp_connection> openTunnel(const http_call &call, const std::string &target, tunnel_refusal &refusal, reason &lastReason);

} // namespace vetchpost
