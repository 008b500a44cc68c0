// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_paths.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/random_number.h"
#include "Libraries/Routing/direct_paths.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log pathLog("path");
/// Connects are summed up over this time for the log.
constexpr duration logPeriod(1000);
/// How often replicas are probed while there is doubt whether this daemon reaches them.
constexpr duration probePeriod(200);
/// How often the thread checks whether this daemon must announce itself anew.
constexpr duration idlePeriod(1000);
/// A sound replica accepts a connection within this time, even from another data centre.
constexpr duration probeTimeout(100);
/// For so long a replica whose end another daemon has confirmed is not asked for again.
constexpr duration confirmationLifetime(500);
/// How long a call of the daemon's own waits for room at a daemon that carries its tunnel.
constexpr duration ownCallPatience(50);
constexpr int highestPriority = 0;

} // namespace

replica_address addressOf(const served_replica &replica)
{
    return {{replica.id, replica.incarnation}, replica.service, replica.address, replica.dataCentre};
}

replica_address addressOf(const backend &target, const service_id &service)
{
    return {keyOf(target), service, target.address, target.dataCentre};
}

struct replica_paths::private_data
{
    /// The replicas of a service that were connected to, and that could not be, since \a began.
    struct contacts
    {
        instant began;
        std::set<instance_id> reached;
        std::set<instance_id> unreached;
    };

    const entry_settings &settings;
    const store_follower &store;
    tunnel_client tunnels;
    const std::uint64_t run = randomNumber();
    /// Whether this daemon may be cut off from a service; if not, nothing needs to be looked up.
    std::atomic<bool> isInDoubt = false;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    direct_paths paths;
    std::map<service_id, contacts> contactsByService;
    /// When another daemon last confirmed that a replica's process has ended.
    std::map<replica_key, instant> confirmedEnds;
    std::thread thread;

    counter connected;
    counter failed;
    gauge cutOff;

    private_data(const entry_settings &entrySettings, const store_follower &follower, tunnel_peers tunnelPeers, metrics &counters)
        : settings(entrySettings)
        , store(follower)
        , tunnels(entrySettings.dataCentre, std::move(tunnelPeers), counters)
        , connected(counters.addCounter("vetchpost_replica_connects_total", "Direct connects to replicas.", {{"result", "connected"}}))
        , failed(counters.addCounter("vetchpost_replica_connects_total", "Direct connects to replicas.", {{"result", "failed"}}))
        , cutOff(counters.addGauge("vetchpost_services_cut_off", "Services whose replicas this daemon cannot connect to."))
    {
    }

    // Direct connections

    std::size_t knownReplicas(const service_id &service) const
    {
        const auto directory = store.directory();
        return static_cast<std::size_t>(std::count_if(
            directory->replicas.begin(), directory->replicas.end(), [&](const auto &entry) { return entry.second.service == service; }));
    }

    /// Sums up the connects for the log. Requires the mutex to be held.
    void addContact(const service_id &service, const instance_id &replica, bool isConnected, instant now)
    {
        auto &known = contactsByService[service];
        if (now - known.began >= logPeriod) {
            if (!known.unreached.empty()) {
                pathLog.writeEssential("contacts",
                                       {{"service", service.value()},
                                        {"reached", known.reached.size()},
                                        {"unreached", known.unreached.size()},
                                        {"over_ms", (now - known.began).count()}});
            }
            known = {now, {}, {}};
        }
        (isConnected ? known.reached : known.unreached).insert(replica);
    }

    void record(const replica_address &target, bool isConnected, instant began)
    {
        (isConnected ? connected : failed).increment();
        const auto known = isConnected ? 0 : knownReplicas(target.service);
        const auto now = monotonicNow();
        bool hasChanged = false;
        {
            const std::lock_guard lock(mutex);
            addContact(target.service, target.key.replica, isConnected, now);
            hasChanged = isConnected ? recordConnected(paths, target.service, now)
                                     : recordUnreached(paths, target.service, target.key.replica, known, began, now);
            isInDoubt = isInDoubt || !isConnected;
            if (isInDoubt) {
                cutOff.set(static_cast<double>(cutOffServices(paths).size()));
            }
            if (hasChanged) {
                const auto &state = paths.services[target.service];
                pathLog.writeEssential(isConnected ? "reached_again" : "cut_off",
                                       {{"service", target.service.value()},
                                        {"unreached", state.unreached.size()},
                                        {"probation_ms", state.probation.count()}});
            }
        }
        if (hasChanged) {
            announce();
        }
        if (!isConnected) {
            wake.notify_all();
        }
    }

