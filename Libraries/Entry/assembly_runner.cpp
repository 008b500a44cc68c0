// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_runner.h"

#include "Libraries/Assembly/plan_pacing.h"
#include "Libraries/Assembly/self_check.h"
#include "Libraries/Base/digest.h"
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Entry/assembly_metrics.h"
#include "Libraries/Entry/coordination.h"
#include "Libraries/Entry/daemon_counting.h"
#include "Libraries/Entry/group_status_log.h"
#include "Libraries/Entry/order_delivery.h"
#include "Libraries/Entry/replica_prober.h"
#include "Libraries/Entry/stall_reporting.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
/// How often the coordinator checks its lease and plans without a trigger.
constexpr duration coordinatorPeriod(150);
/// How often a daemon without a source checks whether there is a coordinator.
constexpr duration followerPeriod(500);
/// Range of a per-daemon offset that is added to followerPeriod, so that not all daemons try to become the coordinator at once.
constexpr duration followerSpread(300);
/// How often the coordinator logs the status of each model's groups.
constexpr duration statusLogPeriod(1000);
constexpr int orderThreads = 12;
constexpr int reportThreads = 3;

} // namespace

struct assembly_runner::private_data
{
    const entry_settings &settings;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    replica_paths &paths;
    coordination coordinator;
    std::function<std::vector<model_demand>()> localDemand;
    answer_listener didAnswer;
    worker_pool orderWorkers{orderThreads};
    worker_pool reportWorkers{reportThreads};
    counter orders;
    counter takeovers;
    assembly_metrics groupMetrics;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    bool mustPlan = false;
    instant nextStatusLog;
    /// When this daemon last became the coordinator. Used by the planning thread only.
    instant termSince;
    std::map<service_id, assembly_state> assemblies;
    replica_prober prober;
    stall_reporting stallReports;
    daemon_counting daemonCounting;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 key_value_service &service,
                 const entry_dialect &entryDialect,
                 store_follower &follower,
                 peer_feed &peers,
                 replica_paths &replicaPaths,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> demandSource,
                 const answer_listener &answerListener)
        : settings(entrySettings)
        , dialect(entryDialect)
        , store(follower)
        , feed(peers)
        , paths(replicaPaths)
        , coordinator(entrySettings, service)
        , localDemand(std::move(demandSource))
        , didAnswer(answerListener)
        , orders(counters.addCounter("vetchpost_orders_total", "Orders sent to replicas."))
        , takeovers(counters.addCounter("vetchpost_takeovers_total", "Times that this daemon became coordinator."))
        , groupMetrics(counters)
        , prober(
              service, entryDialect, follower, peers, replicaPaths, groupMetrics, counters, [this] { planSoon(); }, answerListener)
        , stallReports(entrySettings.daemon, coordinator, prober, peers)
        , daemonCounting(service, peers, reportWorkers)
    {
    }

    /// Wakes the planning thread.
    void planSoon()
    {
        {
            const std::lock_guard lock(mutex);
            mustPlan = true;
        }
        wake.notify_all();
    }

    // Coordination

    void run()
    {
        const auto spread = hashOf(settings.daemon.value()) % static_cast<std::uint64_t>(followerSpread.count());
        const auto followerPause = followerPeriod + duration(static_cast<std::int64_t>(spread));
        instant nextAttempt = monotonicNow() + duration(static_cast<std::int64_t>(spread));
        duration planTime{};
        for (;;) {
            const auto now = monotonicNow();
            coordinator.recordEra(now);
            if (mustHandOver(now)) {
                handOver();
                nextAttempt = now + handOverBackoff;
            } else if (coordinator.isHeld(duration(), now)) {
                if (!coordinator.renewIfDue(now)) {
                    endTerm();
                }
                daemonCounting.update(now);
                const auto planStart = monotonicNow();
                plan();
                planTime = monotonicNow() - planStart;
            } else if (now >= nextAttempt) {
                endTerm();
                if (!feed.isSourceActive()) {
                    tryToBecomeCoordinator();
                    nextAttempt = monotonicNow() + followerPause;
                }
            }
            std::unique_lock lock(mutex);
            // Changes and answers arrive in bursts, which are gathered into one plan.
            wake.wait_for(lock, batchDelayAfter(planTime), [this] { return isStopping; });
            wake.wait_for(lock, coordinatorPeriod, [this] { return isStopping || mustPlan; });
            if (isStopping) {
                return;
            }
            mustPlan = false;
        }
    }

    /// Discards the state of a term that has ended; does nothing without one. Returns the term.
    std::optional<coordination_term> endTerm()
    {
        const auto term = coordinator.forget();
        if (term) {
            const std::lock_guard lock(mutex);
            assemblyLog.write("coordination_lost", {{"term", termNumber(*term)}});
            assemblies.clear();
            groupMetrics.clear();
            feed.setSource(false);
        }
        return term;
    }

    /// Whether neither unrelated replicas nor the key-value service answer this coordinator, so that the fault is likely its own.
    bool mustHandOver(instant now) const
    {
        return coordinator.isRenewalLate(now) && prober.mustHandOver(now);
    }

    /// Ends the term and its lease, so that another daemon can become the coordinator.
    void handOver()
    {
        assemblyLog.write("handed_over", {{"why", "others do not answer this daemon"}});
        if (const auto term = endTerm()) {
            reportWorkers.run([this, ended = *term] { coordinator.endLease(ended); });
        }
    }

    void tryToBecomeCoordinator()
    {
        if (const auto other = coordinator.tryToBegin()) {
            followCoordinator(*other);
        } else if (const auto term = coordinator.term()) {
            beginTerm(*term);
        }
    }

    void followCoordinator(const std::string &address)
    {
        const auto peer = parseEndpoint(address);
        if (!peer) {
            assemblyLog.write("coordinator_unreadable", {{"value", address}});
        } else if (*peer != announcedPeers(settings)) {
            feed.follow(*peer);
        }
    }

    void beginTerm(const coordination_term &term)
    {
        {
            const std::lock_guard lock(mutex);
            termSince = monotonicNow();
            assemblies.clear();
        }
        prober.reset();
        takeovers.increment();
        assemblyLog.write("coordination_taken", {{"term", termNumber(term)}});
        // Planning waits for a listing that began after the predecessor's term had ended.
        feed.setSource(true);
        daemonCounting.update(termSince);
        store.relist();
    }

    // Planning

    void plan()
    {
        const auto routes = store.routes();
        // Read before the directory, which may become newer in between, but not older.
        const auto listedAt = store.listedAt();
        const auto directory = store.directory();
        const auto evacuated = store.evacuatedDataCentres();
        const auto now = monotonicNow();
        const auto silence = prober.report(*directory, now);
        std::vector<replica_order> planned;
        const auto term = coordinator.term();
        if (!term || !coordinator.isOfPresentEra(*term)) {
            return;
        }
        {
            const std::lock_guard lock(mutex);
            if (!coordinator.hasServiceSettled(now) && !store.isEraSettled()) {
                logWaiting("the key-value service may have come back from an older copy", now);
                return;
            }
            if (!routes || !listedAt || *listedAt < termSince) {
                logWaiting(routes ? "no listing that was asked for in this term" : "no configuration", now);
                return;
            }
            if (!evacuated || !store.areEvacuationsKnownSince(termSince)) {
                logWaiting("the evacuated data centres are not known as of this term", now);
                return;
            }
            for (const auto &service : routes->configuration().services) {
                if (service.engine) {
                    planService(termNumber(*term), service, *directory, *evacuated, silence, now, planned);
                }
            }
        }
        for (auto &order : planned) {
            orderWorkers.run([this, sent = std::move(order), plannedIn = term->created] { perform(sent, plannedIn); });
        }
    }

    /// Logs at most once a period why nothing is planned. Requires the mutex to be held.
    void logWaiting(const char *why, instant now)
    {
        if (now >= nextStatusLog) {
            nextStatusLog = now + statusLogPeriod;
            assemblyLog.write("planning_waits", {{"why", why}, {"for_ms", (now - termSince).count()}});
        }
    }

    /// Plans one service and appends its orders to \a planned. Requires the mutex to be held.
    void planService(std::uint64_t termNumber,
                     const served_service &service,
                     const replica_directory &directory,
                     const std::set<data_centre_id> &evacuated,
                     const suspicion_report &silence,
                     instant now,
                     std::vector<replica_order> &planned)
    {
        auto &assembly = assemblies[service.id];
        assembly.term = termNumber;
        updateDemand(assembly.demand, demandOf(service.id), now);
        const assembly_view view{directory,
                                 service.id,
                                 *service.engine,
                                 silence.suspects,
                                 !feed.hasTraffic(),
                                 now,
                                 silence.notLeaving,
                                 store.followedSince().value_or(now),
                                 evacuated};
        auto next = planAssembly(assembly, view);
        if (!assembly.decisions.empty() || now >= nextStatusLog) {
            groupMetrics.recordModels(service.id, groupCounts(assembly, *service.engine), assembly.idleSince.size(), now);
        }
        for (const auto &decision : assembly.decisions) {
            assemblyLog.write("decided", {{"term", termNumber}, {"what", decision}});
        }
        assembly.decisions.clear();
        if (now >= nextStatusLog) {
            nextStatusLog = now + statusLogPeriod;
            logGroupStatus(view, assembly);
        }
        std::move(next.begin(), next.end(), std::back_inserter(planned));
    }

    /// The number of requests for each model of a service that all daemons hold.
    std::map<model_id, int> demandOf(const service_id &service) const
    {
        auto demand = store.followersDemand(service);
        for (const auto &here : localDemand()) {
            if (here.service == service) {
                demand[here.model] += here.outstanding;
            }
        }
        return demand;
    }

    /// Sends an order of the term whose key was created at \a plannedIn, unless the term has ended or the order is no longer due, and
    /// records the result.
    void perform(const replica_order &order, store_revision plannedIn)
    {
        order_delivery delivery;
        if (!isStillDue(order, !feed.hasTraffic())) {
            delivery.answer.result = order_result::withheld;
        } else if (coordinator.isHeld(plannedIn, orderTimeout, monotonicNow())) {
            // This thread may have been delayed, so the term is checked again right before the order is sent.
            orders.increment();
            delivery = sendOrder(dialect, paths, addressFor(order, *store.directory()), order, orderTimeout, didAnswer);
        }
        logOrder(order, delivery);
        {
            const std::lock_guard lock(mutex);
            for (auto &[service, assembly] : assemblies) {
                recordOrderResult(assembly, order, delivery.answer, monotonicNow());
            }
        }
        planSoon();
    }
};

