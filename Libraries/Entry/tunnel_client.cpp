// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/tunnel_client.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"
#include "Libraries/Http/http_tunnel.h"

namespace vetchpost {

namespace {

constexpr event_log pathLog("path");
/// Another daemon accepts a connection within this time.
constexpr duration proxyConnectTimeout(100);
/// The time for the answer to a request for a tunnel, beyond its patience and the connect to the replica.
constexpr duration proxyAnswerMargin(100);
/// So many daemons are asked for one tunnel, and no further one after maxAskingTime. Where most daemons are cut off at the same moment,
/// they answer so before their announcements have arrived.
constexpr int maxProxiesAsked = 8;
constexpr duration maxAskingTime(500);

// Values of the label "purpose".
constexpr auto requestPurpose = "request";
constexpr auto ownCallPurpose = "own_call";

/// Returns how long a daemon that did not open a tunnel is not asked again.
duration avoidanceAfter(std::optional<tunnel_refusal_kind> refusal)
{
    const bool concernsReplica = refusal == tunnel_refusal_kind::replica_refused || refusal == tunnel_refusal_kind::replica_unreachable;
    if (concernsReplica) {
        return {};
    }
    return refusal == tunnel_refusal_kind::full ? proxyFullAvoidance : proxyFailureAvoidance;
}

} // namespace

tunnel_client::tunnel_client(const data_centre_id &dataCentre, tunnel_peers peers, metrics &counters)
    : m_dataCentre(dataCentre)
    , m_peers(std::move(peers))
{
    for (const auto *purpose : {requestPurpose, ownCallPurpose}) {
        for (const auto *result : {"opened", "refused", "full", "none"}) {
            m_results.emplace(std::pair(purpose, result),
                              counters.addCounter("vetchpost_tunnels_requested_total",
                                                  "Requests for tunnels to replicas through other daemons, by their purpose and result.",
                                                  {{"purpose", purpose}, {"result", result}}));
        }
    }
}

std::optional<replica_connection>
tunnel_client::open(const replica_address &target, const tunnel_terms &terms, path_failure &failure, reason &lastReason)
{
    const auto key = m_peers.key();
    const auto count = [&](const char *result) {
        m_results.at({terms.request.isEmpty() ? ownCallPurpose : requestPurpose, result}).increment();
    };
    const tunnel_purpose purpose{target.service, m_dataCentre, target.dataCentre};
    failure = path_failure::no_proxy;
    const auto askUntil = monotonicNow() + maxAskingTime;
    for (int asked = 0; key && asked < maxProxiesAsked && monotonicNow() < askUntil; ++asked) {
        const auto proxy = m_peers.proxies.reserve(purpose, randomNumber());
        if (!proxy) {
            break;
        }
        const tunnel_request request{target.key, target.service, terms, proxy->run, randomNumber()};
        http_call call;
        call.to = proxy->address;
        call.headers = tunnelHeaders(request, proxy->address, *key);
        call.connectTimeout = proxyConnectTimeout;
        call.receiveTimeout = terms.patience + directConnectTimeout + proxyAnswerMargin;
        tunnel_refusal answer;
        if (auto connection = openTunnel(call, target.key.replica.value(), answer, lastReason)) {
            count("opened");
            auto *proxies = &m_peers.proxies;
            return replica_connection{std::move(*connection),
                                      proxy->address,
                                      std::shared_ptr<void>(nullptr, [proxies, address = proxy->address](void * /*none*/) {
                                          proxies->release(address, duration());
                                      })};
        }
        const auto refusal = readTunnelRefusal(answer.headers);
        const auto avoidance = avoidanceAfter(refusal);
        m_peers.proxies.release(proxy->address, avoidance);
        count(refusal == tunnel_refusal_kind::full ? "full" : "refused");
        pathLog.write("tunnel_refused",
                      {{"request", terms.request.value()},
                       {"replica", target.key.replica.value()},
                       {"proxy", proxy->address.text()},
                       {"why", refusal ? std::string(tunnelRefusalName(*refusal)) : lastReason.text}});
        if (avoidance == duration()) {
            failure = refusal == tunnel_refusal_kind::replica_refused ? path_failure::refused : path_failure::unreachable;
            return std::nullopt;
        }
        failure = refusal == tunnel_refusal_kind::full ? path_failure::proxies_full : failure;
    }
    if (failure == path_failure::no_proxy) {
        count("none");
        lastReason = {error_kind::backend_unreachable, "cut off from the replicas, and no other daemon is known to reach them"};
    }
    return std::nullopt;
}

void tunnel_client::announce(tunnel_proxy proxy)
{
    proxy.capacity = m_isOffering ? m_peers.capacity : 0;
    if (m_peers.proxies.announce(proxy)) {
        m_peers.didAnnounce();
    }
}

void tunnel_client::stopOffering()
{
    m_isOffering = false;
}

} // namespace vetchpost
