// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/accepted_connection.h"

#include "Libraries/Base/instant.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace vetchpost {

namespace {

/// Used on the connection's thread only.
class accepted_connection : public Poco::Net::StreamSocketImpl
{
public:
    explicit accepted_connection(poco_socket_t descriptor)
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

    /// POCO's own poll opens an epoll descriptor for each call, which stays open while a thread waits.
    bool poll(const Poco::Timespan &timeout, int mode) override
    {
        const auto deadline = monotonicNow() + duration(timeout.totalMilliseconds());
        pollfd waited{sockfd(), 0, 0};
        waited.events |= (mode & Poco::Net::Socket::SELECT_READ) != 0 ? POLLIN : 0;
        waited.events |= (mode & Poco::Net::Socket::SELECT_WRITE) != 0 ? POLLOUT : 0;
        for (;;) {
            const auto left = std::max(duration(), deadline - monotonicNow());
            const auto ready = ::poll(&waited, 1, static_cast<int>(left.count()));
            if (ready >= 0) {
                return ready > 0;
            }
            if (errno != EINTR) {
                error();
            }
        }
    }

    bool hasMetEnd = false;
};

class connection_listener : public Poco::Net::ServerSocketImpl
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
        return new accepted_connection(descriptor);
    }
};

accepted_connection &connectionOf(const Poco::Net::StreamSocket &connection)
{
    return dynamic_cast<accepted_connection &>(*connection.impl());
}

} // namespace

accepting_socket::accepting_socket()
    : ServerSocket(new connection_listener, true)
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
