// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <Poco/Net/StreamSocket.h>

namespace vetchpost {

/// Passes bytes on between two sockets, until one of them is closed or reset, or until \a deadline. If the server closes its connection,
/// the sending side of the client's is shut down, and the function waits until the client has closed it. Returns true if a side has closed
/// its connection, false if it was reset or the time is over.
bool splice(Poco::Net::StreamSocket &client, Poco::Net::StreamSocket server, instant deadline);

} // namespace vetchpost
