// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_daemon.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Base/version.h"
#include "Libraries/Entry/assembly_runner.h"
#include "Libraries/Entry/crash_interface.h"
#include "Libraries/Entry/daemon_figures.h"
#include "Libraries/Entry/request_run.h"
#include "Libraries/Platform/measured_store.h"
#include "Libraries/Platform/paced_service.h"
#include "Libraries/Routing/key_bound.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log daemonLog("daemon");
/// The balancer asks every second and takes a daemon out after two misses; new connections come until then.
constexpr duration balancerNotice(2500);
/// What is left of the stop grace when the process ends by itself.
constexpr duration stopMargin(600);
constexpr duration stopPollPeriod(50);
constexpr std::size_t callerStackBytes = 128U * 1024U;
constexpr int readinessThreads = 4;
constexpr auto metricsPath = "/metrics";
/// Clients use connections again that were idle for a little less than the configured idle time.
constexpr duration keepAliveTimeout(20000);
constexpr duration headerTimeout(6000);

} // namespace

namespace {

/// Work at the end of the process on a thread of its own. Nobody waits for it beyond the stop grace: what is still at work then is cut by
/// the end of the process, a moment before the platform would do it.
class last_work
{
public:
    explicit last_work(std::function<void()> work)
        : m_isDone(std::make_shared<std::atomic<bool>>(false))
        , m_thread([work = std::move(work), isDone = m_isDone] {
            work();
            *isDone = true;
        })
    {
    }

    ~last_work()
    {
        if (*m_isDone) {
            m_thread.join();
        } else {
            m_thread.detach();
        }
    }

    last_work(const last_work &) = delete;
    last_work &operator=(const last_work &) = delete;

    bool isDone() const
    {
        return *m_isDone;
    }

private:
    std::shared_ptr<std::atomic<bool>> m_isDone;
    std::thread m_thread;
};

} // namespace

struct entry_daemon::private_data
{
    entry_settings settings;
    metrics counters;
    std::unique_ptr<entry_dialect> dialect;
    std::unique_ptr<key_value_service> keyValue;
    std::mutex viewMutex;
    entry_view_builder views;
    entry_view_snapshot view;
    store_follower store;
    shared_suspects suspects;
    shared_constraints constraints;
    peer_feed feed;
    assembly_runner assembly;
    crash_guard crashes;
    relay_context relay;
    daemon_figures standing;
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> readiness;
    std::unique_ptr<http_server> figures;

    private_data(const entry_settings &entrySettings, std::unique_ptr<entry_dialect> words, const store_maker &makeStore)
        : settings(entrySettings)
        , dialect(std::move(words))
        , keyValue(std::make_unique<paced_service>(std::make_unique<measured_store>(makeStore(settings.keyValue, counters), counters),
                                                   dialect->configurationKey()))
        , store(
              *keyValue,
              *dialect,
              feedTiming(oldestConfiguration(settings)),
              counters,
              [this] { rebuildView(); },
              [this](const std::vector<replica_key> &replicas) {
                  if (constraints.noteDepartures(replicas)) {
                      feed.spreadTables();
                  }
              })
        , suspects(counters)
        , constraints(counters, [this] { store.noteLeaving(constraints.leaving()); })
        , feed(
              settings,
              store,
              suspects,
              constraints,
              counters,
              [this] { return relay.held.counts(); },
              [this](const stall_report &notice) { assembly.hearStall(notice); },
              [this](const group_stall_warning &doubt) { relay.doubt(doubt.head); })
        , assembly(
              settings,
              *keyValue,
              *dialect,
              store,
              feed,
              counters,
              [this] { return relay.held.counts(); },
              [this](const instance_id &replica, const http_reply &reply) { noteReply(replica, reply); })
        , crashes(*keyValue, *dialect, store, feed, suspects)
        , relay(settings,
                *dialect,
                store,
                feed,
                view,
                crashes,
                constraints,
                counters,
                [this](const instance_id &head) { assembly.noteStall(head); })
        , standing(counters)
    {
    }

    /// A replica has answered a call of the daemon's own. Such an answer may say what a replica can take, but lacks nothing where it does
    /// not.
    void noteReply(const instance_id &replica, const http_reply &reply)
    {
        auto notice = dialect->readNotice(reply.status, reply.headers);
        notice.tellsAll = false;
        const auto directory = store.directory();
        const auto known = directory->replicas.find(replica);
        if (known != directory->replicas.end() && constraints.noteAnswer({replica, known->second.life}, notice)) {
            feed.spreadTables();
        }
    }

    void rebuildView()
    {
        {
            const std::lock_guard lock(viewMutex);
            // Asked before the directory, which may become newer in between, but not older.
            const bool isListed = store.listedAt().has_value();
            view.replace(views.build(store.routes(), *store.directory(), isListed, settings.dataCentre));
        }
        assembly.replan();
    }

