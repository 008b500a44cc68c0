// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/tcp_connection.h"

#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace vetchpost {

std::optional<tcp_connection> connectTo(const endpoint &to, duration timeout, connect_failure &failure, reason &lastReason)
{
    const auto fail = [&](connect_failure kind, const Poco::Exception &error) {
        failure = kind;
        lastReason = {error_kind::backend_unreachable, "cannot connect to " + to.text() + ": " + error.displayText()};
        return std::nullopt;
    };
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(to.host, to.port), timespanOf(timeout));
        socket.setNoDelay(true);
        return tcp_connection(socket);
    } catch (const Poco::Net::ConnectionRefusedException &error) {
        return fail(connect_failure::refused, error);
    } catch (const Poco::Exception &error) {
        return fail(connect_failure::unreachable, error);
    }
}

} // namespace vetchpost
