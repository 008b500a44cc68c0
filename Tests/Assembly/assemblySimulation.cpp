// SPDX-License-Identifier: Apache-2.0
#include "Tests/Assembly/assemblySimulation.h"

#include "Libraries/Base/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <climits>

namespace vetchpost::test {

namespace {

constexpr duration tickTime(50);
constexpr duration sameModelTime(200);
constexpr duration stallTime(5000);
constexpr duration directoryLag(100);
constexpr duration orderTimeout(400);
constexpr duration reportLag(200);
/// Longer than the longest delay of an order, so that none arrives after heal().
constexpr duration maxOrderDelay(12000);
constexpr double loadsPerSecond = 4;
constexpr std::size_t loadsAllowed = 25;
constexpr duration loadWindow(5000);
/// A replica's entry lapses after three missed heartbeats; daemons whose requests stall find it silent much sooner.
constexpr duration lapseTime(3600);
constexpr duration detectionTime(600);
/// The coordinator remembers a member for this time after its entry has lapsed.
constexpr duration unlistedTime(12000);
/// Live replicas write lapsed entries again within this time after an outage of the key-value service.
constexpr duration entryReturnTime(2000);
/// Daemons keep lapsed entries for this time after an outage.
constexpr duration lapsedTime(2200);

/// Groups of four and two.
engine_description usualEngine()
{
    engine_description engine;
    engine.slots = 26;
    engine.loadsPerSecond = loadsPerSecond;
    engine.concurrentLoads = 6;
    engine.stagedPerHost = 1;
    engine.formTime = duration(300);
    engine.models = {{model_id("big"), 4, 0.67, 1.0, duration(16000), duration(1600)},
                     {model_id("small"), 2, 0.33, 0.6, duration(12000), duration(1100)}};
    return engine;
}

} // namespace

assembly_simulation::assembly_simulation(int domains, int perDomain, std::uint64_t seed)
    : assembly_simulation(usualEngine(), domains, perDomain, seed)
{
}

assembly_simulation::assembly_simulation(engine_description engine, int domains, int perDomain, std::uint64_t seed)
    : m_engine(std::move(engine))
    , m_loadsAllowed(std::max(loadsAllowed, static_cast<std::size_t>(m_engine.loadsPerSecond * loadsAllowed / loadsPerSecond)))
    , m_randomState(seed)
{
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < perDomain; ++i) {
            addReplica(domain, {});
        }
    }
    m_state.term = m_term;
}

void assembly_simulation::addReplica(int domain, const std::vector<model_id> &staged)
{
    fake_replica replica;
    replica.reportedState.id = instance_id(fmt::format("r{:03}", ++m_replicaCount));
    replica.reportedState.service = m_service;
    replica.reportedState.address = {"127.0.0.1", static_cast<std::uint16_t>(m_replicaCount)};
    replica.reportedState.domain = fabric_domain_id(fmt::format("rack{}", domain));
    replica.reportedState.dataCentre = data_centre_id(fmt::format("centre{}", domain));
    replica.reportedState.staged = staged;
    m_replicas.emplace(replica.reportedState.id, replica);
}

std::uint64_t assembly_simulation::random()
{
    return m_randomState = hashOf(fmt::format("{}", m_randomState));
}

duration assembly_simulation::randomDelay(duration limit)
{
    return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit.count() + 1)));
}

void assembly_simulation::recordViolation(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

fake_replica *assembly_simulation::find(const instance_id &id)
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() || !found->second.isAlive ? nullptr : &found->second;
}

fake_replica *assembly_simulation::headOf(const fake_replica &replica)
{
    if (!replica.reportedState.membership || replica.members.empty()) {
        return nullptr;
    }
    auto *head = find(replica.members.front());
    const bool isSame = head != nullptr && head->reportedState.membership
        && head->reportedState.membership->group == replica.reportedState.membership->group
        && head->reportedState.membership->formed == replica.reportedState.membership->formed;
    return isSame ? head : nullptr;
}

const group_model &assembly_simulation::model(const model_id &id) const
{
    return *std::find_if(m_engine.models.begin(), m_engine.models.end(), [&](const group_model &entry) { return entry.id == id; });
}