    bool hasConnectedSince(const service_id &service, instant since) const
    {
        const std::lock_guard lock(mutex);
        const auto found = paths.services.find(service);
        return found != paths.services.end() && found->second.connectedAt >= since;
    }

    /// Chooses a replica of the service to probe, another one than \a excluded.
    std::optional<served_replica> chooseForProbe(const service_id &service, const std::set<instance_id> &excluded) const
    {
        const auto directory = store.directory();
        std::vector<const served_replica *> candidates;
        for (const auto &[id, replica] : directory->replicas) {
            if (replica.service == service && !replica.isDraining && !excluded.contains(id)) {
                candidates.push_back(&replica);
            }
        }
        return candidates.empty() ? std::nullopt : std::optional(*candidates[randomNumber() % candidates.size()]);
    }

    bool probe(const served_replica &replica)
    {
        connect_failure failure{};
        reason ignored;
        const auto began = monotonicNow();
        const bool isConnected = connectTo(replica.address, probeTimeout, failure, ignored).has_value();
        record(addressOf(replica), isConnected, began);
        return isConnected;
    }

    /// Whether a port that has refused a connection proves that its process has ended. A partition may refuse connections as well, but then
    /// to all replicas of the service.
    bool provesEnd(const replica_address &target, instant began)
    {
        constexpr int references = 2;
        if (hasConnectedSince(target.service, began)) {
            return true;
        }
        std::set<instance_id> asked{target.key.replica};
        for (int number = 0; number < references; ++number) {
            const auto reference = chooseForProbe(target.service, asked);
            if (!reference) {
                return false;
            }
            if (probe(*reference)) {
                return true;
            }
            asked.insert(reference->id);
        }
        return false;
    }

    std::optional<tcp_connection>
    connectDirectly(const replica_address &target, duration timeout, connect_failure &failure, reason &lastReason)
    {
        const auto began = monotonicNow();
        auto connection = connectTo(target.address, timeout, failure, lastReason);
        if (connection) {
            record(target, true, began);
        } else if (failure == connect_failure::unreachable) {
            record(target, false, began);
        }
        return connection;
    }

    /// Records a port that has refused a connection begun at \a began. Returns false if that may be due to this daemon's own links.
    bool acceptRefusal(const replica_address &target, instant began)
    {
        if (provesEnd(target, began)) {
            return true;
        }
        record(target, false, began);
        return false;
    }

    bool wasEndConfirmed(const replica_key &replica, instant now)
    {
        const std::lock_guard lock(mutex);
        std::erase_if(confirmedEnds, [&](const auto &entry) { return now - entry.second >= confirmationLifetime; });
        return confirmedEnds.contains(replica);
    }

    /// Asks another daemon for a tunnel to a replica whose port has refused a connection begun at \a began, since a partition refuses
    /// connections as well. Returns the tunnel if there is one; otherwise sets \a failure.
    std::optional<replica_connection>
    connectAfterRefusal(const replica_address &target, const tunnel_terms &terms, instant began, path_failure &failure, reason &lastReason)
    {
        failure = path_failure::refused;
        if (wasEndConfirmed(target.key, monotonicNow())) {
            return std::nullopt;
        }
        path_failure answer{};
        reason ignored;
        auto tunnel = tunnels.open(target, terms, answer, ignored);
        if (tunnel) {
            record(target, false, began);
            return tunnel;
        }
        if (answer == path_failure::refused) {
            const std::lock_guard lock(mutex);
            confirmedEnds[target.key] = monotonicNow();
        } else if (!acceptRefusal(target, began)) {
            failure = path_failure::unreachable;
            return needsTunnel(target.service) ? tunnels.open(target, terms, failure, lastReason) : std::nullopt;
        }
        return std::nullopt;
    }

    // Tunnels

    bool needsTunnel(const service_id &service) const
    {
        if (!isInDoubt) {
            return false;
        }
        const std::lock_guard lock(mutex);
        return vetchpost::needsTunnel(paths, service);
    }

    // The thread

    /// Announces this daemon to the others if that is due.
    void announce()
    {
        tunnel_proxy own;
        own.dataCentre = settings.dataCentre;
        own.run = run;
        const auto routes = store.routes();
        {
            const std::lock_guard lock(mutex);
            const auto unreached = cutOffServices(paths);
            own.isCutOff = !unreached.empty()
                && (unreached.size() > maxServicesPerProxy || (routes && unreached.size() >= routes->configuration().services.size()));
            if (!own.isCutOff) {
                own.unreachedServices.assign(unreached.begin(), unreached.end());
            }
        }
        tunnels.announce(std::move(own));
    }

