// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"

#include <memory>

namespace vetchpost::test {

/// The fault that a proxy applies to its connections.
enum class link_fault {
    none,
    /// Bytes are forwarded late.
    delay,
    /// Open and new connections are reset.
    reset,
    /// Bytes from the server are held back; bytes from the client are forwarded.
    cut_answers,
    /// Connections that are open when the fault begins forward nothing any more, in either direction; new connections work.
    silence,
    /// Bytes are forwarded a few at a time.
    drip,
    /// A network partition: new connections hang, and open ones forward nothing.
    partition,
    /// A network partition whose ends are told: open connections are reset, and new ones are refused.
    partition_reset,
    /// New connections hang; open ones work.
    hang_new,
    /// New connections are refused; open ones work.
    refuse_new
};

/// A TCP proxy on loopback that can disturb its connections. It uses one thread per connection.
class loopback_proxy
{
public:
    loopback_proxy(const endpoint &listen, const endpoint &server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    /// Applies the fault to all connections, in place of the one before.
    void setFault(link_fault fault);
    /// Directs new connections to \a server; open ones stay as they are.
    void setServer(const endpoint &server);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