void assembly_simulation::apply(const assembly_step &step)
{
    auto chosen = m_replicas.begin();
    std::advance(chosen, step.subject % static_cast<int>(m_replicas.size()));
    auto &replica = chosen->second;
    switch (step.kind) {
    case 0:
    case 1:
        lose(replica.reportedState.id);
        break;
    case 2:
        replica.reportedState.isDraining = true;
        break;
    case 3: {
        // A whole domain ends and comes back as new replicas on the same hosts.
        const auto domain = replica.reportedState.domain;
        std::vector<std::vector<model_id>> hosts;
        for (auto &[id, other] : m_replicas) {
            if (other.isAlive && other.reportedState.domain == domain) {
                hosts.push_back(other.reportedState.staged);
                other.isAlive = false;
            }
        }
        advance(duration(2000 + step.amount % 8000));
        for (const auto &staged : hosts) {
            addReplica(std::stoi(domain.value().substr(4)), staged);
        }
        break;
    }
    case 4:
        addReplica(step.amount % 3, {});
        break;
    case 5:
        m_answersLostUntil = m_now + duration(step.amount % 5000);
        break;
    case 6:
        m_ordersLateUntil = m_now + duration(step.amount % 5000);
        break;
    case 7:
    case 8:
        takeOver();
        break;
    case 10:
        restart(replica.reportedState.id);
        break;
    case 11:
        loseStoreFor(duration(500 + step.amount % 5000));
        break;
    case 12:
        cutOff(replica.members.empty() ? replica.reportedState.id : replica.members.front(), duration(2000 + step.amount % 30000));
        break;
    case 13:
        cutOff(replica.reportedState.id, duration(2000 + step.amount % 30000));
        break;
    default:
        break;
    }
    advance(duration(step.amount % 4000));
}

void assembly_simulation::lose(const instance_id &replica)
{
    m_replicas.at(replica).isAlive = false;
    m_deadSince.try_emplace(replica, m_now);
}

void assembly_simulation::cutOff(const instance_id &replica, duration time)
{
    const auto found = m_replicas.find(replica);
    if (found != m_replicas.end() && found->second.isAlive) {
        m_cutOff.try_emplace(replica, cut_off{m_now, m_now + time, found->second.reportedState, random() % 2 == 0});
    }
}

std::optional<served_replica> assembly_simulation::lastKnown(const instance_id &replica) const
{
    const auto &cut = m_cutOff.at(replica);
    auto known = cut.lastEntry;
    if (m_now - cut.since > lapseTime) {
        known.isDraining = true;
        known.isUnlisted = true;
    }
    return m_now - cut.since > lapseTime + unlistedTime ? std::nullopt : std::optional(known);
}

void assembly_simulation::restart(const instance_id &replica)
{
    const auto &before = m_replicas.at(replica);
    if (!before.isAlive) {
        return;
    }
    fake_replica next;
    next.reportedState = before.reportedState;
    next.highestEver = before.highestEver;
    next.reportedState.incarnation = before.reportedState.incarnation.next();
    next.reportedState.isDraining = false;
    next.reportedState.model.reset();
    next.reportedState.membership.reset();
    m_replicas[replica] = std::move(next);
}

void assembly_simulation::detectDeaths()
{
    m_detectsDeaths = true;
}

void assembly_simulation::probeAllFor(duration time)
{
    m_probesUntil = m_now + time;
}

void assembly_simulation::slowOwnLinkFor(duration time)
{
    m_linkSlowUntil = m_now + time;
}

std::size_t assembly_simulation::suspectedReplicas() const
{
    return m_silent.suspected.size();
}

void assembly_simulation::evictOtherWeights()
{
    for (auto &[id, replica] : m_replicas) {
        replica.reportedState.staged.clear();
        replica.stagedAt.reset();
        if (replica.reportedState.model) {
            replica.reportedState.staged = {*replica.reportedState.model};
        }
    }
}

void assembly_simulation::drain(const instance_id &replica)
{
    m_replicas.at(replica).reportedState.isDraining = true;
}

void assembly_simulation::loseDomain(int domain, duration time)
{
    const fabric_domain_id name(fmt::format("rack{}", domain));
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive && replica.reportedState.domain == name) {
            lose(id);
            m_darkHosts.push_back({domain, replica.reportedState.staged, m_now + time});
        }
    }
}

void assembly_simulation::addEmpty(int domain)
{
    addReplica(domain, {});
}

