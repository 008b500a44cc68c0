// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_daemon.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Base/version.h"
#include "Libraries/Entry/assembly_runner.h"
#include "Libraries/Entry/crash_interface.h"
#include "Libraries/Entry/daemon_metrics.h"
#include "Libraries/Entry/dispatch_service.h"
#include "Libraries/Entry/evacuation_status.h"
#include "Libraries/Entry/request_handler.h"
#include "Libraries/Entry/shutdown_task.h"
#include "Libraries/Entry/tunnel_service.h"
#include "Libraries/Platform/circuit_breaking_service.h"
#include "Libraries/Platform/measured_store.h"
#include "Libraries/Routing/key_revocation_policy.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <functional>
#include <memory>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log daemonLog("daemon");
/// The load balancer checks readiness every second and removes a daemon after two failures; new connections arrive until then.
constexpr duration loadBalancerNoticeTime(2500);
/// The part of the stop grace that is left for the process to exit by itself.
constexpr duration stopMargin(600);
/// The time that is left for the answers to the requests that have none by then.
constexpr duration answerMargin(250);
constexpr duration stopPollPeriod(50);
constexpr std::size_t clientThreadStackBytes = 128U * 1024U;
constexpr int readinessThreads = 16;
/// Operators, and other daemons besides their tunnels.
constexpr int operatorThreads = 4;
/// The part of a cold replica's rate that is paced by each daemon. Dispatchers use the other half where they place requests.
constexpr double coldShareAlone = 1;
constexpr double coldShareBesideDispatch = 0.5;
constexpr auto metricsPath = "/metrics";
/// Clients reuse connections that were idle for a little less than the configured idle time.
constexpr duration keepAliveTimeout(20000);
constexpr duration headerTimeout(6000);

} // namespace

namespace {

/// Returns the settings without an address for slot requests if slot dispatch is off. A switch in the settings goes before the contracts.
entry_settings withDispatchDecided(entry_settings settings, const platform_features &features)
{
    if (!settings.dispatchSwitch.value_or(features.hasSlotDispatch)) {
        settings.dispatch.reset();
    }
    return settings;
}

} // namespace

struct entry_daemon::private_data
{
    std::unique_ptr<entry_dialect> dialect;
    const platform_features features;
    entry_settings settings;
    metrics counters;
    std::unique_ptr<key_value_service> keyValue;
    std::mutex viewMutex;
    entry_view_builder views;
    entry_view_snapshot view;
    store_follower store;
    shared_suspects suspects;
    shared_constraints constraints;
    shared_proxies proxies;
    shared_parts parts;
    dispatcher_directory dispatchers;
    dispatch_socket dispatchSocket;
    dispatch_client dispatchClient;
    dispatch_service dispatch;
    gauge unknownContracts;
    peer_feed feed;
    daemon_admission admission;
    replica_paths paths;
    assembly_runner assembly;
    crash_guard crashes;
    tunnel_service tunnels;
    relay_context relay;
    daemon_metrics exportedMetrics;
    std::shared_ptr<body_memory> bodies;
    std::shared_ptr<head_limits> clientHeads = std::make_shared<head_limits>();
    std::unique_ptr<http_server> clientServer;
    std::unique_ptr<http_server> readinessServer;
    std::unique_ptr<http_server> operatorServer;

