// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_runner.h"

#include "Libraries/Assembly/coordination_term.h"
#include "Libraries/Assembly/own_trouble.h"
#include "Libraries/Assembly/plan_pacing.h"
#include "Libraries/Base/digest.h"
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Entry/assembly_figures.h"
#include "Libraries/Entry/notice_pacing.h"
#include "Libraries/Entry/replica_looks.h"
#include "Libraries/Entry/standing_log.h"
#include "Libraries/Http/http_client.h"

#include <fmt/format.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
constexpr auto coordinatorKey = "vetchpost/coordinator";
/// How often the coordinator looks at its lease, and plans without being asked to.
constexpr duration coordinatorPeriod(150);
/// How often a daemon that hears no coordinator looks whether there is one; spread, so that not all try at once.
constexpr duration followerPeriod(500);
constexpr duration followerSpread(300);
/// An order is answered at once or never.
constexpr duration orderTimeout(400);
/// How often the coordinator logs what stands of each model.
constexpr duration standingLogPeriod(1000);
constexpr int orderThreads = 12;
constexpr int noticeThreads = 3;

} // namespace

struct assembly_runner::private_data
{
    const entry_settings &settings;
    key_value_service &keyValue;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    std::function<std::vector<model_demand>()> heldHere;
    answer_listener didAnswer;
    worker_pool orderWorkers{orderThreads};
    worker_pool noticeWorkers{noticeThreads};
    counter orders;
    counter takeovers;
    assembly_figures figures;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    bool mustPlan = false;
    instant nextStandingLog;
    std::optional<coordination_term> term;
    instant termSince;
    std::map<service_id, assembly_state> assemblies;
    std::map<instance_id, instant> lastNotices;
    replica_looks looks;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 key_value_service &service,
                 const entry_dialect &words,
                 store_follower &follower,
                 peer_feed &peers,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> held,
                 const answer_listener &tellAnswer)
        : settings(entrySettings)
        , keyValue(service)
        , dialect(words)
        , store(follower)
        , feed(peers)
        , heldHere(std::move(held))
        , didAnswer(tellAnswer)
        , orders(counters.addCounter("vetchpost_orders_total", "Orders sent to replicas."))
        , takeovers(counters.addCounter("vetchpost_takeovers_total", "Times that this daemon became coordinator."))
        , figures(counters)
        , looks(
              service, words, follower, peers, figures, counters, [this] { planSoon(); }, tellAnswer)
    {
    }

    /// What is known has changed.
    void planSoon()
    {
        {
            const std::lock_guard lock(mutex);
            mustPlan = true;
        }
        wake.notify_all();
    }

    // Coordination.

    void run()
    {
        const auto spread = hashOf(settings.daemon.value()) % static_cast<std::uint64_t>(followerSpread.count());
        const auto pauseOfFollower = followerPeriod + duration(static_cast<std::int64_t>(spread));
        instant nextTry = monotonicNow() + duration(static_cast<std::int64_t>(spread));
        duration planTime{};
        for (;;) {
            const auto now = monotonicNow();
            if (mustHandOver(now)) {
                handOver();
                nextTry = now + restAfterTrouble;
            } else if (holdsTerm(now)) {
                renewIfDue(now);
                const auto planStart = monotonicNow();
                plan();
                planTime = monotonicNow() - planStart;
            } else if (now >= nextTry) {
                giveUpTerm();
                if (!feed.isSourceActive()) {
                    tryToCoordinate();
                    nextTry = monotonicNow() + pauseOfFollower;
                }
            }
            std::unique_lock lock(mutex);
            // Changes and answers come in bursts: what comes together is planned together.
            wake.wait_for(lock, gatherTimeAfter(planTime), [this] { return isStopping; });
            wake.wait_for(lock, coordinatorPeriod, [this] { return isStopping || mustPlan; });
            if (isStopping) {
                return;
            }
            mustPlan = false;
        }
    }

    bool holdsTerm(instant now) const
    {
        const std::lock_guard lock(mutex);
        return isHeldFor(term, duration(), now);
    }

    void giveUpTerm()
    {
        const std::lock_guard lock(mutex);
        if (term) {
            assemblyLog.write("coordination_lost", {{"term", term->number}});
            term.reset();
            assemblies.clear();
            figures.clear();
            feed.setSource(false);
        }
    }

    /// Whether unrelated replicas and the key-value service have been silent to this coordinator together.
    bool mustHandOver(instant now) const
    {
        const std::lock_guard lock(mutex);
        return term && isRenewalLate(*term, settings.leaseTime, now) && looks.mustHandOver(now);
    }

    void handOver()
    {
        lease_number lease;
        {
            const std::lock_guard lock(mutex);
            lease = term->lease;
        }
        assemblyLog.write("handed_over", {{"why", "others do not answer this daemon"}});
        giveUpTerm();
        noticeWorkers.run([this, lease] { keyValue.endLease(lease); });
    }

    void tryToCoordinate()
    {
        reason why;
        // A stale look costs a tenth; only a current one says that there is nobody.
        for (const auto freshness : {read_freshness::may_be_stale, read_freshness::current}) {
            const auto entry = keyValue.get(coordinatorKey, freshness, why);
            if (!entry) {
                return;
            }
            if (entry->changed != key_revision()) {
                followCoordinator(entry->value);
                return;
            }
        }
        const auto asked = monotonicNow();
        const auto lease = keyValue.grantLease(settings.leaseTime, why);
        if (!lease) {
            return;
        }
        const auto result = keyValue.compareAndSwap(coordinatorKey, key_revision(), settings.peers.text(), *lease);
        if (result.outcome != swap_outcome::applied) {
            // Whatever came of a write without an answer, its key goes with the lease.
            keyValue.endLease(*lease);
            return;
        }
        takeTerm({result.changed.value(), *lease, asked + settings.leaseTime});
    }

    void followCoordinator(const std::string &address)
    {
        const auto peer = parseEndpoint(address);
        if (!peer) {
            assemblyLog.write("coordinator_unreadable", {{"value", address}});
        } else if (*peer != settings.peers) {
            feed.follow(*peer);
        }
    }

    void takeTerm(const coordination_term &taken)
    {
        {
            const std::lock_guard lock(mutex);
            term = taken;
            termSince = monotonicNow();
            assemblies.clear();
        }
        looks.forget();
        takeovers.increment();
        assemblyLog.write("coordination_taken", {{"term", taken.number}});
        // Nothing is planned before a listing that began after the predecessor's term had ended.
        feed.setSource(true);
        store.listAgain();
    }

    void renewIfDue(instant now)
    {
        coordination_term held;
        {
            const std::lock_guard lock(mutex);
            held = *term;
        }
        if (!isRenewalDue(held, settings.leaseTime, now)) {
            return;
        }
        reason why;
        const auto isRenewed = keyValue.renewLease(held.lease, why);
        if (!isRenewed) {
            return;
        }
        if (!*isRenewed) {
            giveUpTerm();
            return;
        }
        const std::lock_guard lock(mutex);
        if (term && term->number == held.number) {
            term->leaseUntil = now + settings.leaseTime;
        }
    }

    // Planning.

    void plan()
    {
        const auto routes = store.routes();
        // Asked before the directory, which may become newer in between, but not older.
        const auto listedAt = store.listedAt();
        const auto directory = store.directory();
        const auto now = monotonicNow();
        const auto silence = looks.report(*directory, now);
        std::vector<replica_order> planned;
        std::uint64_t number = 0;
        {
            const std::lock_guard lock(mutex);
            if (!term) {
                return;
            }
            if (!routes || !listedAt || *listedAt < termSince) {
                logWaiting(routes ? "no listing that was asked for in this term" : "no configuration", now);
                return;
            }
            number = term->number;
            for (const auto &service : routes->configuration().services) {
                if (service.engine) {
                    planService(service, *directory, silence, now, planned);
                }
            }
        }
        for (auto &order : planned) {
            orderWorkers.run([this, sent = std::move(order), number] { perform(sent, number); });
        }
    }

    /// The mutex is held.
    void logWaiting(const char *why, instant now)
    {
        if (now >= nextStandingLog) {
            nextStandingLog = now + standingLogPeriod;
            assemblyLog.write("planning_waits", {{"why", why}, {"for_ms", (now - termSince).count()}});
        }
    }

    /// The mutex is held.
    void planService(const served_service &service,
                     const replica_directory &directory,
                     const silence_report &silence,
                     instant now,
                     std::vector<replica_order> &planned)
    {
        auto &assembly = assemblies[service.id];
        assembly.term = term->number;
        assembly.policy.silentHeadWait = settings.stallTime;
        noteDemand(assembly.demand, demandOf(service.id), now);
        const assembly_view view{directory,
                                 service.id,
                                 *service.engine,
                                 silence.suspects,
                                 !feed.hasTraffic(),
                                 now,
                                 silence.notLeaving,
                                 store.followedSince().value_or(now)};
        auto next = planAssembly(assembly, view);
        if (!assembly.decisions.empty() || now >= nextStandingLog) {
            figures.noteStandings(service.id, standingOf(assembly, *service.engine), assembly.idleSince.size(), now);
        }
        for (const auto &decision : assembly.decisions) {
            assemblyLog.write("decided", {{"term", term->number}, {"what", decision}});
        }
        assembly.decisions.clear();
        if (now >= nextStandingLog) {
            nextStandingLog = now + standingLogPeriod;
            logStanding(view, assembly);
        }
        std::move(next.begin(), next.end(), std::back_inserter(planned));
    }

    /// Requests of each model that all daemons hold.
    std::map<model_id, int> demandOf(const service_id &service) const
    {
        auto demand = store.followersDemand(service);
        for (const auto &here : heldHere()) {
            if (here.service == service) {
                demand[here.model] += here.outstanding;
            }
        }
        return demand;
    }

    void perform(const replica_order &order, std::uint64_t number)
    {
        bool isAllowed = false;
        {
            // This thread may have been held up: the term is looked at once more right before the order leaves.
            const std::lock_guard lock(mutex);
            isAllowed = term && term->number == number && isHeldFor(term, orderTimeout, monotonicNow());
        }
        order_answer answer;
        std::string text = "not sent";
        if (!isStillDue(order, !feed.hasTraffic())) {
            answer.result = order_result::withheld;
        } else if (isAllowed) {
            answer = send(order, text);
        }
        assemblyLog.write("order",
                          {{"kind", static_cast<int>(order.kind)},
                           {"replica", order.to.value()},
                           {"group", order.group.value()},
                           {"formed", order.formed.value()},
                           {"expected", order.expectedOrders},
                           {"result", static_cast<int>(answer.result)},
                           {"answer", text}});
        {
            const std::lock_guard lock(mutex);
            for (auto &[service, assembly] : assemblies) {
                noteOrderResult(assembly, order, answer, monotonicNow());
            }
        }
        planSoon();
    }

    order_answer send(const replica_order &order, std::string &text)
    {
        orders.increment();
        auto call = dialect.orderCall(order);
        call.connectTimeout = orderTimeout;
        call.receiveTimeout = orderTimeout;
        reason why;
        const auto reply = sendOnFreshConnection(call, why);
        if (reply) {
            text = fmt::format("{} {}", reply->status, reply->body);
            if (dialect.isLivenessAnswer(*reply)) {
                didAnswer(order.to, *reply);
            }
            return dialect.readOrderAnswer(order, *reply);
        }
        text = why.text;
        const bool isRefused = why.kind == error_kind::backend_unreachable && why.text.find("refused") != std::string::npos;
        return {isRefused ? order_result::gone : order_result::unknown, 0};
    }

    // Groups that stand still.

    bool mayTellOf(const instance_id &head)
    {
        const std::lock_guard lock(mutex);
        return mayNotice(lastNotices, head, monotonicNow());
    }

    void takeStall(const instance_id &head)
    {
        if (holdsTerm(monotonicNow())) {
            looks.lookAtGroup(head);
            return;
        }
        if (!feed.tellStall({settings.daemon, head})) {
            assemblyLog.write("stall_not_told", {{"head", head.value()}, {"why", "no coordinator is known"}});
        }
    }

    void hearStall(const stall_report &notice)
    {
        if (holdsTerm(monotonicNow())) {
            looks.lookAtGroup(notice.replica);
        }
    }
};

assembly_runner::assembly_runner(const entry_settings &settings,
                                 key_value_service &keyValue,
                                 const entry_dialect &dialect,
                                 store_follower &store,
                                 peer_feed &feed,
                                 metrics &counters,
                                 std::function<std::vector<model_demand>()> heldHere,
                                 const answer_listener &didAnswer)
    : d(std::make_unique<private_data>(settings, keyValue, dialect, store, feed, counters, std::move(heldHere), didAnswer))
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
    d->looks.stop();
    d->orderWorkers.stop();
    d->noticeWorkers.stop();
    const std::lock_guard lock(d->mutex);
    if (d->term) {
        // A successor need not wait for the lease to lapse.
        d->keyValue.endLease(d->term->lease);
        d->term.reset();
        d->feed.setSource(false);
    }
}

void assembly_runner::replan()
{
    d->planSoon();
}

void assembly_runner::hearStall(const stall_report &notice)
{
    d->hearStall(notice);
}

void assembly_runner::noteStall(const instance_id &head)
{
    if (d->mayTellOf(head)) {
        d->noticeWorkers.run([this, head] { d->takeStall(head); });
    }
}

} // namespace vetchpost