void assembly_simulation::evacuate(const std::set<int> &domains)
{
    m_evacuated.clear();
    for (const auto domain : domains) {
        m_evacuated.insert(data_centre_id(fmt::format("centre{}", domain)));
    }
}

int assembly_simulation::openGroupsIn(int domain, const model_id &model) const
{
    const fabric_domain_id name(fmt::format("rack{}", domain));
    return static_cast<int>(std::count_if(m_replicas.begin(), m_replicas.end(), [&](const auto &entry) {
        const auto &state = entry.second.reportedState;
        return entry.second.isAlive && state.domain == name && state.model == model && state.membership
            && state.membership->state == member_state::open;
    }));
}

std::uint64_t assembly_simulation::ordersAcceptedIn(int domain) const
{
    const fabric_domain_id name(fmt::format("rack{}", domain));
    std::uint64_t sum = 0;
    for (const auto &[id, replica] : m_replicas) {
        sum += replica.reportedState.domain == name ? replica.acceptedOrders : 0;
    }
    return sum;
}

int assembly_simulation::domainOf(const instance_id &replica) const
{
    return std::stoi(m_replicas.at(replica).reportedState.domain.value().substr(4));
}

void assembly_simulation::beginTraffic()
{
    m_hasTraffic = true;
}

void assembly_simulation::beginTrafficOnOtherDaemon(duration reportDelay)
{
    m_hasTraffic = true;
    m_learnsOfTrafficAt = m_now + reportDelay;
}

void assembly_simulation::limitSendRate(int ordersPerTick)
{
    m_ordersPerTick = ordersPerTick;
}

void assembly_simulation::setLoadRate(double loadsPerSecond)
{
    m_engine.loadsPerSecond = loadsPerSecond;
}

bool assembly_simulation::isTrafficKnown() const
{
    return m_hasTraffic && m_now >= m_learnsOfTrafficAt;
}

void assembly_simulation::takeOver()
{
    m_state = assembly_state();
    m_state.term = ++m_term;
    m_answers.clear();
    m_waiting.clear();
    // The lease expires, and the successor lists the replicas before it plans.
    m_planningStartsAt = m_now + duration(500) + randomDelay(duration(2000));
}

void assembly_simulation::heal(duration time)
{
    m_answersLostUntil = m_now;
    m_ordersLateUntil = m_now;
    for (auto replica = m_replicas.begin(); replica != m_replicas.end();) {
        replica = replica->second.reportedState.isDraining || !replica->second.isAlive ? m_replicas.erase(replica) : std::next(replica);
    }
    std::erase_if(m_deadSince, [&](const auto &entry) { return !m_replicas.contains(entry.first); });
    m_cutOff.clear();
    advance(maxOrderDelay);
    const auto end = m_now + time;
    const auto isWhole = [&] {
        return std::all_of(m_engine.models.begin(), m_engine.models.end(), [&](const group_model &entry) {
            return servingGroups(entry.id) >= wantedGroups(entry.id);
        });
    };
    while (m_now < end && m_violation.empty() && !isWhole()) {
        advance(std::chrono::seconds(1));
    }
}

void assembly_simulation::advance(duration time)
{
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty()) {
        tick();
    }
}

void assembly_simulation::tick()
{
    m_now += tickTime;
    for (const auto &host : m_darkHosts) {
        if (host.back <= m_now) {
            addReplica(host.domain, host.staged);
        }
    }
    std::erase_if(m_darkHosts, [&](const dark_host &host) { return host.back <= m_now; });
    std::erase_if(m_cutOff, [&](const auto &entry) { return entry.second.until <= m_now || find(entry.first) == nullptr; });
    deliver();
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            completeTransitions(replica);
        }
    }
    replica_directory present;
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            updateStall(replica);
        }
        const auto reported = m_cutOff.contains(id) ? lastKnown(id) : std::optional(replica.reportedState);
        if (replica.isAlive && isListed(id) && reported) {
            present.replicas.emplace(id, *reported);
        }
    }
    std::erase_if(m_deadSince, [&](const auto &entry) { return m_now - entry.second > lapseTime + 2 * directoryLag; });
    for (const auto &[id, when] : m_deadSince) {
        if (m_detectsDeaths && m_now - when <= lapseTime) {
            present.replicas.emplace(id, m_replicas.at(id).reportedState);
        }
    }
    m_history.emplace_back(m_now, std::move(present));
    while (m_history.size() > 1 && m_history.front().first + directoryLag <= m_now) {
        m_directory = std::move(m_history.front().second);
        m_history.pop_front();
    }
    if (m_now >= m_planningStartsAt) {
        plan();
    }
    sendDue();
    for (const auto &entry : m_engine.models) {
        if (m_hasTraffic && servingGroups(entry.id) < wantedGroups(entry.id)) {
            m_downtime[entry.id] += tickTime * (wantedGroups(entry.id) - servingGroups(entry.id));
        }
    }
}

