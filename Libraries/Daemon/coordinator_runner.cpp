// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/coordinator_runner.h"

#include "Libraries/Base/log.h"
#include "Libraries/Daemon/group_metrics.h"
#include "Libraries/Engines/engine_client.h"
#include "Libraries/Platform/instance_list_client.h"
#include "Libraries/Platform/weight_store_client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>

namespace vetchpost {

namespace {

constexpr part_log coordinatorLog("coordinator");
constexpr duration tickPeriod(200);
constexpr duration platformReadPeriod(2000);
constexpr duration summaryPeriod(1000);
/// A sign of life is published once in this many summary periods, also while the summary is unchanged.
constexpr int summariesPerAlive = 5;
constexpr std::size_t maxRecordedDecisions = 200;

coordinator_settings settingsFor(const daemon_settings &settings)
{
    coordinator_settings result;
    result.self = settings.daemon;
    result.dataCentre = settings.dataCentre;
    result.leaseTime = settings.leaseTime;
    result.orderTimeout = settings.orderTimeout;
    return result;
}

} // namespace

struct coordinator_runner::private_data
{
    const daemon_settings &settings;
    cluster_state &cluster;
    key_value_client &keyValue;
    worker_pool &callWorkers;
    worker_pool &orderWorkers;
    std::function<void()> didChange;
    instance_list_client instanceList;
    weight_store_client weightStore;
    mutable std::mutex mutex;
    coordinator_state coordinator;
    weight_store_state store;
    std::deque<planning_decision> decisions;
    std::vector<listed_instance> lastPublishedList;
    std::string lastPublishedSummary;
    /// The minor version of the last register published. The timer thread and a worker thread both increment it.
    std::atomic<std::uint64_t> registerCounter = 0;
    int summariesSinceAlive = 0;
    std::atomic<bool> isReadingPlatform = false;
    bool wasActive = false;
    key_revision publishedRevision;
    counter orders;
    counter takeovers;
    histogram planningTime;
    group_metrics groupMetrics;

    private_data(const daemon_settings &daemonSettings,
                 cluster_state &clusterState,
                 key_value_client &client,
                 metrics &counters,
                 worker_pool &calls,
                 worker_pool &orderPool,
                 std::function<void()> changed)
        : settings(daemonSettings)
        , cluster(clusterState)
        , keyValue(client)
        , callWorkers(calls)
        , orderWorkers(orderPool)
        , didChange(std::move(changed))
        , instanceList(daemonSettings.instanceList)
        , weightStore(daemonSettings.weightStore)
        , coordinator(makeCoordinator(settingsFor(daemonSettings)))
        , orders(counters.addCounter("vetchpost_orders_total", "Orders sent to instances."))
        , takeovers(counters.addCounter("vetchpost_takeovers_total", "Number of times that this daemon became coordinator."))
        , planningTime(counters.addTimeHistogram("vetchpost_planning_seconds", "Duration of one planning round."))
        , groupMetrics(counters)
    {
    }

    /// Runs one step of the coordinator and starts the actions that it returns.
    void handle(const coordinator_event &event)
    {
        const auto now = monotonicNow();
        const auto tracker = cluster.tracker();
        const auto wants = cluster.wants(now);
        const bool hasOtherCoordinator = cluster.hasOtherCoordinator(now);
        std::vector<coordinator_action> actions;
        bool hasPublished = false;
        {
            const std::lock_guard lock(mutex);
            const auto started = std::chrono::steady_clock::now();
            actions = step(coordinator, event, {tracker, wants, store, hasOtherCoordinator, now, calendarMilliseconds(), keyValue.era()});
            planningTime.observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count());
            recordDecisions();
            hasPublished = publishCoordination(now);
        }
        if (hasPublished) {
            didChange();
        }
        for (auto &action : actions) {
            startAction(std::move(action));
        }
    }

    /// Logs and stores the last step's decisions, except repeated decisions to wait.
    void recordDecisions()
    {
        for (const auto &decision : coordinator.lastDecisions) {
            const bool isRepeated = decision.action == plan_action::wait
                && std::any_of(decisions.begin(), decisions.end(), [&](const planning_decision &recorded) {
                                        return recorded.group == decision.group && recorded.action == plan_action::wait;
                                    });
            if (isRepeated) {
                continue;
            }
            coordinatorLog.info("Planned an action for a group. group={} action={} why=\"{}\"",
                                decision.group.value(),
                                planActionName(decision.action),
                                decision.why);
            decisions.push_back(decision);
        }
        coordinator.lastDecisions.clear();
        while (decisions.size() > maxRecordedDecisions) {
            decisions.pop_front();
        }
    }

    /// Publishes to the data centre whether this daemon coordinates, and the accepted allotment. Returns true if the allotment should be
    /// sent at once.
    bool publishCoordination(instant now)
    {
        const bool isNowActive = isActive(coordinator, now);
        if (isNowActive != wasActive) {
            wasActive = isNowActive;
            coordinatorLog.info(
                "This daemon {} coordination. epoch={}", isNowActive ? "took" : "gave up", coordinator.accepted.current.value());
            if (isNowActive) {
                takeovers.increment();
            }
            cluster.setCoordinator(isNowActive);
        }
        if (!isNowActive || coordinator.acceptedRevision == publishedRevision) {
            return false;
        }
        publishedRevision = coordinator.acceptedRevision;
        return cluster.publishRegister({exchange_names::allotment, risingNumber(publishedRevision), 0, toText(coordinator.accepted)});
    }

