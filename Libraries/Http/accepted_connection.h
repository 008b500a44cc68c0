// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace vetchpost {

/// A server socket whose connections tell when nothing more could be read from them. POCO's streams take the end of a connection, and a
/// read that fails, for the end of what they read. Waiting on such a connection opens no descriptor.
class accepting_socket : public Poco::Net::ServerSocket
{
public:
    accepting_socket();
};

/// Whether a read from an accepted connection has met its end or has failed, since the last call of forgetEnd().
bool hasMetEnd(const Poco::Net::StreamSocket &connection);
void forgetEnd(Poco::Net::StreamSocket &connection);

} // namespace vetchpost
