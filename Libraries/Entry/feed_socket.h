// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Feed/feed_publisher.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace vetchpost {

/// The datagrams of the feed: counts them, and logs those that could not be sent or received. One thread receives, any may send.
class feed_socket
{
public:
    explicit feed_socket(metrics &counters);
    ~feed_socket();
    feed_socket(const feed_socket &) = delete;
    feed_socket &operator=(const feed_socket &) = delete;

    /// Throws where the address cannot be had.
    void bind(const endpoint &address);
    /// Nothing where none came in time, or none that is a message.
    std::optional<std::pair<endpoint, feed_message>> receive(duration time);
    void send(const feed_datagram &datagram);
    void sendAll(const std::vector<feed_datagram> &datagrams);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
