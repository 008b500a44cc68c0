// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace vetchpost {

/// Why a connection could not be established.
enum class connect_failure {
    /// The port refused it: no process listens there.
    refused,
    /// There was no answer in time, or the address cannot be reached.
    unreachable
};

/// A TCP connection without any protocol on it. It is closed with the object.
class tcp_connection
{
public:
    explicit tcp_connection(const Poco::Net::StreamSocket &socket)
        : m_socket(socket)
    {
    }

    const Poco::Net::StreamSocket &socket() const
    {
        return m_socket;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

/// Connects to \a to within \a timeout. Returns nothing and sets \a failure, and \a lastReason to backend_unreachable, if that fails.
std::optional<tcp_connection> connectTo(const endpoint &to, duration timeout, connect_failure &failure, reason &lastReason);

} // namespace vetchpost
