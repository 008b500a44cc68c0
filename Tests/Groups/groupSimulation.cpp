// SPDX-License-Identifier: Apache-2.0
#include "Tests/Groups/groupSimulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

constexpr int domains = 3;
constexpr int enginesPerDomain = 6;
constexpr int groupSize = 2;
constexpr int coordinators = 3;
constexpr duration tick(200);
constexpr duration loadTime(1500);
/// A plan may be written this long after the last change, because of a lost reply, a late write or a paused coordinator.
constexpr duration settleTime(8000);
const data_centre_id dataCentre("ikeja");

deployment makeDeployment(const std::string &name, int priority, bool checksFencing)
{
    deployment wanted;
    wanted.id = deployment_id(name);
    wanted.model = "large";
    wanted.version = "1";
    wanted.instancesPerReplica = groupSize;
    wanted.priority = priority;
    wanted.enginesCheckFencing = checksFencing;
    wanted.minServingPercent = 50;
    wanted.loadTime = loadTime;
    wanted.restartTime = std::chrono::seconds(10);
    return wanted;
}

/// Identifies one member's placement in a group of one generation. An order is legitimate only if its placement was written before.
std::string placementKey(const group_id &group, generation ordered, int rank, const instance_id &instance)
{
    return fmt::format("{} {} {} {}", group.value(), ordered.value(), rank, instance.value());
}

} // namespace

group_simulation::group_simulation(bool checksFencing, std::uint64_t seed)
    : m_randomState(seed)
{
    for (int i = 0; i < domains * enginesPerDomain; ++i) {
        fake_engine engine;
        engine.listed.id = instance_id(fmt::format("e{:02}", i));
        engine.listed.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        engine.listed.dataCentre = dataCentre;
        engine.listed.fabricDomain = fabric_domain_id(fmt::format("rack{}", i / enginesPerDomain));
        engine.checksFencing = checksFencing;
        engine.state.instance = engine.listed.id;
        engine.state.run = incarnation(1);
        m_engines.push_back(std::move(engine));
    }
    m_wants.push_back({makeDeployment("filing", 5, checksFencing), 4});
    m_wants.push_back({makeDeployment("notes", 1, checksFencing), 2});
    for (int i = 0; i < coordinators; ++i) {
        coordinator_settings settings;
        settings.self = daemon_id(fmt::format("d{}", i));
        settings.dataCentre = dataCentre;
        settings.policy.minDrainTime = duration(400);
        settings.policy.drainTimeout = duration(5000);
        fake_coordinator coordinator;
        coordinator.state = makeCoordinator(settings);
        m_coordinators.push_back(std::move(coordinator));
    }
}

std::uint64_t group_simulation::random()
{
    return m_randomState = hashOf(fmt::format("{}", m_randomState));
}

duration group_simulation::randomDelay(duration most)
{
    return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most.count() + 1)));
}