bool assembly_simulation::isAnswering(const served_replica &replica) const
{
    const auto found = m_replicas.find(replica.id);
    return m_now >= m_linkSlowUntil && found != m_replicas.end() && found->second.isAlive && !m_cutOff.contains(replica.id);
}

/// All probes of one tick begin together, and their results are known at once.
void assembly_simulation::probeAll()
{
    for (const auto &[id, replica] : m_directory.replicas) {
        if (isAnswering(replica)) {
            recordProbe(m_silent, id, {m_now, true, replica.incarnation});
            continue;
        }
        if (!hasPassedSince(m_selfCheck, m_now)) {
            std::set<instance_id> suspected;
            for (const auto &[other, entry] : m_silent.suspected) {
                suspected.insert(other);
            }
            const auto references = chooseReferenceReplicas(m_directory, replica, suspected, random());
            const auto answered = std::count_if(
                references.begin(), references.end(), [&](const served_replica &reference) { return isAnswering(reference); });
            recordSelfCheck(m_selfCheck, m_now, static_cast<std::size_t>(answered) >= requiredAnswers(references.size()));
        }
        if (hasPassedSince(m_selfCheck, m_now)) {
            recordProbe(m_silent, id, {m_now, false, replica.incarnation});
        }
    }
}

void assembly_simulation::plan()
{
    if (m_now < m_probesUntil) {
        probeAll();
    }
    std::set<instance_id> suspects = updateSuspicions(m_silent, m_directory, m_now).suspects;
    for (const auto &[id, when] : m_deadSince) {
        if (m_detectsDeaths && m_now - when >= detectionTime) {
            suspects.insert(id);
        }
    }
    auto staying = suspects;
    for (const auto &[id, cut] : m_cutOff) {
        if (m_now - cut.since >= detectionTime) {
            suspects.insert(id);
            if (cut.isKnownToStay) {
                staying.insert(id);
            }
        }
    }
    const auto directory = knownReplicas();
    const assembly_view view{directory, m_service, m_engine, suspects, !isTrafficKnown(), m_now, staying, m_storeBackAt, m_evacuated};
    for (auto &order : planAssembly(m_state, view)) {
        m_waiting.push_back(std::move(order));
    }
    for (const auto &decision : m_state.decisions) {
        if (m_printsDecisions) {
            fmt::print("{:>7} {}\n", (m_now - m_start).count(), decision);
        }
    }
    m_state.decisions.clear();
}

void assembly_simulation::sendDue()
{
    for (int sent = 0; !m_waiting.empty() && sent < m_ordersPerTick.value_or(INT_MAX); ++sent) {
        const auto order = std::move(m_waiting.front());
        m_waiting.pop_front();
        send(order);
    }
}

void assembly_simulation::send(const replica_order &order)
{
    if (!isStillDue(order, !isTrafficKnown())) {
        m_answers.push_back({order, {order_result::withheld, 0}, m_now, m_term});
        return;
    }
    const bool isLate = m_now < m_ordersLateUntil && random() % 2 == 0;
    const bool isLost = isLate || (m_now < m_answersLostUntil && random() % 2 == 0);
    const auto delay = isLate ? duration(2000) + randomDelay(duration(10000)) : randomDelay(duration(20));
    order_in_transit inTransit{order, m_now + delay, std::nullopt, m_term};
    if (!isLost) {
        inTransit.answered = m_now + delay + randomDelay(duration(20));
    } else {
        m_answers.push_back({order, {order_result::unknown, 0}, m_now + orderTimeout, m_term});
    }
    m_orders.push_back(std::move(inTransit));
}

