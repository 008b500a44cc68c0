// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_view.h"
#include "Libraries/Http/tcp_connection.h"
#include "Libraries/Requests/replica_constraints.h"

#include <memory>
#include <optional>

namespace vetchpost {

/// Connections within a site are established in a few milliseconds; an address that does not answer is given up after this time.
constexpr duration directConnectTimeout(250);

/// Where a replica is found.
struct replica_address
{
    replica_key key;
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
};

replica_address addressOf(const served_replica &replica);
replica_address addressOf(const backend &target, const service_id &service);

/// Why a replica was not connected to.
enum class path_failure {
    /// Its port refuses connections although this daemon, or the one that was asked for a tunnel, reaches other replicas of its service: it
    /// has
    /// ended.
    refused,
    /// It does not answer.
    unreachable,
    /// This daemon is cut off from the replicas, and no other one is known that reaches them.
    no_proxy,
    /// This daemon is cut off from the replicas, and the others carry as many tunnels as they can.
    proxies_full
};

/// A connection to a replica, directly or through another daemon.
struct replica_connection
{
    tcp_connection connection;
    /// The daemon that carries the tunnel; nothing for a direct connection.
    std::optional<endpoint> proxy;
    /// Counts the tunnel as in use while it exists.
    std::shared_ptr<void> use;
};

} // namespace vetchpost