    private_data(const entry_settings &entrySettings, std::unique_ptr<entry_dialect> entryDialect, const store_maker &makeStore)
        : dialect(std::move(entryDialect))
        , features(dialect->featuresOf(entrySettings.contracts))
        , settings(withDispatchDecided(entrySettings, features))
        , keyValue(std::make_unique<circuit_breaking_service>(
              std::make_unique<measured_store>(makeStore(settings.keyValue, counters), counters), dialect->configurationKey()))
        , store(
              *keyValue,
              *dialect,
              feedTiming(configurationAgeLimit(settings)),
              counters,
              [this] { rebuildView(); },
              [this](const std::vector<replica_key> &replicas) {
                  if (constraints.recordDepartures(replicas)) {
                      feed.syncTables();
                  }
              })
        , suspects(counters)
        , constraints(counters, [this] { store.updateLeaving(constraints.leaving()); })
        , proxies(announcedPeers(settings))
        , parts([this] { return crashes.digestKey(); },
                [this] { return proxies.turn(); },
                [this](const std::set<replica_end> &explained) { suspects.setExplained(explained); },
                counters)
        , dispatchSocket(counters)
        , dispatchClient(dispatchSocket, dispatchers, counters)
        , dispatch(settings, dispatchSocket, dispatchClient, dispatchers, counters)
        , unknownContracts(counters.addGauge("vetchpost_contracts_unknown", "Contracts in the settings with unknown names."))
        , feed(
              settings,
              store,
              {suspects, constraints, proxies, parts},
              dispatchers,
              counters,
              [this] { return relay.inFlight.counts(); },
              [this](const stall_report &report) { assembly.handleStallReport(report); },
              [this](const group_stall_warning &warning) { relay.applyStallWarning(warning.head); })
        , admission(tunnelCapacity(settings))
        , paths(settings,
                store,
                {proxies, [this] { return crashes.digestKey(); }, [this] { feed.syncTables(); }, tunnelCapacity(settings)},
                counters)
        , assembly(
              settings,
              *keyValue,
              *dialect,
              store,
              feed,
              paths,
              counters,
              [this] { return relay.inFlight.counts(); },
              [this](const instance_id &replica, const http_reply &reply) { recordReplyConstraints(replica, reply); })
        , crashes(*keyValue, *dialect, store, paths, feed, suspects, parts)
        , tunnels(
              announcedPeers(settings), store, paths, admission, [this] { return crashes.digestKey(); }, counters)
        , relay(settings,
                *dialect,
                store,
                feed,
                view,
                crashes,
                constraints,
                dispatchClient,
                paths,
                admission,
                counters,
                [this](const instance_id &head) { assembly.reportStall(head); })
        , exportedMetrics(counters)
        , bodies(std::make_shared<body_memory>(bodyMemoryLimit(settings)))
    {
        store.enableEvacuations(settings.evacuation);
        store.setConfirmationPolicy({settings.isKeyRevocationStrict, settings.isFirstStart});
        if (settings.cold) {
            store.setColdPaced(true);
            const auto share = settings.dispatch ? coldShareBesideDispatch : coldShareAlone;
            constraints.cold().turnOn({settings.cold->overrun, settings.cold->slack}, share, [this] { return feed.daemons(); });
        }
    }

    /// Records the constraints in a replica's answer to an order or a probe. Such an answer may state constraints, but one that states none
    /// does not revoke those that are known.
    void recordReplyConstraints(const instance_id &replica, const http_reply &reply)
    {
        auto notice = dialect->readNotice(reply.status, reply.headers);
        notice.isExhaustive = false;
        const auto directory = store.directory();
        const auto known = directory->replicas.find(replica);
        if (known != directory->replicas.end() && constraints.cold().isOn()) {
            const auto routes = store.routes();
            const auto *service = routes ? routes->findService(known->second.service) : nullptr;
            constraints.cold().applyNotice({replica, known->second.incarnation},
                                           service == nullptr ? 0 : service->coldPerSecond,
                                           dialect->readColdNotice(reply.status, reply.headers));
        }
        if (known != directory->replicas.end() && constraints.applyNotice({replica, known->second.incarnation}, notice)) {
            feed.syncTables();
        }
    }

    /// Logs the contracts that are not known, and slot dispatch that has no address.
    void reportContracts() const
    {
        unknownContracts.set(static_cast<double>(features.unknown.size()));
        if (!features.unknown.empty()) {
            daemonLog.write("contract_unknown", {{"contracts", fmt::format("{}", fmt::join(features.unknown, " "))}});
        }
        if (settings.dispatch) {
            daemonLog.write("dispatch_on", {{"address", settings.dispatch->text()}, {"processor_share", settings.processorShare}});
        } else if (settings.dispatchSwitch.value_or(features.hasSlotDispatch)) {
            daemonLog.write("dispatch_without_address", {});
        }
    }