void assembly_simulation::deliver()
{
    auto orders = std::exchange(m_orders, {});
    for (auto &inTransit : orders) {
        if (inTransit.arrives > m_now) {
            m_orders.push_back(std::move(inTransit));
            continue;
        }
        if (m_cutOff.contains(inTransit.order.to)) {
            m_answers.push_back({inTransit.order, {order_result::unknown, 0}, m_now + orderTimeout, inTransit.term});
            continue;
        }
        auto *replica = find(inTransit.order.to);
        const auto result = replica == nullptr ? order_answer{order_result::gone, 0} : receive(*replica, inTransit.order);
        if (inTransit.answered) {
            m_answers.push_back({inTransit.order, result, *inTransit.answered, inTransit.term});
        }
    }
    auto answers = std::exchange(m_answers, {});
    for (auto &answer : answers) {
        if (answer.arrives > m_now) {
            m_answers.push_back(std::move(answer));
        } else if (answer.term == m_term) {
            recordOrderResult(m_state, answer.order, answer.answer, m_now);
        }
    }
}

/// Executes an order and counts it if it changed something; a probe returns that number with a delay.
order_answer assembly_simulation::receive(fake_replica &replica, const replica_order &order)
{
    if (order.kind == order_kind::probe) {
        std::uint64_t reported = 0;
        for (const auto &[when, count] : replica.reportedCounts) {
            reported = when + reportLag <= m_now ? count : reported;
        }
        return {order_result::accepted, reported, replica.reportedState.incarnation, replica.reportedState.membership};
    }
    const auto result = execute(replica, order);
    if (result == order_result::accepted) {
        replica.reportedCounts.emplace_back(m_now, ++replica.acceptedOrders);
    }
    return {result, 0};
}

order_result assembly_simulation::execute(fake_replica &replica, const replica_order &order)
{
    auto &membership = replica.reportedState.membership;
    const bool isHere = membership && membership->group == order.group && membership->formed == order.formed;
    switch (order.kind) {
    case order_kind::join:
        return join(replica, order);
    case order_kind::open:
        if (isHere && (membership->state == member_state::open || replica.opensAt)) {
            return order_result::already_in_effect;
        }
        if (!isHere || membership->rank != 0 || membership->state != member_state::ready || replica.closedAt) {
            return order_result::conflict;
        }
        replica.opensAt = m_now + m_engine.formTime;
        return order_result::accepted;
    case order_kind::close:
        if (!isHere) {
            return order_result::conflict;
        }
        if (!replica.opensAt && membership->state != member_state::open) {
            return order_result::already_in_effect;
        }
        replica.opensAt.reset();
        if (membership->state == member_state::open) {
            membership->state = member_state::closing;
            // The held requests take up to a second, if they may finish and the group is not stalled.
            const bool mayFinish = order.method == close_method::finish && !replica.stalledSince;
            replica.closedAt = m_now + (mayFinish ? randomDelay(duration(1000)) : duration());
        }
        return order_result::accepted;
    case order_kind::leave:
        if (!isHere) {
            return order_result::conflict;
        }
        membership.reset();
        replica.members.clear();
        replica.opensAt.reset();
        replica.closedAt.reset();
        return order_result::accepted;
    case order_kind::stage:
        replica.staging = order.model;
        replica.stagedAt = m_now + model(order.model).loadTime / (m_hasTraffic ? 1 : 10);
        recordLoad();
        return order_result::accepted;
    case order_kind::probe:
        break;
    }
    return order_result::refused;
}