assembly_runner::assembly_runner(const entry_settings &settings,
                                 key_value_service &keyValue,
                                 const entry_dialect &dialect,
                                 store_follower &store,
                                 peer_feed &feed,
                                 replica_paths &paths,
                                 metrics &counters,
                                 std::function<std::vector<model_demand>()> localDemand,
                                 const answer_listener &didAnswer)
    : d(std::make_unique<private_data>(settings, keyValue, dialect, store, feed, paths, counters, std::move(localDemand), didAnswer))
{
}

assembly_runner::~assembly_runner()
{
    stop();
}

void assembly_runner::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void assembly_runner::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        if (d->isStopping) {
            return;
        }
        d->isStopping = true;
    }
    d->wake.notify_all();
    if (d->thread.joinable()) {
        d->thread.join();
    }
    d->prober.stop();
    d->orderWorkers.stop();
    d->reportWorkers.stop();
    if (const auto term = d->coordinator.forget()) {
        // Ends the lease so that a successor need not wait for it to expire.
        d->coordinator.endLease(*term);
        d->feed.setSource(false);
    }
}

void assembly_runner::replan()
{
    d->planSoon();
}

void assembly_runner::handleStallReport(const stall_report &report)
{
    d->stallReports.handle(report);
}

void assembly_runner::reportStall(const instance_id &head)
{
    if (d->stallReports.admit(head)) {
        d->reportWorkers.run([this, head] { d->stallReports.process(head); });
    }
}

} // namespace vetchpost
