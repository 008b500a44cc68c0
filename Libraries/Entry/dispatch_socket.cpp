// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatch_socket.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/datagram_socket.h"

namespace vetchpost {

namespace {

constexpr event_log dispatchLog("dispatch");
/// Longer than any valid datagram, so that one that was cut is recognised by its length.
constexpr std::size_t receiveBufferSize = 2 * maxSlotDatagram;

} // namespace

struct dispatch_socket::private_data
{
    datagram_socket socket{receiveBufferSize};
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
    d->socket.bind(address);
}

std::optional<std::pair<endpoint, slot_message>> dispatch_socket::receive(duration time)
{
    std::optional<reason> failure;
    const auto datagram = d->socket.receive(time, failure);
    if (failure) {
        dispatchLog.write("slot_receive_failed", {{"why", failure->text}});
    }
    if (!datagram) {
        return std::nullopt;
    }
    d->received.increment();
    auto message = decodeSlotMessage(datagram->bytes);
    if (message) {
        return std::pair(datagram->from, std::move(*message));
    }
    d->unreadable.increment();
    dispatchLog.write("datagram_unreadable", {{"from", datagram->from.text()}, {"bytes", datagram->bytes.size()}});
    return std::nullopt;
}

bool dispatch_socket::send(const endpoint &to, const slot_message &message)
{
    const auto bytes = encodeSlotMessage(message);
    if (!bytes) {
        dispatchLog.write("slot_send_failed", {{"to", to.text()}, {"why", "the message is too large"}});
        return false;
    }
    reason why;
    if (!d->socket.send(to, *bytes, why)) {
        dispatchLog.write("slot_send_failed", {{"to", to.text()}, {"why", why.text}});
        return false;
    }
    d->sent.increment();
    d->sentBytes.increment(static_cast<double>(bytes->size()));
    return true;
}

} // namespace vetchpost
