// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Dispatch/slot_messages.h"

#include <memory>
#include <optional>
#include <utility>

namespace vetchpost {

/// Sends and receives the datagrams of slot dispatch. Counts them and their bytes, and logs invalid ones and failures. One thread may
/// receive; any may send.
class dispatch_socket
{
public:
    explicit dispatch_socket(metrics &counters);
    ~dispatch_socket();
    dispatch_socket(const dispatch_socket &) = delete;
    dispatch_socket &operator=(const dispatch_socket &) = delete;

    /// Throws if the address cannot be bound.
    void bind(const endpoint &address);
    /// Waits up to \a time for a datagram. Returns its sender and message; nothing on timeout, on a failure, or if it is no valid message.
    std::optional<std::pair<endpoint, slot_message>> receive(duration time);
    /// Returns false if the message was not sent.
    bool send(const endpoint &to, const slot_message &message);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