void group_simulation::reportViolation(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

bool group_simulation::isServiceReachable(const fake_coordinator &coordinator) const
{
    return m_now >= m_serviceDownUntil && !coordinator.isCutFromService;
}

void group_simulation::apply(const simulation_step &step)
{
    auto &engine = m_engines[static_cast<std::size_t>(step.subject) % m_engines.size()];
    auto &coordinator = m_coordinators[static_cast<std::size_t>(step.subject) % m_coordinators.size()];
    constexpr int firstRestart = 14;
    if (step.kind < firstRestart) {
        m_undisturbedSince = m_now;
    }
    switch (step.kind) {
    case 0:
        engine.isAlive = false;
        break;
    case 1:
        if (!engine.isAlive) {
            engine.isAlive = true;
            engine.loadedAt.reset();
            engine.state = {};
            engine.state.instance = engine.listed.id;
            engine.state.run = incarnation(++engine.runs);
        }
        break;
    case 2:
        // It was only unreachable: it returns with its state unchanged.
        engine.isAlive = true;
        break;
    case 3:
        coordinator.isPaused = !coordinator.isPaused;
        break;
    case 4:
        coordinator.isCutFromService = !coordinator.isCutFromService;
        break;
    case 5:
        coordinator.isCutFromEngines = !coordinator.isCutFromEngines;
        break;
    case 6:
        m_serviceDownUntil = m_now + duration(step.amount % 60000);
        break;
    case 7:
        m_repliesToLose += 1 + step.amount % 3;
        break;
    case 8:
        m_wants[0].replicas = 2 + step.amount % 4;
        break;
    case 9:
        m_wants[0].wanted.version = std::to_string(1 + step.amount % 3);
        break;
    case 10:
        engine.listed.isLeaving = !engine.listed.isLeaving;
        break;
    case 11: {
        // A whole fabric domain fails or returns.
        const auto &domain = engine.listed.fabricDomain;
        const bool isAlive = !engine.isAlive;
        for (auto &other : m_engines) {
            other.isAlive = other.listed.fabricDomain == domain ? isAlive : other.isAlive;
        }
        break;
    }
    case 14:
    case 15:
    case 16:
        restart(coordinator, duration(step.amount % 8000));
        break;
    case 12:
    case 13:
        // Two operators race: the number of replicas changes faster than orders arrive.
        for (const auto replicas : {5, 2, 5, 1, 4}) {
            m_wants[0].replicas = replicas;
            advance(duration(200 + step.amount % 1000));
        }
        m_undisturbedSince = m_now;
        break;
    default:
        break;
    }
    advance(duration(step.amount % 4000));
}

void group_simulation::heal(duration time)
{
    m_serviceDownUntil = m_now;
    m_repliesToLose = 0;
    for (auto &coordinator : m_coordinators) {
        coordinator.isPaused = false;
        coordinator.isCutFromService = false;
        coordinator.isCutFromEngines = false;
    }
    for (auto &engine : m_engines) {
        engine.isAlive = true;
        engine.listed.isLeaving = false;
    }
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty() && servingGroups() != wantedGroups()) {
        advance(std::chrono::seconds(1));
    }
}

void group_simulation::advance(duration time)
{
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty()) {
        m_now += tick;
        m_store.expire(m_now);
        applyLateWrites();
        deliverOrders();
        tickCoordinators();
        check();
    }
}

/// Restarts the daemon of a coordinator. It revokes its lease and starts with an empty view, whose parts become available one by one.
void group_simulation::restart(fake_coordinator &coordinator, duration longestDelay)
{
    m_store.leases.erase(coordinator.state.lease);
    m_store.expire(m_now);
    coordinator.state = makeCoordinator(coordinator.state.settings);
    coordinator.tracker = {};
    coordinator.answers.clear();
    coordinator.delayedOrders.clear();
    coordinator.isPaused = false;
    coordinator.configurationKnownFrom = m_now + randomDelay(longestDelay);
    coordinator.listKnownFrom = m_now + randomDelay(longestDelay);
    coordinator.membersKnownFrom = coordinator.listKnownFrom + randomDelay(duration(4000));
}

void group_simulation::tickCoordinators()
{
    for (auto &coordinator : m_coordinators) {
        if (coordinator.isPaused) {
            continue;
        }
        for (const auto &action : std::exchange(coordinator.delayedOrders, {})) {
            sendOrderNow(coordinator, action);
        }
        observe(coordinator);
        while (!coordinator.answers.empty() && coordinator.answers.front().first <= m_now) {
            const auto event = coordinator.answers.front().second;
            coordinator.answers.pop_front();
            run(coordinator, event);
        }
        run(coordinator, coordinator_tick{});
    }
}

void group_simulation::observe(fake_coordinator &coordinator)
{
    std::vector<listed_instance> list;
    for (auto &engine : m_engines) {
        if (engine.loadedAt && *engine.loadedAt <= m_now) {
            engine.loadedAt.reset();
            engine.state.phase = engine_phase::ready;
        }
        list.push_back(engine.listed);
    }
    if (m_now >= coordinator.listKnownFrom) {
        applyInstanceList(coordinator.tracker, list);
    }
    if (m_now < coordinator.membersKnownFrom) {
        return;
    }
    for (const auto &engine : m_engines) {
        const bool isObserved = engine.isAlive && !coordinator.isCutFromEngines;
        applyObservation(coordinator.tracker, {engine.listed.id, isObserved ? std::optional(engine.state) : std::nullopt}, m_now);
    }
}

