// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"

#include <memory>

namespace vetchpost::test {

/// What a proxy does to the connections through it.
enum class link_fault {
    none,
    /// Bytes come late.
    delay,
    /// Open connections are reset, and so are new ones.
    reset,
    /// Nothing comes back from the server; what the client sends arrives.
    cut_answers,
    /// Connections that are open at its begin fall silent for good, both ways; new ones work.
    silence,
    /// A few bytes at a time.
    drip
};

/// A TCP proxy on loopback whose connections can be disturbed. A thread for each connection.
class loopback_proxy
{
public:
    loopback_proxy(const endpoint &listen, const endpoint &server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    void setFault(link_fault fault);
    /// New connections go there from now on.
    void setServer(const endpoint &server);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
