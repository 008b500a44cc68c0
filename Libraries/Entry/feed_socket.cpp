// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/feed_socket.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace vetchpost {

namespace {

constexpr event_log feedLog("feed");
constexpr std::size_t largestDatagram = 65536;

endpoint endpointOf(const Poco::Net::SocketAddress &address)
{
    return {address.host().toString(), address.port()};
}

} // namespace

struct feed_socket::private_data
{
    Poco::Net::DatagramSocket socket;
    std::vector<char> buffer = std::vector<char>(largestDatagram);
    counter sent;
    counter received;
    counter unreadable;

    explicit private_data(metrics &counters)
        : sent(counters.addCounter("vetchpost_feed_datagrams_sent_total", "Datagrams sent to other daemons."))
        , received(counters.addCounter("vetchpost_feed_datagrams_received_total", "Datagrams received from other daemons."))
        , unreadable(counters.addCounter("vetchpost_feed_datagrams_unreadable_total", "Received datagrams that could not be decoded."))
    {
    }

    void sendBytes(const endpoint &to, const std::string &bytes)
    {
        try {
            socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
            sent.increment();
        } catch (const Poco::Exception &error) {
            feedLog.write("send_failed", {{"to", to.text()}, {"why", error.displayText()}});
        }
    }
};

feed_socket::feed_socket(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

feed_socket::~feed_socket() = default;

void feed_socket::bind(const endpoint &address)
{
    d->socket.bind(Poco::Net::SocketAddress(address.host, address.port), true);
}

std::optional<std::pair<endpoint, feed_message>> feed_socket::receive(duration time)
{
    try {
        if (!d->socket.poll(timespanOf(time), Poco::Net::Socket::SELECT_READ)) {
            return std::nullopt;
        }
        Poco::Net::SocketAddress from;
        const auto size = d->socket.receiveFrom(d->buffer.data(), static_cast<int>(d->buffer.size()), from);
        d->received.increment();
        auto message = decodeFeedMessage({d->buffer.data(), static_cast<std::size_t>(std::max(0, size))});
        if (message) {
            return std::pair(endpointOf(from), std::move(*message));
        }
        d->unreadable.increment();
    } catch (const Poco::Exception &error) {
        // A datagram sent to a daemon that has ended causes an error here. It does not concern later datagrams.
        feedLog.write("receive_failed", {{"why", error.displayText()}});
    }
    return std::nullopt;
}

void feed_socket::send(const feed_datagram &datagram)
{
    const auto bytes = encodeFeedMessage(datagram.message);
    for (const auto &to : datagram.to) {
        d->sendBytes(to, bytes);
    }
}

void feed_socket::sendAll(const std::vector<feed_datagram> &datagrams)
{
    std::for_each(datagrams.begin(), datagrams.end(), [this](const feed_datagram &datagram) { send(datagram); });
}

} // namespace vetchpost
