// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <string>

namespace vetchpost::test {

/// Receives until the peer closes the connection. Ends with "[open]" if it does not within the socket's receive timeout.
inline std::string receiveUntilClosed(Poco::Net::StreamSocket &socket)
{
    std::string text;
    std::array<char, 4096> bytes{};
    try {
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            text.append(bytes.data(), static_cast<std::size_t>(std::max(0, count)));
        }
    } catch (const Poco::TimeoutException &) {
        text += "[open]";
    } catch (const Poco::Exception &) {
        // A reset closes the connection as well.
        return text;
    }
    return text;
}

/// A client's connection on which any bytes can be sent.
class raw_client
{
public:
    explicit raw_client(const endpoint &daemon)
        : m_socket(Poco::Net::SocketAddress(daemon.host, daemon.port))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(3, 0));
    }

    void send(const std::string &text)
    {
        m_socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    void shutdownSend()
    {
        m_socket.shutdownSend();
    }

    /// Closes the connection, with a reset.
    void reset()
    {
        m_socket.setLinger(true, 0);
        m_socket.close();
    }

    std::string receiveAll()
    {
        return receiveUntilClosed(m_socket);
    }

private:
    Poco::Net::StreamSocket m_socket;
};

} // namespace vetchpost::test
