// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/end_detecting_socket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

#include <cerrno>

namespace vetchpost {

namespace {

/// Used on the connection's thread only.
class end_detecting_connection : public Poco::Net::StreamSocketImpl
{
public:
    explicit end_detecting_connection(poco_socket_t descriptor)
        : StreamSocketImpl(descriptor)
    {
    }

    using StreamSocketImpl::receiveBytes;

    int receiveBytes(void *buffer, int length, int flags) override
    {
        try {
            const auto count = StreamSocketImpl::receiveBytes(buffer, length, flags);
            hasMetEnd = hasMetEnd || count <= 0;
            return count;
        } catch (const Poco::Exception &) {
            hasMetEnd = true;
            throw;
        }
    }

    bool hasMetEnd = false;
};

class end_detecting_listener : public Poco::Net::ServerSocketImpl
{
public:
    Poco::Net::SocketImpl *acceptConnection(Poco::Net::SocketAddress &client) override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        int descriptor = -1;
        do {
            descriptor = accept(sockfd(), reinterpret_cast<sockaddr *>(&address), &length);
        } while (descriptor < 0 && errno == EINTR);
        if (descriptor < 0) {
            error();
        }
        client = Poco::Net::SocketAddress(reinterpret_cast<sockaddr *>(&address), length);
        return new end_detecting_connection(descriptor);
    }
};

end_detecting_connection &connectionOf(const Poco::Net::StreamSocket &connection)
{
    return dynamic_cast<end_detecting_connection &>(*connection.impl());
}

} // namespace

end_detecting_server_socket::end_detecting_server_socket()
    : ServerSocket(new end_detecting_listener, true)
{
}

bool hasMetEnd(const Poco::Net::StreamSocket &connection)
{
    return connectionOf(connection).hasMetEnd;
}

void forgetEnd(Poco::Net::StreamSocket &connection)
{
    connectionOf(connection).hasMetEnd = false;
}

} // namespace vetchpost