void group_simulation::run(fake_coordinator &coordinator, const coordinator_event &event)
{
    auto wants = m_now >= coordinator.configurationKnownFrom ? std::optional(m_wants) : std::nullopt;
    if (wants && m_now < coordinator.listKnownFrom) {
        // The share is computed from the data centre's own instances, so it is unknown without their list.
        for (auto &want : *wants) {
            want.replicas.reset();
        }
    }
    coordinator_view view{coordinator.tracker, wants, {8, 0}, false, m_now, m_now.time_since_epoch().count()};
    for (const auto &action : step(coordinator.state, event, view)) {
        perform(coordinator, action);
    }
}

void group_simulation::perform(fake_coordinator &coordinator, const coordinator_action &action)
{
    // An answer may arrive late, when the state has changed since the call.
    const auto answerArrival = m_now + (random() % 3 == 0 ? randomDelay(duration(3000)) : randomDelay(duration(100)));
    const bool isReachable = isServiceReachable(coordinator);
    const auto answer = [&](const coordinator_event &event) { coordinator.answers.emplace_back(answerArrival, event); };
    if (std::holds_alternative<acquire_coordination>(action)) {
        acquisition_answer result{m_now, false, {}};
        if (isReachable) {
            result.lease = m_store.grant(coordinator.state.settings.leaseTime, m_now);
            const auto written = m_store.swap(coordinatorKey(dataCentre), {}, coordinator.state.settings.self.value(), result.lease);
            result.isAcquired = written.outcome == swap_outcome::applied;
        }
        answer(result);
    } else if (const auto *renewal = std::get_if<renew_coordination>(&action)) {
        answer(renewal_answer{m_now, isReachable ? std::optional(m_store.renew(renewal->lease, m_now)) : std::nullopt});
    } else if (std::holds_alternative<read_allotment>(action)) {
        answer(allotment_answer{isReachable, m_store.get(allotmentKey(dataCentre))});
    } else if (const auto *write = std::get_if<write_allotment>(&action)) {
        if (!isReachable) {
            answer(write_answer{{swap_outcome::not_sent, {}}});
        } else if (m_repliesToLose > 0) {
            // The reply is lost; the write takes effect, at once or a while later.
            --m_repliesToLose;
            m_lateWrites.push_back({m_now + randomDelay(duration(4000)), write->expected, write->text});
            answer(write_answer{{swap_outcome::unknown, {}}});
        } else {
            answer(write_answer{m_store.swap(allotmentKey(dataCentre), write->expected, write->text)});
            checkStoredAllotment();
        }
    } else if (const auto *order = std::get_if<send_order>(&action)) {
        // One order in eight is delayed, so that the coordinator may be paused before it is sent.
        if (random() % 8 == 0) {
            coordinator.delayedOrders.push_back(*order);
        } else {
            sendOrderNow(coordinator, *order);
        }
    }
}

void group_simulation::sendOrderNow(fake_coordinator &coordinator, const send_order &action)
{
    if (!maySendOrders(coordinator.state, m_now)) {
        coordinator.answers.emplace_back(m_now, order_answer{action.order.instance, action.order.ordered, order_outcome::not_sent});
        return;
    }
    const auto &order = action.order;
    const bool isRelease = order.group.isEmpty();
    if (!isRelease && !m_writtenPlacements.contains(placementKey(order.group, order.ordered, order.rank, order.instance))) {
        reportViolation("an order went out before its placement was written: " + order.instance.value());
    }
    const auto travel = randomDelay(coordinator.state.settings.orderTimeout);
    if (!coordinator.isCutFromEngines) {
        m_orders.push_back({order, m_now + travel});
    }
    coordinator.answers.emplace_back(m_now + travel, order_answer{order.instance, order.ordered, order_outcome::accepted});
}

