// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Libraries/Requests/replica_constraints.h"
#include "Libraries/Requests/request_identity.h"
#include "Libraries/Routing/served_configuration.h"

#include <optional>
#include <string_view>

/// The requests by which a daemon asks another one for a tunnel to a replica, and their answers (docs/design/TUNNELS.md).
namespace vetchpost {

/// The work for which a tunnel is needed. The daemon that carries it decides by this who goes first.
struct tunnel_terms
{
    /// Empty for the daemon's own calls, such as orders.
    request_id request;
    organisation_id organisation;
    /// 0 is the highest.
    int priority = 0;
    /// How long the request may wait for room.
    duration patience{};
    /// How long the tunnel may stay open.
    duration timeLeft{};
};

/// A request for a tunnel.
struct tunnel_request
{
    replica_key replica;
    service_id service;
    tunnel_terms terms;
    /// The run of the daemon that is asked, and a number that its run accepts once. Both keep old requests from being sent again.
    std::uint64_t run = 0;
    std::uint64_t nonce = 0;
};

/// Why a daemon did not open a tunnel.
enum class tunnel_refusal_kind {
    /// The request is incomplete, or not of the present run.
    invalid,
    /// The digest is not that of a daemon of this system, or the request came before.
    not_authentic,
    /// The replica is not known, or another incarnation of it is.
    unknown_replica,
    /// The daemon is cut off from the service itself.
    cut_off,
    stopping,
    /// It bears no more work now.
    full,
    /// The replica refused the connection: its process has ended.
    replica_refused,
    /// The replica did not answer the daemon either.
    replica_unreachable,
    count
};

/// The name of a refusal in answers and in the log.
std::string_view tunnelRefusalName(tunnel_refusal_kind kind);
/// The status of the answer that tells of a refusal.
int tunnelRefusalStatus(tunnel_refusal_kind kind);

/// The header of an answer that names the refusal.
constexpr auto tunnelRefusalHeader = "Vetchpost-Tunnel-Refusal";

/// Returns the headers of a request for a tunnel, with a digest by which the daemon at \a proxy knows that a daemon of this system sent it.
std::vector<http_header> tunnelHeaders(const tunnel_request &request, const endpoint &proxy, const identity_key &key);
/// Reads a request for a tunnel to the replica \a replica. Returns nothing if a header is missing or out of range.
std::optional<tunnel_request> readTunnelRequest(const instance_id &replica, const std::vector<http_header> &headers);
/// Whether the headers carry the digest of \a request.
bool isAuthentic(const tunnel_request &request, const endpoint &proxy, const std::vector<http_header> &headers, const identity_key &key);
/// Reads the refusal in an answer; nothing if it names none.
std::optional<tunnel_refusal_kind> readTunnelRefusal(const std::vector<http_header> &headers);

} // namespace vetchpost
