// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/daemon.h"

#include "Libraries/Base/log.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Daemon/caller_interface.h"
#include "Libraries/Daemon/claimed_run.h"
#include "Libraries/Daemon/configuration_service.h"
#include "Libraries/Daemon/coordinator_runner.h"
#include "Libraries/Daemon/observer.h"
#include "Libraries/Daemon/operator_interface.h"

#include <random>
#include <thread>

namespace vetchpost {

namespace {

constexpr part_log daemonLog("daemon");
constexpr int peerCallThreads = 12;
constexpr int platformThreads = 8;
constexpr int orderThreads = 16;
constexpr int observerThreads = 8;
constexpr int operatorThreads = 8;
constexpr int peerThreads = 48;
constexpr duration snapshotPeriod(50);
constexpr duration drainPollPeriod(50);
/// How long the platform's load balancer may take to notice that this daemon is not ready.
constexpr duration notReadyGrace(2000);

incarnation newIncarnation()
{
    return makeIncarnation(static_cast<std::uint64_t>(calendarMilliseconds()), std::random_device()());
}

http_server_limits callerLimits(const daemon_settings &settings, const std::shared_ptr<body_memory> &bodies)
{
    http_server_limits limits;
    limits.bodies = bodies;
    limits.maximumThreads = settings.maximumStreams;
    limits.maximumQueued = settings.maximumStreams;
    return limits;
}

http_server_limits fixedLimits(int threads, const std::shared_ptr<body_memory> &bodies)
{
    http_server_limits limits;
    limits.bodies = bodies;
    limits.maximumThreads = threads;
    return limits;
}

} // namespace

struct vetchpost_daemon::private_data
{
    daemon_settings settings;
    incarnation run = newIncarnation();
    metrics counters;
    cluster_state cluster;
    key_value_client keyValue;
    // Separate pools, so that peers or engines that do not answer cannot delay the lease renewal or each other.
    worker_pool peerWorkers{peerCallThreads};
    worker_pool platformWorkers{platformThreads};
    worker_pool orderWorkers{orderThreads};
    worker_pool observerWorkers{observerThreads};
    peer_service peers;
    replica_backoffs backoffs;
    admission admissions;
    claim_service claims;
    gateway_context context;
    coordinator_runner coordinator;
    configuration_service configurations;
    observer observations;
    caller_interface callers;
    operator_interface operators;
    timer_service timers;
    std::shared_ptr<body_memory> bodies = std::make_shared<body_memory>();
    http_server peerServer;
    http_server operatorServer;
    http_server callerServer;

    explicit private_data(const daemon_settings &given)
        : settings(given)
        , cluster(settings, run)
        , keyValue(settings.keyValue, counters)
        , peers(settings, cluster, counters, peerWorkers)
        , admissions(cluster.routing(), backoffs, counters)
        , claims(settings, keyValue, counters, platformWorkers)
        , context{settings, cluster, backoffs, admissions, claims, peers, counters, request_counters(counters)}
        , coordinator(settings, cluster, keyValue, counters, platformWorkers, orderWorkers, [this] { peers.exchangeNow(); })
        , configurations(
              cluster, keyValue, [this] { return coordinator.isCoordinating(); }, [this] { peers.exchangeNow(); })
        , observations(settings, cluster, counters, observerWorkers, [this] { peers.exchangeNow(); })
        , callers(context, run)
        , operators(context, configurations, coordinator)
        , peerServer(settings.peers, fixedLimits(peerThreads, bodies), [this](http_exchange &exchange) { peers.handle(exchange); })
        , operatorServer(
              settings.operators, fixedLimits(operatorThreads, bodies), [this](http_exchange &exchange) { operators.handle(exchange); })
        , callerServer(settings.callers, callerLimits(settings, bodies), [this](http_exchange &exchange) { callers.handle(exchange); })
    {
        registerCachedAnswerMethod(claims, peers);
    }
};

vetchpost_daemon::vetchpost_daemon(const daemon_settings &settings)
    : d(std::make_unique<private_data>(settings))
{
}

vetchpost_daemon::~vetchpost_daemon() = default;

void vetchpost_daemon::start()
{
    d->peers.subscribeTo(d->timers);
    d->observations.subscribeTo(d->timers);
    d->coordinator.subscribeTo(d->timers);
    d->claims.subscribeTo(d->timers);
    d->timers.subscribe("snapshot", snapshotPeriod, [this](instant now) {
        d->cluster.refreshSnapshot(now);
        d->admissions.wake();
    });
    d->timers.start();
    d->configurations.start();
    daemonLog.info("The daemon is running. daemon={} data_centre={} callers={}",
                   d->settings.daemon.value(),
                   d->settings.dataCentre.value(),
                   d->settings.callers.text());
}

void vetchpost_daemon::stop()
{
    // 1. Report not ready. The load balancer sends new requests elsewhere; requests that still arrive are served.
    daemonLog.info("The daemon is stopping. active={}", d->callerServer.activeRequests());
    d->callers.setNotReady();
    d->cluster.setStopping();
    sleepUntil(monotonicNow() + notReadyGrace);
    // 2. Refuse new requests and drain those in flight.
    d->callers.refuseNewRequests();
    d->callerServer.stopAccepting();
    const auto deadline = monotonicNow() + d->settings.drainTimeout;
    while (d->callerServer.activeRequests() > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(drainPollPeriod);
    }
    daemonLog.info("The daemon has drained its requests. left={}", d->callerServer.activeRequests());
    // 3. Stop the servers, the services and the worker pools.
    d->callerServer.stopAll();
    d->operatorServer.stopAll();
    d->peerServer.stopAll();
    d->configurations.stop();
    d->timers.stop();
    d->observerWorkers.stop();
    d->orderWorkers.stop();
    d->platformWorkers.stop();
    d->peerWorkers.stop();
}

} // namespace vetchpost