    /// Returns a replica of each service of which it is in doubt whether this daemon reaches it.
    std::vector<served_replica> replicasToProbe()
    {
        std::vector<std::pair<service_id, std::set<instance_id>>> doubtful;
        {
            const std::lock_guard lock(mutex);
            for (const auto &[service, state] : paths.services) {
                if (!state.unreached.empty() || vetchpost::needsTunnel(paths, service)) {
                    doubtful.emplace_back(service, state.cutSince ? std::set<instance_id>() : state.unreached);
                }
            }
            isInDoubt = !doubtful.empty();
        }
        std::vector<served_replica> replicas;
        for (const auto &[service, unreached] : doubtful) {
            if (auto chosen = chooseForProbe(service, unreached)) {
                replicas.push_back(std::move(*chosen));
            }
        }
        return replicas;
    }

    void runLoop()
    {
        for (;;) {
            {
                std::unique_lock lock(mutex);
                if (!isInDoubt) {
                    wake.wait_for(lock, idlePeriod, [this] { return isStopping || isInDoubt; });
                }
                if (isStopping) {
                    return;
                }
            }
            announce();
            const auto replicas = isInDoubt ? replicasToProbe() : std::vector<served_replica>();
            std::for_each(replicas.begin(), replicas.end(), [this](const served_replica &replica) { probe(replica); });
            std::unique_lock lock(mutex);
            wake.wait_for(lock, isInDoubt ? probePeriod : duration(), [this] { return isStopping; });
        }
    }
};

replica_paths::replica_paths(const entry_settings &settings, const store_follower &store, tunnel_peers peers, metrics &counters)
    : d(std::make_unique<private_data>(settings, store, std::move(peers), counters))
{
}

replica_paths::~replica_paths()
{
    stop();
}

void replica_paths::start()
{
    d->thread = std::thread([this] { d->runLoop(); });
}

void replica_paths::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

void replica_paths::endTunnels()
{
    d->tunnels.stopOffering();
    d->announce();
}

std::uint64_t replica_paths::run() const
{
    return d->run;
}

bool replica_paths::needsTunnel(const service_id &service) const
{
    return d->needsTunnel(service);
}

std::optional<replica_connection> replica_paths::connect(
    const replica_address &target, const tunnel_terms &terms, duration timeout, path_failure &failure, reason &lastReason)
{
    if (!d->needsTunnel(target.service)) {
        const auto began = monotonicNow();
        connect_failure directFailure{};
        if (auto connection = d->connectDirectly(target, timeout, directFailure, lastReason)) {
            return replica_connection{std::move(*connection), std::nullopt, nullptr};
        }
        if (directFailure == connect_failure::refused) {
            return d->connectAfterRefusal(target, terms, began, failure, lastReason);
        }
        failure = path_failure::unreachable;
        // The failed connect may have shown that this daemon is cut off; then the replica is not to blame.
        if (!d->needsTunnel(target.service)) {
            return std::nullopt;
        }
    }
    return d->tunnels.open(target, terms, failure, lastReason);
}

std::optional<tcp_connection>
replica_paths::connectDirectly(const served_replica &target, duration timeout, connect_failure &failure, reason &lastReason)
{
    const auto address = addressOf(target);
    const auto began = monotonicNow();
    auto connection = d->connectDirectly(address, timeout, failure, lastReason);
    if (!connection && failure == connect_failure::refused && !d->acceptRefusal(address, began)) {
        failure = connect_failure::unreachable;
    }
    return connection;
}

namespace {

/// The terms of a call of the daemon's own.
tunnel_terms ownTerms(const http_call &call)
{
    tunnel_terms terms;
    terms.priority = highestPriority;
    terms.patience = ownCallPatience;
    terms.timeLeft = call.receiveTimeout;
    return terms;
}

} // namespace

std::optional<http_reply>
replica_paths::send(const replica_address &target, const http_call &call, std::optional<path_failure> &failure, reason &lastReason)
{
    path_failure noConnection{};
    const auto connection = connect(target, ownTerms(call), call.connectTimeout, noConnection, lastReason);
    if (!connection) {
        failure = noConnection;
        return std::nullopt;
    }
    return sendOn(connection->connection, call, lastReason);
}

std::optional<http_reply> replica_paths::sendThroughPeer(const replica_address &target, const http_call &call, reason &lastReason)
{
    path_failure ignored{};
    const auto began = monotonicNow();
    const auto connection = d->tunnels.open(target, ownTerms(call), ignored, lastReason);
    auto reply = connection ? sendOn(connection->connection, call, lastReason) : std::nullopt;
    if (reply) {
        d->record(target, false, began);
    }
    return reply;
}

} // namespace vetchpost
