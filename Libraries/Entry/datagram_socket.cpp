// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/datagram_socket.h"

#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <vector>

namespace vetchpost {

struct datagram_socket::private_data
{
    Poco::Net::DatagramSocket socket;
    std::vector<char> buffer;
};

datagram_socket::datagram_socket(std::size_t receiveBufferSize)
    : d(std::make_unique<private_data>())
{
    d->buffer.resize(receiveBufferSize);
}

datagram_socket::~datagram_socket() = default;

void datagram_socket::bind(const endpoint &address)
{
    d->socket.bind(Poco::Net::SocketAddress(address.host, address.port), true);
}

std::optional<received_datagram> datagram_socket::receive(duration time, std::optional<reason> &lastReason)
{
    try {
        if (!d->socket.poll(timespanOf(time), Poco::Net::Socket::SELECT_READ)) {
            return std::nullopt;
        }
        Poco::Net::SocketAddress from;
        const auto size = d->socket.receiveFrom(d->buffer.data(), static_cast<int>(d->buffer.size()), from);
        return received_datagram{{from.host().toString(), from.port()}, {d->buffer.data(), static_cast<std::size_t>(std::max(0, size))}};
    } catch (const Poco::Exception &error) {
        // A datagram sent to a daemon that has ended causes an error here. It does not concern later datagrams.
        lastReason = {error_kind::backend_lost, error.displayText()};
        return std::nullopt;
    }
}

bool datagram_socket::send(const endpoint &to, std::string_view bytes, reason &lastReason)
{
    try {
        d->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
        return true;
    } catch (const Poco::Exception &error) {
        lastReason = {error_kind::backend_unreachable, error.displayText()};
        return false;
    }
}

} // namespace vetchpost
