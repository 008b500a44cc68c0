// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Feed/feed_publisher.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace vetchpost {

/// Sends and receives the datagrams of the feed. Counts them, and logs failures to send or receive. One thread may receive; any may send.
class feed_socket
{
public:
    explicit feed_socket(metrics &counters);
    ~feed_socket();
    feed_socket(const feed_socket &) = delete;
    feed_socket &operator=(const feed_socket &) = delete;

    /// Throws if the address cannot be bound.
    void bind(const endpoint &address);
    /// Waits up to \a time for a datagram. Returns its sender and message; nothing on timeout, on a failure, or if it is no valid message.
    std::optional<std::pair<endpoint, feed_message>> receive(duration time);
    /// Sends the message to each of the datagram's receivers.
    void send(const feed_datagram &datagram);
    void sendAll(const std::vector<feed_datagram> &datagrams);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