order_result assembly_simulation::join(fake_replica &replica, const replica_order &order)
{
    auto &membership = replica.reportedState.membership;
    const bool isSame = membership && membership->group == order.group && membership->formed == order.formed;
    if (isSame) {
        return replica.members == order.members ? order_result::already_in_effect : order_result::refused;
    }
    if (order.expectedOrders != replica.acceptedOrders) {
        return order_result::conflict;
    }
    if (order.formed < replica.highest) {
        return order_result::refused;
    }
    if (const auto *head = headOf(replica)) {
        const auto state = head->reportedState.membership->state;
        const bool isStalled = head->stalledSince && state != member_state::broken;
        if (state == member_state::open || state == member_state::closing || isStalled) {
            recordViolation(fmt::format("{} takes a join of {} while {} still holds {}",
                                        replica.reportedState.id.value(),
                                        order.group.value(),
                                        head->reportedState.id.value(),
                                        membership->group.value()));
        }
    }
    const auto &wanted = model(order.model);
    const bool isStaged = std::find(replica.reportedState.staged.begin(), replica.reportedState.staged.end(), order.model)
        != replica.reportedState.staged.end();
    auto time = sameModelTime;
    if (replica.runModel != order.model) {
        time = isStaged ? wanted.stagedLoadTime : wanted.loadTime / (m_hasTraffic ? 1 : 10);
        if (!isStaged) {
            recordLoad();
            replica.reportedState.staged = {order.model};
        }
    }
    const auto rank = std::find(order.members.begin(), order.members.end(), replica.reportedState.id) - order.members.begin();
    membership = {order.group, order.formed, static_cast<int>(rank), member_state::joining};
    replica.highest = order.formed;
    replica.highestEver = std::max(replica.highestEver, order.formed);
    replica.members = order.members;
    replica.runModel = order.model;
    replica.reportedState.model = order.model;
    replica.readyAt = m_now + time;
    replica.opensAt.reset();
    replica.closedAt.reset();
    replica.stalledSince.reset();
    return order_result::accepted;
}

void assembly_simulation::completeTransitions(fake_replica &replica)
{
    if (replica.stagedAt && *replica.stagedAt <= m_now) {
        replica.reportedState.staged = {replica.staging};
        replica.stagedAt.reset();
    }
    if (!replica.reportedState.membership) {
        return;
    }
    auto &state = replica.reportedState.membership->state;
    if (state == member_state::joining && replica.readyAt && *replica.readyAt <= m_now) {
        state = member_state::ready;
    }
    if (state == member_state::ready && replica.opensAt && *replica.opensAt <= m_now) {
        state = member_state::open;
        replica.opensAt.reset();
        const auto &wanted = model(*replica.reportedState.model);
        bool isWhole = static_cast<int>(replica.members.size()) == wanted.size;
        for (const auto &member : replica.members) {
            // A member that was ready and was lost since then is no violation; one that never joined is.
            const auto *other = find(member);
            isWhole = isWhole && (other == nullptr || other == &replica || other->highestEver >= replica.highest);
        }
        if (!isWhole) {
            recordViolation("a head opened without its members: " + replica.reportedState.id.value());
        }
    }
    if (state == member_state::closing && replica.closedAt && *replica.closedAt <= m_now) {
        state = member_state::ready;
        replica.closedAt.reset();
        replica.stalledSince.reset();
    }
}

/// A head stalls once a member is lost or in another formation, and gives up after the stall time.
void assembly_simulation::updateStall(fake_replica &head)
{
    auto &membership = head.reportedState.membership;
    const bool isHolding
        = membership && membership->rank == 0 && (membership->state == member_state::open || membership->state == member_state::closing);
    if (!isHolding) {
        return;
    }
    for (const auto &member : head.members) {
        const auto *other = find(member);
        const bool isThere
            = other != nullptr && other->reportedState.membership && other->reportedState.membership->formed == membership->formed;
        if (!isThere && !head.stalledSince) {
            head.stalledSince = m_now;
        }
    }
    if (head.stalledSince && m_now - *head.stalledSince >= stallTime) {
        membership->state = member_state::broken;
        head.stalledSince.reset();
    }
}

void assembly_simulation::recordLoad()
{
    ++m_loadsBegun;
    if (!m_hasTraffic) {
        return;
    }
    m_loads.push_back(m_now);
    while (m_loads.front() + loadWindow <= m_now) {
        m_loads.pop_front();
    }
    if (m_loads.size() > m_loadsAllowed) {
        recordViolation("more loads began than the weight store allows");
    }
}

const std::string &assembly_simulation::violation() const
{
    return m_violation;
}

int assembly_simulation::servingGroups(const model_id &wanted) const
{
    int count = 0;
    replica_directory present;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            present.replicas.emplace(id, replica.reportedState);
        }
    }
    for (const auto &group : groupsOf(present, m_service)) {
        count += group.model == wanted && acceptsRequests(group, model(wanted).size) ? 1 : 0;
    }
    return count;
}

/// The target number of groups for the replicas that are alive and not draining.
int assembly_simulation::wantedGroups(const model_id &wanted) const
{
    int usable = 0;
    for (const auto &[id, replica] : m_replicas) {
        const bool isEvacuated = m_evacuated.contains(replica.reportedState.dataCentre);
        usable += replica.isAlive && !replica.reportedState.isDraining && !isEvacuated ? 1 : 0;
    }
    return groupTargets(m_engine, demandShares({}, m_engine), usable, m_state.policy.spareShare).at(wanted);
}