    /// Starts an action on a worker thread.
    void startAction(coordinator_action action)
    {
        auto &workers = std::holds_alternative<send_order>(action) ? orderWorkers : callWorkers;
        workers.run([this, started = std::move(action)] { std::visit([this](const auto &call) { perform(call); }, started); });
    }

    void perform(const acquire_coordination & /*call*/)
    {
        acquisition_answer answer;
        answer.calledAt = monotonicNow();
        reason why;
        const auto lease = keyValue.grantLease(settings.leaseTime, why);
        if (lease) {
            const auto key = coordinatorKey(settings.dataCentre);
            const auto result = keyValue.compareAndSwap(key, key_revision(), settings.daemon.value(), *lease);
            answer.isAcquired = result.outcome == swap_outcome::applied;
            answer.lease = *lease;
        }
        handle(answer);
    }

    void perform(const renew_coordination &call)
    {
        renewal_answer answer;
        answer.calledAt = monotonicNow();
        reason why;
        answer.isRenewed = keyValue.renewLease(call.lease, why);
        handle(answer);
    }

    void perform(const read_allotment & /*call*/)
    {
        allotment_answer answer;
        reason why;
        if (const auto entry = keyValue.get(allotmentKey(settings.dataCentre), read_freshness::current, why)) {
            answer.isRead = true;
            answer.entry = *entry;
            answer.known = cluster.knownAllotment();
        }
        handle(answer);
    }

    void perform(const write_allotment &call)
    {
        write_answer answer;
        answer.result = keyValue.compareAndSwap(allotmentKey(settings.dataCentre), call.expected, call.text);
        handle(answer);
    }

    void perform(const send_order &call)
    {
        order_answer answer;
        answer.instance = call.order.instance;
        answer.ordered = call.order.ordered;
        answer.outcome = order_outcome::not_sent;
        // Check the lease again right before sending, as this thread may have been delayed since the step.
        bool isAllowed = false;
        {
            const std::lock_guard lock(mutex);
            isAllowed = maySendOrders(coordinator, monotonicNow()) && coordinator.lease.era() == keyValue.era();
        }
        if (isAllowed) {
            orders.increment();
            answer.outcome = sendEngineOrder(call.to, call.order, settings.orderTimeout);
        }
        handle(answer);
    }

    std::uint64_t currentEpoch() const
    {
        const std::lock_guard lock(mutex);
        return coordinator.accepted.current.value();
    }

    /// Reads the instance list and the state of the weight store, and publishes the list if it has changed.
    void readPlatform()
    {
        reason why;
        auto list = instanceList.instances(settings.dataCentre, why);
        if (list) {
            std::sort(list->begin(), list->end(), [](const auto &left, const auto &right) { return left.id < right.id; });
            const auto text = instanceListText(*list);
            if (instanceListText(lastPublishedList) != text) {
                lastPublishedList = *list;
                cluster.publishRegister({exchange_names::instanceList, currentEpoch(), ++registerCounter, text});
                didChange();
            }
        } else {
            coordinatorLog.warning("Cannot read the instance list. why=\"{}\"", why.text);
        }
        if (const auto state = weightStore.state(why)) {
            const std::lock_guard lock(mutex);
            store = *state;
        }
        isReadingPlatform = false;
    }

    /// Publishes the summary of this data centre if it has changed, and a sign of life in every few periods.
    void publishSummary(instant now)
    {
        if (!cluster.tracker().hasInstanceList) {
            // Without the instance list, the summary would report no capacity, and the other data centres would take the replicas over.
            return;
        }
        const auto text = toText(cluster.ownSummary(now));
        const auto name = settings.dataCentre.value();
        if (text != lastPublishedSummary) {
            lastPublishedSummary = text;
            cluster.publishRegister({exchange_names::summaryPrefix + name, currentEpoch(), ++registerCounter, text});
            didChange();
        }
        if (++summariesSinceAlive >= summariesPerAlive) {
            summariesSinceAlive = 0;
            cluster.publishRegister({exchange_names::alivePrefix + name, currentEpoch(), ++registerCounter, "1"});
        }
    }
};

coordinator_runner::coordinator_runner(const daemon_settings &settings,
                                       cluster_state &cluster,
                                       key_value_client &keyValue,
                                       metrics &counters,
                                       worker_pool &callWorkers,
                                       worker_pool &orderWorkers,
                                       std::function<void()> didChange)
    : d(std::make_unique<private_data>(settings, cluster, keyValue, counters, callWorkers, orderWorkers, std::move(didChange)))
{
}

coordinator_runner::~coordinator_runner() = default;

void coordinator_runner::subscribeTo(timer_service &timers)
{
    timers.subscribe("coordinator", tickPeriod, [this](instant /*now*/) { d->handle(coordinator_tick{}); });
    timers.subscribe("platform", platformReadPeriod, [this](instant /*now*/) {
        if (isCoordinating() && !d->isReadingPlatform.exchange(true)) {
            d->orderWorkers.run([this] { d->readPlatform(); });
        }
    });
    timers.subscribe("summary", summaryPeriod, [this](instant now) {
        if (isCoordinating()) {
            d->publishSummary(now);
            d->groupMetrics.update(d->cluster.groups(now), d->cluster.wants(now), d->cluster.tracker(), now);
        }
    });
}

std::vector<planning_decision> coordinator_runner::decisions() const
{
    const std::lock_guard lock(d->mutex);
    return {d->decisions.begin(), d->decisions.end()};
}

bool coordinator_runner::isCoordinating() const
{
    const std::lock_guard lock(d->mutex);
    return isActive(d->coordinator, monotonicNow());
}

} // namespace vetchpost
