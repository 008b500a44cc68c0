// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>
#include <string>
#include <vector>

namespace vetchpost::test {

/// A coordinator that sends only what a test makes it send.
class scripted_coordinator
{
public:
    scripted_coordinator()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
    }

    std::string address() const
    {
        return m_socket.address().toString();
    }

    /// Waits until the daemon follows it.
    bool isFollowed()
    {
        std::array<char, 2048> bytes{};
        constexpr int patienceSeconds = 5;
        return m_socket.poll(Poco::Timespan(patienceSeconds, 0), Poco::Net::Socket::SELECT_READ)
            && m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0;
    }

    /// Sends a warning that the group with this head has probably stalled.
    void sendStallWarning(const std::string &head, const endpoint &to)
    {
        send(group_stall_warning{instance_id(head)}, to);
    }

    /// Names the dispatchers of the model that the fixture's groups serve.
    void nameDispatchers(const std::vector<named_dispatcher> &dispatchers, const endpoint &to)
    {
        feed_update update;
        update.dispatchers = {{{service_id("large"), model_id("m"), dispatchers}}};
        send(update, to);
    }

private:
    void send(const feed_message &message, const endpoint &to)
    {
        const auto bytes = encodeFeedMessage(message);
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
    }

    Poco::Net::DatagramSocket m_socket;
};

} // namespace vetchpost::test