    void rebuildView()
    {
        {
            const std::lock_guard lock(viewMutex);
            // Read before the directory, which may become newer in between, but not older.
            const bool isListed = store.listedAt().has_value();
            const auto routes = store.routes();
            const auto directory = store.directory();
            if (routes) {
                clientHeads->size = routes->configuration().limits.headerBytes;
                clientHeads->timeout = routes->configuration().limits.headerTimeout;
                // Before the view shows a replica, so that no request is placed on a cold one without pacing.
                constraints.cold().applyEntries(*directory, *routes);
            }
            auto newest = views.build(routes, *directory, isListed, settings.dataCentre, store.evacuatedDataCentres());
            if (settings.dispatch) {
                dispatch.updateView(newest);
            }
            view.replace(std::move(newest));
        }
        feed.pushEvacuations();
        assembly.replan();
    }

    bool isReady() const
    {
        const key_revocation_policy bound{settings.keyRevocation, settings.isKeyRevocationStrict};
        return !relay.isDraining && store.listedAt() && store.evacuatedDataCentres()
            && areKeysUsableForNewConnections(bound, store.configurationKnowledge(), monotonicNow());
    }

    void serveClient(http_exchange &exchange)
    {
        store.recordTraffic();
        feed.recordTraffic();
        request_handler(relay, exchange).serve();
    }

    daemon_status currentStatus() const
    {
        const auto routes = store.routes();
        const auto currentAt = store.configurationCurrentAt();
        daemon_status status;
        status.configurationVersion = routes ? routes->configuration().version : 0;
        status.configurationAge = currentAt ? std::optional(monotonicNow() - *currentAt) : std::nullopt;
        status.replicas = store.directory()->replicas.size();
        status.daemons = feed.daemons().value_or(0);
        status.connections = static_cast<std::size_t>(clientServer->openConnections());
        status.connectionsClosedUnread = clientServer->connectionsClosedUnread();
        status.incompleteHeads = clientServer->incompleteHeads();
        status.connectionsInterrupted = clientServer->connectionsInterrupted();
        status.bodyBytes = bodies->used();
        status.bodiesGivenUp = bodies->givenUp();
        status.requests = static_cast<std::size_t>(clientServer->activeRequests());
        status.crashingRequests = suspects.refused().size();
        const auto constrained = constraints.counts();
        status.replicasInBackoff = constrained.inBackoff;
        status.rateLimitedReplicas = constrained.limited;
        status.leavingReplicas = constrained.leaving;
        status.coldReplicas = constraints.cold().count();
        status.storeEra = keyValue->era().value();
        status.droppedLinesByPart = droppedLogLinesByPart();
        for (const auto &evacuated : currentEvacuations(store.evacuations())) {
            // An unknown name has no effect.
            status.evacuatedDataCentres += evacuated.replicas > 0 ? 1 : 0;
            status.evacuatedRequests += evacuated.requests;
        }
        return status;
    }

    std::vector<evacuation_status> currentEvacuations(const evacuation_set &known) const
    {
        return evacuationStatus(known, *store.directory(), store.routes().get(), relay.requestsByPlace);
    }

    void answerPeer(http_exchange &exchange)
    {
        if (tunnel_service::isTunnelRequest(exchange)) {
            tunnels.serve(exchange);
        } else {
            answerOperator(exchange);
        }
    }

    void answerOperator(http_exchange &exchange)
    {
        constexpr int found = 200;
        constexpr int notFound = 404;
        if (exchange.path() == crashingRequestsPath) {
            answerCrashingRequests(exchange, suspects, parts);
            feed.syncTables();
            return;
        }
        if (exchange.path() == evacuationsPath) {
            const auto known = store.evacuations();
            answerEvacuations(exchange, known, currentEvacuations(known));
            return;
        }
        const bool isKnown = exchange.path() == metricsPath;
        if (isKnown) {
            exportedMetrics.update(currentStatus());
        }
        exchange.send(isKnown ? found : notFound, "text/plain", isKnown ? counters.text() : std::string());
    }

    void answerReadiness(http_exchange &exchange) const
    {
        constexpr int ready = 200;
        constexpr int notReady = 503;
        exchange.send(isReady() ? ready : notReady, "text/plain", "");
    }
};

