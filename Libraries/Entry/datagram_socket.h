// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/instant.h"

#include <memory>
#include <optional>
#include <string_view>

namespace vetchpost {

/// A datagram that was received. Its bytes are valid until the next call of datagram_socket::receive().
struct received_datagram
{
    endpoint from;
    std::string_view bytes;
};

/// Sends and receives datagrams. One thread may receive; any may send.
class datagram_socket
{
public:
    /// Longer datagrams than \a receiveBufferSize bytes are cut to that size when they are received.
    explicit datagram_socket(std::size_t receiveBufferSize);
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Throws if the address cannot be bound.
    void bind(const endpoint &address);
    /// Waits up to \a time for a datagram. Returns nothing on timeout, and on a failure, for which it sets \a lastReason to backend_lost.
    std::optional<received_datagram> receive(duration time, std::optional<reason> &lastReason);
    /// Returns false if the datagram was not sent, and sets \a lastReason to backend_unreachable.
    bool send(const endpoint &to, std::string_view bytes, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
