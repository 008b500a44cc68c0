// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_runner.h"

#include "Libraries/Assembly/coordination_term.h"
#include "Libraries/Assembly/death_witnesses.h"
#include "Libraries/Assembly/domain_summary.h"
#include "Libraries/Base/digest.h"
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Entry/assembly_figures.h"
#include "Libraries/Http/http_client.h"

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
constexpr auto coordinatorKey = "vetchpost/coordinator";
/// How often the coordinator looks at its lease, and plans without being asked to.
constexpr duration coordinatorPeriod(150);
/// The least time between two plans: at 228 replicas a plan and its bookkeeping take about a millisecond of a core of which a daemon has an
/// eighth.
constexpr duration planGatherTime(10);
/// How often a daemon that hears no coordinator looks whether there is one; spread, so that not all try at once.
constexpr duration followerPeriod(500);
constexpr duration followerSpread(300);
/// An order is answered at once or never.
constexpr duration orderTimeout(400);
/// A live replica answers a direct look at once, also under load.
constexpr duration lookTimeout(200);
/// A replica that did not answer is believed dead for so long, unless it answers or its entry goes.
constexpr duration suspicionTime(10000);
/// How often a member without an entry is looked at.
constexpr duration unlistedLookPeriod(800);
/// ... and one that did not answer: within the time for which it is suspected.
constexpr duration silentLookPeriod(4000);
/// How often the coordinator logs what stands of each model.
constexpr duration standingLogPeriod(1000);
constexpr int orderThreads = 12;
constexpr int noticeThreads = 3;
/// A daemon tells of the same group again after this time.
constexpr duration noticePeriod(400);

} // namespace

