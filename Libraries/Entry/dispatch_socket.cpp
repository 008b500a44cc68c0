// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatch_socket.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

constexpr event_log dispatchLog("dispatch");
/// Longer than any valid datagram, so that one that was cut is recognised by its length.
constexpr std::size_t receiveBufferSize = 2 * maxSlotDatagram;

} // namespace

struct dispatch_socket::private_data
{
    Poco::Net::DatagramSocket socket;
    std::array<char, receiveBufferSize> buffer{};
    counter sent;
    counter received;
    counter sentBytes;
    counter unreadable;

    explicit private_data(metrics &counters)
        : sent(counters.addCounter("vetchpost_slot_datagrams_sent_total", "Datagrams of slot dispatch sent to other daemons."))
        , received(counters.addCounter("vetchpost_slot_datagrams_received_total", "Datagrams of slot dispatch received."))
        , sentBytes(counters.addCounter("vetchpost_slot_bytes_sent_total", "Bytes in the datagrams of slot dispatch that were sent."))
        , unreadable(counters.addCounter("vetchpost_slot_datagrams_unreadable_total",
                                         "Received datagrams of slot dispatch that are of another version or invalid."))
    {
    }
};

dispatch_socket::dispatch_socket(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

dispatch_socket::~dispatch_socket() = default;

void dispatch_socket::bind(const endpoint &address)
{
    d->socket.bind(Poco::Net::SocketAddress(address.host, address.port), true);
}

std::optional<std::pair<endpoint, slot_message>> dispatch_socket::receive(duration time)
{
    try {
        if (!d->socket.poll(timespanOf(time), Poco::Net::Socket::SELECT_READ)) {
            return std::nullopt;
        }
        Poco::Net::SocketAddress from;
        const auto size = d->socket.receiveFrom(d->buffer.data(), static_cast<int>(d->buffer.size()), from);
        d->received.increment();
        auto message = decodeSlotMessage({d->buffer.data(), static_cast<std::size_t>(std::max(0, size))});
        if (message) {
            return std::pair(endpoint{from.host().toString(), from.port()}, std::move(*message));
        }
        d->unreadable.increment();
        dispatchLog.write("datagram_unreadable", {{"from", from.toString()}, {"bytes", size}});
    } catch (const Poco::Exception &error) {
        // A datagram sent to a daemon that has ended causes an error here. It does not concern later datagrams.
        dispatchLog.write("slot_receive_failed", {{"why", error.displayText()}});
    }
    return std::nullopt;
}

bool dispatch_socket::send(const endpoint &to, const slot_message &message)
{
    const auto bytes = encodeSlotMessage(message);
    if (!bytes) {
        dispatchLog.write("slot_send_failed", {{"to", to.text()}, {"why", "the message is too large"}});
        return false;
    }
    try {
        d->socket.sendTo(bytes->data(), static_cast<int>(bytes->size()), Poco::Net::SocketAddress(to.host, to.port));
        d->sent.increment();
        d->sentBytes.increment(static_cast<double>(bytes->size()));
        return true;
    } catch (const Poco::Exception &error) {
        dispatchLog.write("slot_send_failed", {{"to", to.text()}, {"why", error.displayText()}});
        return false;
    }
}

} // namespace vetchpost