void group_simulation::deliverOrders()
{
    auto due = std::exchange(m_orders, {});
    for (const auto &pendingOrder : due) {
        if (pendingOrder.arrives > m_now) {
            m_orders.push_back(pendingOrder);
            continue;
        }
        for (auto &engine : m_engines) {
            if (engine.listed.id == pendingOrder.order.instance && engine.isAlive) {
                obey(engine, pendingOrder.order);
            }
        }
    }
}

void group_simulation::obey(fake_engine &engine, const engine_order &order)
{
    if (order.ordered < engine.state.confirmed) {
        if (engine.checksFencing) {
            return;
        }
        if (order.group != engine.state.group && !engine.state.group.isEmpty() && !order.group.isEmpty()) {
            ++m_staleOrdersObeyed;
        }
    }
    const bool hasWeights
        = engine.state.phase != engine_phase::idle && engine.state.choice == order.choice && engine.state.rank == order.rank;
    engine.state.group = order.group;
    engine.state.confirmed = order.ordered;
    if (!order.group.isEmpty() && !hasWeights) {
        engine.state.rank = order.rank;
        engine.state.choice = order.choice;
        engine.state.phase = engine_phase::loading;
        engine.loadedAt = m_now + loadTime;
    }
}

void group_simulation::applyLateWrites()
{
    auto late = std::exchange(m_lateWrites, {});
    for (const auto &write : late) {
        if (write.at > m_now) {
            m_lateWrites.push_back(write);
        } else {
            m_store.swap(allotmentKey(dataCentre), write.expected, write.value);
            checkStoredAllotment();
        }
    }
}

void group_simulation::checkStoredAllotment()
{
    const auto stored = allotmentFrom(m_store.get(allotmentKey(dataCentre)).value);
    if (!stored) {
        reportViolation("the stored allotment cannot be read");
        return;
    }
    if (const auto problem = allotmentProblem(*stored)) {
        reportViolation(*problem);
    }
    if (stored->current < m_lastStored.current || stored->lastGeneration < m_lastStored.lastGeneration) {
        reportViolation("the epoch or the last generation fell");
    }
    checkNoHealthyGroupRemoved(*stored);
    m_lastStored = *stored;
    for (const auto &group : stored->groups) {
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            m_writtenPlacements.insert(placementKey(group.id, group.current, static_cast<int>(rank), group.members[rank].instance));
        }
    }
}

std::set<group_id> group_simulation::healthyGroups() const
{
    std::set<group_id> healthy;
    for (const auto &group : m_lastStored.groups) {
        const bool isHealthy = std::all_of(group.members.begin(), group.members.end(), [&](const allotted_member &member) {
            return std::any_of(m_engines.begin(), m_engines.end(), [&](const fake_engine &engine) {
                return engine.listed.id == member.instance && engine.isAlive && !engine.listed.isLeaving && engine.state.group == group.id
                    && engine.state.confirmed == group.current && engine.state.phase == engine_phase::ready;
            });
        });
        if (isHealthy) {
            healthy.insert(group.id);
        }
    }
    return healthy;
}

/// Checks that no healthy group that is wanted is removed while only coordinators change. Only the deployment with the highest priority
/// is checked, since groups of others may be preempted for it.
void group_simulation::checkNoHealthyGroupRemoved(const allotment &stored)
{
    const auto &first = m_wants.front();
    const auto isOfFirstDeployment = [&](const allotted_group &group) { return group.deployment == first.wanted.id; };
    const auto present = std::count_if(m_lastStored.groups.begin(), m_lastStored.groups.end(), isOfFirstDeployment);
    if (m_now - m_undisturbedSince < settleTime || present > *first.replicas) {
        return;
    }
    const auto healthy = healthyGroups();
    for (const auto &group : m_lastStored.groups) {
        const bool isStillStored
            = std::any_of(stored.groups.begin(), stored.groups.end(), [&](const allotted_group &other) { return other.id == group.id; });
        if (isOfFirstDeployment(group) && healthy.contains(group.id) && !isStillStored) {
            reportViolation("a healthy group that is wanted was removed: " + group.id.value());
        }
    }
}

