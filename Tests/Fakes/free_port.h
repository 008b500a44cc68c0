// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"

#include <Poco/Net/ServerSocket.h>

namespace vetchpost::test {

/// Returns a loopback address whose port was free a moment ago.
inline endpoint freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

} // namespace vetchpost::test
