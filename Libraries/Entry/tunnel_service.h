// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/daemon_admission.h"
#include "Libraries/Entry/replica_paths.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Http/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace vetchpost {

/// Carries tunnels to replicas for daemons that cannot reach these themselves. Connects to replicas directly only, never through a third
/// daemon. Thread-safe.
class tunnel_service
{
public:
    /// \a own is the address at which the requests arrive, \a key returns the key that the daemons of the system share.
    tunnel_service(const endpoint &own,
                   const store_follower &store,
                   replica_paths &paths,
                   daemon_admission &admission,
                   std::function<std::optional<identity_key>()> key,
                   metrics &counters);
    ~tunnel_service();
    tunnel_service(const tunnel_service &) = delete;
    tunnel_service &operator=(const tunnel_service &) = delete;

    /// Whether an exchange on the daemons' interface is a request for a tunnel.
    static bool isTunnelRequest(const http_exchange &exchange);
    /// Answers a request for a tunnel, and carries the tunnel until it ends.
    void serve(http_exchange &exchange);
    /// Refuses further tunnels.
    void stopAccepting();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