struct assembly_runner::private_data
{
    const entry_settings &settings;
    key_value_service &keyValue;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    std::function<std::vector<model_demand>()> heldHere;
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
    std::map<instance_id, instant> suspects;
    /// Of these the ones whose entry said afterwards that they do not leave.
    std::set<instance_id> notLeaving;
    std::map<instance_id, instant> lastLooks;
    std::map<instance_id, instant> lastNotices;
    death_witnesses witnesses;
    std::atomic<bool> hasTraffic = false;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 key_value_service &service,
                 const entry_dialect &words,
                 store_follower &follower,
                 peer_feed &peers,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> held)
        : settings(entrySettings)
        , keyValue(service)
        , dialect(words)
        , store(follower)
        , feed(peers)
        , heldHere(std::move(held))
        , orders(counters.addCounter("vetchpost_orders_total", "Orders sent to replicas."))
        , takeovers(counters.addCounter("vetchpost_takeovers_total", "Times that this daemon became coordinator."))
        , figures(counters)
        , hasTraffic(!entrySettings.isFirstStart)
    {
    }

    // Coordination.

    void run()
    {
        const auto spread = hashOf(settings.daemon.value()) % static_cast<std::uint64_t>(followerSpread.count());
        const auto pauseOfFollower = followerPeriod + duration(static_cast<std::int64_t>(spread));
        instant nextTry = monotonicNow() + duration(static_cast<std::int64_t>(spread));
        for (;;) {
            const auto now = monotonicNow();
            if (holdsTerm(now)) {
                renewIfDue(now);
                plan();
            } else if (now >= nextTry) {
                giveUpTerm();
                if (!feed.isSourceHeard()) {
                    tryToCoordinate();
                    nextTry = monotonicNow() + pauseOfFollower;
                }
            }
            std::unique_lock lock(mutex);
            // Changes and answers come in bursts: what comes together is planned together.
            wake.wait_for(lock, planGatherTime, [this] { return isStopping; });
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
            suspects.clear();
            notLeaving.clear();
        }
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
        const auto directory = store.directory();
        const auto listedAt = store.listedAt();
        const auto now = monotonicNow();
        std::vector<replica_order> planned;
        std::uint64_t number = 0;
        {
            const std::lock_guard lock(mutex);
            if (!routes || !term || !listedAt || *listedAt < termSince) {
                return;
            }
            number = term->number;
            dropOldSuspicions(*directory, now);
            lookAtUnlisted(*directory, now);
            for (const auto &service : routes->configuration().services) {
                if (service.engine) {
                    planService(service, *directory, now, planned);
                }
            }
        }
        for (auto &order : planned) {
            orderWorkers.run([this, sent = std::move(order), number] { perform(sent, number); });
        }
    }

    void planService(const served_service &service, const replica_directory &directory, instant now, std::vector<replica_order> &planned)
    {
        auto &assembly = assemblies[service.id];
        assembly.term = term->number;
        assembly.policy.silentHeadWait = settings.stallTime;
        std::set<instance_id> suspected;
        for (const auto &[id, until] : suspects) {
            suspected.insert(id);
        }
        forgetOldLooks(witnesses, now);
        // A leaving replica stops listening before it has finished: only one that does not leave is dead when it is silent.
        auto dead = confirmedDead(witnesses, now);
        std::erase_if(dead, [&](const instance_id &id) { return !notLeaving.contains(id); });
        noteDemand(assembly.demand, demandOf(service.id), now);
        const assembly_view view{directory, service.id, *service.engine, suspected, dead, !hasTraffic.load(), now, notLeaving};
        auto next = planAssembly(assembly, view);
        if (!assembly.decisions.empty() || now >= nextStandingLog) {
            figures.noteStandings(service.id, standingOf(assembly, *service.engine), assembly.idleSince.size(), now);
        }
        for (const auto &decision : assembly.decisions) {
            assemblyLog.write("decided", {{"term", term->number}, {"what", decision}});
        }
        assembly.decisions.clear();
        logStanding(view, assembly, now);
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

    void logStanding(const assembly_view &view, const assembly_state &assembly, instant now)
    {
        if (now < nextStandingLog) {
            return;
        }
        nextStandingLog = now + standingLogPeriod;
        assemblyLog.write("domains", {{"service", view.service.value()}, {"what", summariseDomains(assembly, view)}});
        for (const auto &model : standingOf(assembly, view.engine)) {
            assemblyLog.write("standing",
                              {{"service", view.service.value()},
                               {"model", model.model.value()},
                               {"wanted", model.wanted},
                               {"requests", model.requests},
                               {"serving", model.serving},
                               {"forming", model.forming},
                               {"ending", model.ending},
                               {"usable", assembly.usable},
                               {"free", assembly.idleSince.size()},
                               {"suspected", view.suspects.size()},
                               {"loading", assembly.stagings.size()}});
        }
    }

    void dropOldSuspicions(const replica_directory &directory, instant now)
    {
        std::erase_if(suspects, [&](const auto &entry) { return entry.second <= now || !directory.replicas.contains(entry.first); });
        std::erase_if(notLeaving, [&](const instance_id &id) { return !suspects.contains(id); });
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
        if (isAllowed) {
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
            mustPlan = true;
        }
        wake.notify_all();
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
            return dialect.readOrderAnswer(order, *reply);
        }
        text = why.text;
        const bool isRefused = why.kind == error_kind::backend_unreachable && why.text.find("refused") != std::string::npos;
        return {isRefused ? order_result::gone : order_result::unknown, 0};
    }

    // Direct looks.

    /// A member without an entry is believed as long as it answers.
    void lookAtUnlisted(const replica_directory &directory, instant now)
    {
        for (const auto &[id, replica] : directory.replicas) {
            auto &last = lastLooks[id];
            const auto period = suspects.contains(id) ? silentLookPeriod : unlistedLookPeriod;
            if (replica.isUnlisted && now - last >= period) {
                last = now;
                orderWorkers.run([this, looked = replica] { look(looked); });
            }
        }
        std::erase_if(lastLooks, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    }

    void lookAtGroup(const instance_id &head)
    {
        const auto directory = store.directory();
        const auto now = monotonicNow();
        const auto found = directory->replicas.find(head);
        if (found == directory->replicas.end() || !found->second.membership) {
            return;
        }
        figures.noteTold(head, now);
        for (const auto &[id, replica] : directory->replicas) {
            if (!replica.membership || replica.membership->group != found->second.membership->group) {
                continue;
            }
            {
                const std::lock_guard lock(mutex);
                auto &last = lastLooks[id];
                if (now - last < lookTimeout * 2 || suspects.contains(id)) {
                    continue;
                }
                last = now;
            }
            orderWorkers.run([this, looked = replica] { look(looked); });
        }
    }

    /// The head of the group that a replica says it stands in.
    std::optional<instance_id> headOfGroup(const served_replica &replica) const
    {
        const auto directory = store.directory();
        for (const auto &[id, other] : directory->replicas) {
            const bool isHead = replica.membership && other.membership && other.membership->group == replica.membership->group
                && other.membership->formed == replica.membership->formed && other.membership->rank == 0;
            if (isHead) {
                return id;
            }
        }
        return std::nullopt;
    }

    /// Whether the replica itself answers this daemon.
    bool answers(const served_replica &replica, reason &why) const
    {
        auto call = dialect.livenessCall(replica.id, replica.address);
        call.connectTimeout = lookTimeout;
        call.receiveTimeout = lookTimeout;
        const auto reply = sendOnFreshConnection(call, why);
        if (reply && !dialect.isLivenessAnswer(*reply)) {
            why.text = "another replica has its address";
            return false;
        }
        return reply.has_value();
    }

    void look(const served_replica &replica)
    {
        reason why;
        const bool hasAnswered = answers(replica, why);
        assemblyLog.write("looked", {{"replica", replica.id.value()}, {"answers", hasAnswered}, {"why", why.text}});
        bool isNew = false;
        {
            const std::lock_guard lock(mutex);
            noteLook(witnesses, replica.id, settings.daemon, {monotonicNow(), hasAnswered});
            if (hasAnswered) {
                suspects.erase(replica.id);
                notLeaving.erase(replica.id);
                return;
            }
            isNew = !suspects.contains(replica.id);
            suspects[replica.id] = monotonicNow() + suspicionTime;
            mustPlan = true;
        }
        wake.notify_all();
        if (!isNew) {
            return;
        }
        if (const auto head = headOfGroup(replica)) {
            figures.noteFound(*head, monotonicNow());
            feed.tellDoubt(*head);
        }
        feed.askForLooks(replica.id);
        checkLeaving(replica.id);
    }

    /// Reads the entry of a silent replica itself: the directory may lag, and the service's watches may miss changes for a while.
    void checkLeaving(const instance_id &id)
    {
        reason why;
        const auto entry = keyValue.get(dialect.replicaPrefix() + id.value(), read_freshness::current, why);
        const bool isListed = entry && entry->changed != key_revision();
        const auto replica = isListed ? dialect.readReplica(id, entry->value, why) : std::nullopt;
        const bool isStaying = replica && !replica->isDraining;
        assemblyLog.write("silent_checked", {{"replica", id.value()}, {"leaves", !isStaying}, {"listed", isListed}, {"why", why.text}});
        if (!isStaying) {
            return;
        }
        {
            const std::lock_guard lock(mutex);
            notLeaving.insert(id);
            mustPlan = true;
        }
        wake.notify_all();
    }

    bool mayNotice(const instance_id &head)
    {
        const std::lock_guard lock(mutex);
        const auto now = monotonicNow();
        std::erase_if(lastNotices, [&](const auto &entry) { return now - entry.second >= noticePeriod; });
        return lastNotices.try_emplace(head, now).second;
    }

    /// Tells the coordinator whether a replica answers this daemon; nothing where it is not listed any more.
    void tellLook(const instance_id &id)
    {
        const auto directory = store.directory();
        const auto found = directory->replicas.find(id);
        if (found != directory->replicas.end()) {
            reason why;
            feed.tellStall({settings.daemon, id, answers(found->second, why)});
        }
    }

    void takeStall(const instance_id &head)
    {
        if (holdsTerm(monotonicNow())) {
            lookAtGroup(head);
            return;
        }
        // The coordinator looks at once; whether the head answers this daemon follows, for a head that is cut off from the coordinator
        // alone.
        if (!feed.tellStall({settings.daemon, head, std::nullopt})) {
            assemblyLog.write("stall_not_told", {{"head", head.value()}, {"why", "no coordinator is known"}});
            return;
        }
        tellLook(head);
    }

    void hearStall(const stall_notice &notice)
    {
        if (!holdsTerm(monotonicNow())) {
            return;
        }
        if (notice.hasAnswered) {
            const std::lock_guard lock(mutex);
            noteLook(witnesses, notice.replica, notice.from, {monotonicNow(), *notice.hasAnswered});
            mustPlan = mustPlan || !*notice.hasAnswered;
        }
        if (notice.hasAnswered) {
            wake.notify_all();
        } else {
            lookAtGroup(notice.replica);
        }
    }
};

assembly_runner::assembly_runner(const entry_settings &settings,
                                 key_value_service &keyValue,
                                 const entry_dialect &dialect,
                                 store_follower &store,
                                 peer_feed &feed,
                                 metrics &counters,
                                 std::function<std::vector<model_demand>()> heldHere)
    : d(std::make_unique<private_data>(settings, keyValue, dialect, store, feed, counters, std::move(heldHere)))
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
    {
        const std::lock_guard lock(d->mutex);
        d->mustPlan = true;
    }
    d->wake.notify_all();
}

void assembly_runner::noteTraffic()
{
    d->hasTraffic = true;
}

void assembly_runner::hearStall(const stall_notice &notice)
{
    d->hearStall(notice);
}

void assembly_runner::hearLook(const instance_id &replica)
{
    d->noticeWorkers.run([this, replica] { d->tellLook(replica); });
}

void assembly_runner::noteStall(const instance_id &head)
{
    if (d->mayNotice(head)) {
        d->noticeWorkers.run([this, head] { d->takeStall(head); });
    }
}

} // namespace vetchpost
