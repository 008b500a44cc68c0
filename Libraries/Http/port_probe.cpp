// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/port_probe.h"

#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace vetchpost {

port_probe_result probePort(const endpoint &address, duration timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), timespanOf(timeout));
        return port_probe_result::accepts;
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return port_probe_result::refuses;
    } catch (const Poco::Exception &) {
        // The kind of failure does not matter: whether the process runs is unknown.
        return port_probe_result::silent;
    }
}

} // namespace vetchpost
