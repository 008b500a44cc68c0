// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/port_probe.h"

#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace vetchpost {

port_answer probePort(const endpoint &address, duration timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), timespanOf(timeout));
        return port_answer::accepts;
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return port_answer::refuses;
    } catch (const Poco::Exception &) {
        // Which way it failed makes no difference: nothing is known of the process.
        return port_answer::silent;
    }
}

} // namespace vetchpost
