// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/feed_socket.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/datagram_socket.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr event_log feedLog("feed");
constexpr std::size_t largestDatagram = 65536;

} // namespace

struct feed_socket::private_data
{
    datagram_socket socket{largestDatagram};
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
        reason why;
        if (socket.send(to, bytes, why)) {
            sent.increment();
        } else {
            feedLog.write("send_failed", {{"to", to.text()}, {"why", why.text}});
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
    d->socket.bind(address);
}

std::optional<std::pair<endpoint, feed_message>> feed_socket::receive(duration time)
{
    std::optional<reason> failure;
    const auto datagram = d->socket.receive(time, failure);
    if (failure) {
        feedLog.write("receive_failed", {{"why", failure->text}});
    }
    if (!datagram) {
        return std::nullopt;
    }
    d->received.increment();
    auto message = decodeFeedMessage(datagram->bytes);
    if (message) {
        return std::pair(datagram->from, std::move(*message));
    }
    d->unreadable.increment();
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