std::vector<instance_id> assembly_simulation::membersOfAnyGroup(const model_id &wanted) const
{
    for (const auto &[id, replica] : m_replicas) {
        const auto &membership = replica.reportedState.membership;
        if (replica.isAlive && replica.reportedState.model == wanted && membership && membership->state == member_state::open) {
            return replica.members;
        }
    }
    return {};
}

std::vector<instance_id> assembly_simulation::membersOfAnyGroup(const model_id &wanted, std::uint64_t randomValue) const
{
    const auto groups = openGroups(wanted);
    return groups.empty() ? std::vector<instance_id>() : groups[randomValue % groups.size()];
}

std::vector<std::vector<instance_id>> assembly_simulation::openGroups(const model_id &wanted) const
{
    std::vector<std::vector<instance_id>> groups;
    for (const auto &[id, replica] : m_replicas) {
        const auto &membership = replica.reportedState.membership;
        if (replica.isAlive && replica.reportedState.model == wanted && membership && membership->state == member_state::open) {
            groups.push_back(replica.members);
        }
    }
    return groups;
}

std::size_t assembly_simulation::groupSizeOf(const instance_id &replica) const
{
    return m_replicas.at(replica).members.size();
}

int assembly_simulation::membersHeldBy(const instance_id &head) const
{
    return static_cast<int>(std::count_if(m_replicas.begin(), m_replicas.end(), [&](const auto &entry) {
        const auto &[id, replica] = entry;
        return replica.isAlive && id != head && !replica.members.empty() && replica.members.front() == head;
    }));
}

std::vector<instance_id> assembly_simulation::membersBesideSmallGroup() const
{
    std::set<fabric_domain_id> domainsOfSmall;
    const auto isOpen = [](const fake_replica &replica) {
        return replica.isAlive && replica.reportedState.membership && replica.reportedState.membership->state == member_state::open;
    };
    for (const auto &[id, replica] : m_replicas) {
        if (isOpen(replica) && replica.members.size() == 2) {
            domainsOfSmall.insert(replica.reportedState.domain);
        }
    }
    for (const auto &[id, replica] : m_replicas) {
        if (isOpen(replica) && replica.members.size() == 4 && domainsOfSmall.contains(replica.reportedState.domain)) {
            return replica.members;
        }
    }
    return {};
}

const engine_description &assembly_simulation::engine() const
{
    return m_engine;
}

int assembly_simulation::loadsBegun() const
{
    return m_loadsBegun;
}

duration assembly_simulation::downtime(const model_id &wanted) const
{
    const auto found = m_downtime.find(wanted);
    return found == m_downtime.end() ? duration() : found->second;
}

int assembly_simulation::freeAndReady(const model_id &wanted) const
{
    std::set<instance_id> planned;
    for (const auto &[id, group] : m_state.groups) {
        for (const auto &member : group.members) {
            planned.insert(member.instance);
        }
    }
    std::map<fabric_domain_id, int> counts;
    int most = 0;
    for (const auto &[id, replica] : m_replicas) {
        const auto &reported = replica.reportedState;
        const bool isReady
            = reported.model == wanted || std::find(reported.staged.begin(), reported.staged.end(), wanted) != reported.staged.end();
        if (replica.isAlive && !reported.isDraining && isReady && !planned.contains(id)) {
            most = std::max(most, ++counts[reported.domain]);
        }
    }
    return most;
}

int assembly_simulation::idleReplicas() const
{
    std::size_t idle = 0;
    for (const auto &[id, replica] : m_replicas) {
        idle += replica.isAlive ? 1 : 0;
    }
    for (const auto &entry : m_engine.models) {
        idle -= openGroups(entry.id).size() * static_cast<std::size_t>(entry.size);
    }
    return static_cast<int>(idle);
}

void assembly_simulation::printDecisions()
{
    m_printsDecisions = true;
}

void assembly_simulation::loseLeaseFor(duration time)
{
    takeOver();
    m_planningStartsAt = m_now + time;
}