    bool isReady() const
    {
        const key_bound bound{settings.keyRevocation, settings.isKeyRevocationStrict};
        return !relay.isDraining && store.listedAt() && areKeysUsableForAWhile(bound, store.configurationKnowledge(), monotonicNow());
    }

    void serveCaller(http_exchange &exchange)
    {
        store.noteTraffic();
        feed.noteTraffic();
        request_run(relay, exchange).serve();
    }

    daemon_standing standingNow() const
    {
        const auto routes = store.routes();
        const auto currentAt = store.configurationCurrentAt();
        daemon_standing now;
        now.configurationVersion = routes ? routes->configuration().version : 0;
        now.configurationAge = currentAt ? std::optional(monotonicNow() - *currentAt) : std::nullopt;
        now.replicas = store.directory()->replicas.size();
        now.daemons = feed.daemons().value_or(0);
        now.connections = static_cast<std::size_t>(callers->openConnections());
        now.requests = static_cast<std::size_t>(callers->activeRequests());
        now.crashingRequests = suspects.refused().size();
        const auto constrained = constraints.counts();
        now.restingReplicas = constrained.resting;
        now.limitedReplicas = constrained.limited;
        now.leavingReplicas = constrained.leaving;
        now.linesLeftOut = droppedLogLinesByPart();
        return now;
    }

    void answerOperator(http_exchange &exchange)
    {
        constexpr int found = 200;
        constexpr int notFound = 404;
        if (exchange.path() == crashingRequestsPath) {
            answerCrashingRequests(exchange, suspects);
            feed.spreadTables();
            return;
        }
        const bool isKnown = exchange.path() == metricsPath;
        if (isKnown) {
            standing.show(standingNow());
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
    // The threads call each other's parts: all of them end before any part goes.
    d->callers.reset();
    d->readiness.reset();
    d->figures.reset();
    d->assembly.stop();
    d->crashes.stop();
    d->feed.stop();
    d->store.stop();
    // The log's thread asks for what the requests have left to tell.
    stopEventLog();
}

void entry_daemon::start()
{
    setEventLogDaemon(d->settings.daemon.value());
    setEventLogOn(d->settings.isLogOn);
    startEventLog([this] { d->relay.callRoll(); });
    daemonLog.write("started",
                    {{"version", programVersion},
                     {"settings", d->settings.digest},
                     {"callers", d->settings.callers.text()},
                     {"data_centre", d->settings.dataCentre.value()}});
    http_server_limits limits;
    limits.maximumThreads = d->settings.maximumConnections;
    limits.threadStackBytes = callerStackBytes;
    limits.requestTimeout = headerTimeout;
    limits.keepAliveTimeout = keepAliveTimeout;
    d->callers = std::make_unique<http_server>(d->settings.callers, limits, [this](http_exchange &exchange) { d->serveCaller(exchange); });
    limits.maximumThreads = readinessThreads;
    d->readiness
        = std::make_unique<http_server>(d->settings.readiness, limits, [this](http_exchange &exchange) { d->answerReadiness(exchange); });
    d->figures = std::make_unique<http_server>(d->settings.peers, limits, [this](http_exchange &exchange) { d->answerOperator(exchange); });
    if (!d->settings.isFirstStart) {
        d->store.noteTraffic();
    }
    d->feed.start();
    d->assembly.start();
    d->store.start();
    d->crashes.start();
}

void entry_daemon::stop()
{
    const auto asked = monotonicNow();
    const auto latest = asked + d->settings.stopGrace - stopMargin;
    daemonLog.write("stopping", {{"active", d->callers->activeRequests()}});
    d->relay.isDraining = true;
    d->feed.endPassingOn();
    // It hands the coordination over, which a slow key-value service may hold up; the callers' connections must not wait for that.
    const last_work handingOver([this] { d->assembly.stop(); });
    // New connections come until the balancer has noticed; idle ones are closed only after it, so that nothing is sent into a close.
    sleepUntil(asked + balancerNotice);
    daemonLog.write("finishing", {{"connections", d->callers->openConnections()}, {"active", d->callers->activeRequests()}});
    const last_work finishing([this] { d->callers->finish(); });
    while (!(finishing.isDone() && handingOver.isDone()) && monotonicNow() < latest) {
        std::this_thread::sleep_for(stopPollPeriod);
    }
    daemonLog.write("stopped",
                    {{"connections", d->callers->openConnections()},
                     {"active", d->callers->activeRequests()},
                     {"log_lines_left_out", droppedLogLines()}});
    stopEventLog();
}

} // namespace vetchpost
