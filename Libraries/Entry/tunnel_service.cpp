// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/tunnel_service.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/tunnel_messages.h"

#include <deque>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

constexpr event_log tunnelLog("tunnel");
constexpr auto connectMethod = "CONNECT";
/// Time for the end of the answer after the request's own time.
constexpr duration closingTime(1000);
/// Requests that are remembered so that none is accepted twice: those of some seconds at the highest rate.
constexpr std::size_t maxRemembered = 8192;

} // namespace

struct tunnel_service::private_data
{
    const endpoint own;
    const store_follower &store;
    replica_paths &paths;
    daemon_admission &admission;
    const std::function<std::optional<identity_key>()> key;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::set<std::uint64_t> accepted;
    std::deque<std::uint64_t> acceptedOrder;
    counter carried;
    std::map<tunnel_refusal_kind, counter> refused;
    gauge open;

    private_data(const endpoint &ownAddress,
                 const store_follower &follower,
                 replica_paths &replicaPaths,
                 daemon_admission &daemonAdmission,
                 std::function<std::optional<identity_key>()> sharedKey,
                 metrics &counters)
        : own(ownAddress)
        , store(follower)
        , paths(replicaPaths)
        , admission(daemonAdmission)
        , key(std::move(sharedKey))
        , carried(counters.addCounter("vetchpost_tunnels_carried_total", "Tunnels to replicas that were opened for other daemons."))
        , open(counters.addGauge("vetchpost_tunnels_open", "Tunnels that are carried for other daemons now."))
    {
        for (std::size_t kind = 0; kind < static_cast<std::size_t>(tunnel_refusal_kind::count); ++kind) {
            const auto value = static_cast<tunnel_refusal_kind>(kind);
            refused.emplace(value,
                            counters.addCounter("vetchpost_tunnels_refused_total",
                                                "Requests of other daemons for tunnels that were refused.",
                                                {{"why", std::string(tunnelRefusalName(value))}}));
        }
    }

    void refuse(http_exchange &exchange, tunnel_refusal_kind kind, const tunnel_request &request)
    {
        refused.at(kind).increment();
        tunnelLog.write("tunnel_refused",
                        {{"request", request.terms.request.value()},
                         {"replica", request.replica.replica.value()},
                         {"why", std::string(tunnelRefusalName(kind))}});
        exchange.setHeader(tunnelRefusalHeader, std::string(tunnelRefusalName(kind)));
        exchange.closeAfterResponse();
        exchange.send(tunnelRefusalStatus(kind), "text/plain", "");
    }

    /// Remembers the number of a request. Returns false if it was accepted before.
    bool rememberNonce(std::uint64_t nonce)
    {
        const std::lock_guard lock(mutex);
        if (!accepted.insert(nonce).second) {
            return false;
        }
        acceptedOrder.push_back(nonce);
        if (acceptedOrder.size() > maxRemembered) {
            accepted.erase(acceptedOrder.front());
            acceptedOrder.pop_front();
        }
        return true;
    }

    /// Why the request cannot be accepted as it is; nothing if it can.
    std::optional<tunnel_refusal_kind> problemOf(const tunnel_request &request, const std::vector<http_header> &headers)
    {
        const auto shared = key();
        if (!shared || !isAuthentic(request, own, headers, *shared)) {
            return tunnel_refusal_kind::not_authentic;
        }
        if (request.run != paths.run()) {
            return tunnel_refusal_kind::invalid;
        }
        if (!rememberNonce(request.nonce)) {
            return tunnel_refusal_kind::not_authentic;
        }
        if (isStopping) {
            return tunnel_refusal_kind::stopping;
        }
        return paths.needsTunnel(request.service) ? std::optional(tunnel_refusal_kind::cut_off) : std::nullopt;
    }

    /// The replica that a request names, if this incarnation of it is known.
    std::optional<served_replica> findReplica(const tunnel_request &request) const
    {
        const auto directory = store.directory();
        const auto known = directory->replicas.find(request.replica.replica);
        const bool isSame = known != directory->replicas.end() && known->second.incarnation == request.replica.incarnation
            && known->second.service == request.service;
        return isSame ? std::optional(known->second) : std::nullopt;
    }
};

tunnel_service::tunnel_service(const endpoint &own,
                               const store_follower &store,
                               replica_paths &paths,
                               daemon_admission &admission,
                               std::function<std::optional<identity_key>()> key,
                               metrics &counters)
    : d(std::make_unique<private_data>(own, store, paths, admission, std::move(key), counters))
{
}

tunnel_service::~tunnel_service() = default;

bool tunnel_service::isTunnelRequest(const http_exchange &exchange)
{
    return exchange.method() == connectMethod;
}

void tunnel_service::stopAccepting()
{
    d->isStopping = true;
}

void tunnel_service::serve(http_exchange &exchange)
{
    const auto arrived = monotonicNow();
    const auto headers = exchange.headers();
    const auto request = readTunnelRequest(instance_id(exchange.target()), headers);
    if (!request) {
        d->refuse(exchange, tunnel_refusal_kind::invalid, {});
        return;
    }
    if (const auto problem = d->problemOf(*request, headers)) {
        d->refuse(exchange, *problem, *request);
        return;
    }
    const auto replica = d->findReplica(*request);
    if (!replica) {
        d->refuse(exchange, tunnel_refusal_kind::unknown_replica, *request);
        return;
    }
    const auto &terms = request->terms;
    const auto room = d->admission.acquire(terms.organisation, terms.priority, terms.patience, true);
    if (!room) {
        d->refuse(exchange, tunnel_refusal_kind::full, *request);
        return;
    }
    connect_failure failure{};
    reason why;
    const auto connection = d->paths.connectDirectly(*replica, directConnectTimeout, failure, why);
    if (!connection) {
        const bool isRefused = failure == connect_failure::refused;
        const auto kind = d->paths.needsTunnel(request->service) ? tunnel_refusal_kind::cut_off
            : isRefused                                          ? tunnel_refusal_kind::replica_refused
                                                                 : tunnel_refusal_kind::replica_unreachable;
        d->refuse(exchange, kind, *request);
        return;
    }
    d->carried.increment();
    d->open.add(1);
    const auto opened = monotonicNow();
    exchange.tunnelTo(*connection, opened + terms.timeLeft + closingTime);
    d->open.add(-1);
    tunnelLog.write("tunnel_carried",
                    {{"request", terms.request.value()},
                     {"replica", replica->id.value()},
                     {"open_after_ms", (opened - arrived).count()},
                     {"open_ms", (monotonicNow() - opened).count()}});
}

} // namespace vetchpost