entry_daemon::entry_daemon(const entry_settings &settings, std::unique_ptr<entry_dialect> dialect, const store_maker &makeStore)
    : d(std::make_unique<private_data>(settings, std::move(dialect), makeStore))
{
}

entry_daemon::~entry_daemon()
{
    // The threads call into each other's parts, so all of them end before any part is destroyed.
    d->clientServer.reset();
    d->readinessServer.reset();
    d->operatorServer.reset();
    d->assembly.stop();
    d->crashes.stop();
    d->dispatch.stop();
    d->paths.stop();
    d->feed.stop();
    d->store.stop();
    // The log's thread calls the relay's logCollected(), so it stops before the relay is destroyed.
    stopEventLog();
}

void entry_daemon::start()
{
    setEventLogDaemon(d->settings.daemon.value());
    setEventLogOn(d->settings.isLogOn);
    startEventLog([this] { d->relay.logCollected(); });
    daemonLog.write("started",
                    {{"version", programVersion},
                     {"settings", d->settings.digest},
                     {"callers", d->settings.callers.text()},
                     {"data_centre", d->settings.dataCentre.value()}});
    http_server_limits limits;
    limits.maximumThreads = d->settings.maximumConnections;
    limits.threadStackBytes = clientThreadStackBytes;
    limits.requestTimeout = headerTimeout;
    limits.keepAliveTimeout = keepAliveTimeout;
    limits.requestsPerSecond = requestsPerSecond(d->settings);
    limits.bodies = d->bodies;
    limits.heads = d->clientHeads;
    d->clientServer
        = std::make_unique<http_server>(d->settings.callers, limits, [this](http_exchange &exchange) { d->serveClient(exchange); });
    limits.requestsPerSecond = 0;
    limits.heads.reset();
    limits.maximumThreads = readinessThreads;
    d->readinessServer
        = std::make_unique<http_server>(d->settings.readiness, limits, [this](http_exchange &exchange) { d->answerReadiness(exchange); });
    // Tunnels that wait for room hold a thread as well.
    limits.maximumThreads = operatorThreads + 2 * tunnelCapacity(d->settings);
    d->operatorServer
        = std::make_unique<http_server>(d->settings.peers, limits, [this](http_exchange &exchange) { d->answerPeer(exchange); });
    if (!d->settings.isFirstStart) {
        d->store.recordTraffic();
    }
    d->reportContracts();
    d->dispatch.start();
    d->feed.start();
    d->paths.start();
    d->assembly.start();
    d->store.start();
    d->crashes.start();
}

void entry_daemon::stop()
{
    const auto asked = monotonicNow();
    const auto latest = asked + d->settings.stopGrace - stopMargin;
    daemonLog.write("stopping", {{"active", d->clientServer->activeRequests()}});
    d->relay.beginStop(latest - answerMargin);
    d->feed.endRelaying();
    d->tunnels.stopAccepting();
    d->paths.endTunnels();
    // Ends this daemon's term as coordinator. A slow key-value service may delay that, and the client connections must not wait for it.
    const shutdown_task termEnd([this] { d->assembly.stop(); });
    // New connections arrive until the load balancer has noticed. Idle ones are closed only afterwards, so that no request is sent on a
    // connection that is being closed.
    sleepUntil(asked + loadBalancerNoticeTime);
    daemonLog.write("finishing", {{"connections", d->clientServer->openConnections()}, {"active", d->clientServer->activeRequests()}});
    const shutdown_task clientFinish([this] { d->clientServer->finish(); });
    const auto isDone = [&] { return clientFinish.isDone() && termEnd.isDone() && d->admission.tunnels() == 0; };
    while (!isDone() && monotonicNow() < latest) {
        std::this_thread::sleep_for(stopPollPeriod);
    }
    daemonLog.write("stopped",
                    {{"connections", d->clientServer->openConnections()},
                     {"active", d->clientServer->activeRequests()},
                     {"log_lines_left_out", droppedLogLines()}});
    stopEventLog();
}

} // namespace vetchpost