void group_simulation::check()
{
    int ordering = 0;
    for (const auto &coordinator : m_coordinators) {
        ordering += maySendOrders(coordinator.state, m_now) ? 1 : 0;
        if (!coordinator.isPaused && !coordinator.isCutFromEngines) {
            checkServing(coordinator);
        }
    }
    if (ordering > 1) {
        reportViolation("two coordinators may order at the same time");
    }
    if (m_staleOrdersObeyed > 0) {
        reportViolation("an engine that ignores fencing numbers obeyed an order of the past");
    }
}

/// Checks that every member of a group that gets work has confirmed it, according to the engines themselves and not only to what was
/// observed.
void group_simulation::checkServing(const fake_coordinator &coordinator)
{
    std::set<instance_id> inUse;
    for (const auto &group : coordinator.state.accepted.groups) {
        if (groupStateOf(group, coordinator.tracker) != group_state::serving) {
            continue;
        }
        for (const auto &member : group.members) {
            if (!inUse.insert(member.instance).second) {
                reportViolation("an instance serves in two groups: " + member.instance.value());
            }
            for (const auto &engine : m_engines) {
                const auto &state = engine.state;
                const bool isMember = engine.listed.id == member.instance;
                if (isMember
                    && (!engine.isAlive || state.group != group.id || state.confirmed != group.current
                        || state.phase != engine_phase::ready)) {
                    reportViolation("a group serves although a member has not confirmed: " + group.id.value());
                }
            }
        }
    }
}

const std::string &group_simulation::violation() const
{
    return m_violation;
}

int group_simulation::servingGroups() const
{
    std::map<std::pair<group_id, generation>, int> ready;
    for (const auto &engine : m_engines) {
        if (engine.isAlive && engine.state.phase == engine_phase::ready && !engine.state.group.isEmpty()) {
            ++ready[{engine.state.group, engine.state.confirmed}];
        }
    }
    int serving = 0;
    for (const auto &group : m_lastStored.groups) {
        const auto found = ready.find({group.id, group.current});
        serving += found != ready.end() && found->second == groupSize ? 1 : 0;
    }
    return serving;
}

int group_simulation::wantedGroups() const
{
    int wanted = 0;
    for (const auto &want : m_wants) {
        wanted += *want.replicas;
    }
    return wanted;
}

std::string group_simulation::describe() const
{
    std::string text = fmt::format("serving {} of {}\n", servingGroups(), wantedGroups());
    for (const auto &coordinator : m_coordinators) {
        const auto &state = coordinator.state;
        text += fmt::format("{}: phase {} calling {} epoch {} lease {} ms ahead\n",
                            state.settings.self.value(),
                            static_cast<int>(state.phase),
                            state.isCalling,
                            state.accepted.current.value(),
                            (state.leaseUntil - m_now).count());
        for (const auto &decision : state.lastDecisions) {
            text += fmt::format("  {} {}: {}\n", decision.group.value(), planActionName(decision.action), decision.why);
        }
    }
    for (const auto &want : m_wants) {
        text += fmt::format("{}: {} of version {}\n", want.wanted.id.value(), *want.replicas, want.wanted.version);
    }
    for (const auto &group : m_lastStored.groups) {
        text += fmt::format(
            "{} generation {} version {} draining {}:", group.id.value(), group.current.value(), group.choice.version, group.drainingSince);
        for (const auto &member : group.members) {
            text += " " + member.instance.value();
        }
        text += "\n";
    }
    for (const auto &engine : m_engines) {
        const auto &state = engine.state;
        text += fmt::format("{} alive {} group {} generation {} rank {} phase {} version {}\n",
                            engine.listed.id.value(),
                            engine.isAlive,
                            state.group.value(),
                            state.confirmed.value(),
                            state.rank,
                            static_cast<int>(state.phase),
                            state.choice.version);
    }
    return text;
}

} // namespace vetchpost::test