void assembly_simulation::loseStoreFor(duration time)
{
    takeOver();
    m_storeBackAt = m_now + time;
    m_planningStartsAt = m_storeBackAt + randomDelay(duration(500));
    constexpr int kinds = 3;
    switch (random() % kinds) {
    case 0:
        m_remembered = {};
        break;
    case 1:
        m_remembered = knownReplicas();
        break;
    default:
        // A daemon that has seen nothing since an earlier outage.
        break;
    }
    for (const auto &[id, replica] : m_replicas) {
        constexpr int lapsedOfFour = 3;
        m_listedAgainAt[id] = m_storeBackAt + (random() % 4 < lapsedOfFour ? randomDelay(entryReturnTime) : duration());
    }
    // Nothing reaches the daemons while the service is away.
    m_history.clear();
    m_directory = {};
}

bool assembly_simulation::isListed(const instance_id &replica) const
{
    const auto again = m_listedAgainAt.find(replica);
    return m_now >= m_storeBackAt && (again == m_listedAgainAt.end() || m_now >= again->second);
}

replica_directory assembly_simulation::knownReplicas() const
{
    auto directory = m_directory;
    if (m_now < m_storeBackAt + lapsedTime) {
        for (const auto &[id, replica] : m_remembered.replicas) {
            const auto [known, isNew] = directory.replicas.try_emplace(id, replica);
            known->second.isLapsed = isNew;
        }
    }
    return directory;
}

std::string assembly_simulation::summary() const
{
    std::map<fabric_domain_id, std::pair<std::string, std::string>> domains;
    for (const auto &[id, replica] : m_replicas) {
        auto &[groups, others] = domains[replica.reportedState.domain];
        if (!replica.isAlive) {
            continue;
        }
        const auto head = replica.members.empty() ? m_replicas.end() : m_replicas.find(replica.members.front());
        const bool isServing = head != m_replicas.end() && head->second.isAlive && head->second.reportedState.membership
            && replica.reportedState.membership && head->second.reportedState.membership->formed == replica.reportedState.membership->formed
            && head->second.reportedState.membership->state == member_state::open && !head->second.stalledSince;
        if (isServing) {
            groups += head->first == id ? fmt::format("{}", replica.members.size()) : "";
            continue;
        }
        // The model that the replica ran last, the one that its host holds, and the one that it loads.
        others += replica.reportedState.isDraining ? "~" : "";
        others += replica.reportedState.model ? replica.reportedState.model->value().substr(0, 1) : ".";
        others += replica.reportedState.staged.empty() ? "." : replica.reportedState.staged.front().value().substr(0, 1);
        others += replica.stagedAt ? replica.staging.value().substr(0, 1) + "!" : "";
        others += replica.reportedState.membership && replica.reportedState.membership->state == member_state::joining ? "j" : "";
        others += " ";
    }
    std::string line;
    for (const auto &[domain, parts] : domains) {
        line += fmt::format("{:<5}({}) | ", parts.first, parts.second);
    }
    return line;
}

std::string assembly_simulation::describe() const
{
    std::string text;
    for (const auto &entry : m_engine.models) {
        text += fmt::format("{}: {} of {} serve\n", entry.id.value(), servingGroups(entry.id), wantedGroups(entry.id));
    }
    for (const auto &[id, group] : m_state.groups) {
        text += fmt::format(
            "{} {} {} for {} ms:", id.value(), group.model.value(), assemblyStageName(group.stage), (m_now - group.stageSince).count());
        for (const auto &member : group.members) {
            text += " " + member.instance.value() + (member.hasJoined ? "+" : "");
        }
        text += "\n";
    }
    for (const auto &[id, replica] : m_replicas) {
        const auto &membership = replica.reportedState.membership;
        text += fmt::format("{} in {} alive {} draining {} group {} state {} staged {}\n",
                            id.value(),
                            replica.reportedState.domain.value(),
                            replica.isAlive,
                            replica.reportedState.isDraining,
                            membership ? membership->group.value() : "-",
                            membership ? static_cast<int>(membership->state) : -1,
                            replica.reportedState.staged.empty() ? "-" : replica.reportedState.staged.front().value());
    }
    return text;
}

assembly_simulation assembledSimulation()
{
    assembly_simulation simulation(6, 8, 1);
    simulation.heal(std::chrono::seconds(20));
    simulation.advance(std::chrono::seconds(10));
    simulation.beginTraffic();
    return simulation;
}

} // namespace vetchpost::test
