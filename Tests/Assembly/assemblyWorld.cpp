// SPDX-License-Identifier: Apache-2.0
#include "Tests/Assembly/assemblyWorld.h"

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
/// Longer than any order may come late, so that a healed world holds no surprises.
constexpr duration latestOrder(12000);
constexpr double loadsPerSecond = 4;
constexpr std::size_t loadsAllowed = 25;
constexpr duration loadWindow(5000);
/// A replica's entry goes after three heartbeats; the daemons whose requests stand still find it silent much sooner.
constexpr duration lapseTime(3600);
constexpr duration suspicionTime(600);

} // namespace

assembly_world::assembly_world(int domains, int perDomain, std::uint64_t seed)
    : m_randomState(seed)
{
    m_engine.slots = 26;
    m_engine.loadsPerSecond = loadsPerSecond;
    m_engine.concurrentLoads = 6;
    m_engine.stagedPerHost = 1;
    m_engine.formTime = duration(300);
    m_engine.models = {{model_id("big"), 4, 0.67, 1.0, duration(16000), duration(1600)},
                       {model_id("small"), 2, 0.33, 0.6, duration(12000), duration(1100)}};
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < perDomain; ++i) {
            addReplica(domain, {});
        }
    }
    m_state.term = m_term;
}

void assembly_world::addReplica(int domain, const std::vector<model_id> &staged)
{
    fake_replica replica;
    replica.said.id = instance_id(fmt::format("r{:03}", ++m_replicasMade));
    replica.said.service = m_service;
    replica.said.address = {"127.0.0.1", static_cast<std::uint16_t>(m_replicasMade)};
    replica.said.domain = fabric_domain_id(fmt::format("rack{}", domain));
    replica.said.staged = staged;
    m_replicas.emplace(replica.said.id, replica);
}

std::uint64_t assembly_world::random()
{
    return m_randomState = hashOf(fmt::format("{}", m_randomState));
}

duration assembly_world::randomDelay(duration most)
{
    return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most.count() + 1)));
}

void assembly_world::breakRule(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

fake_replica *assembly_world::find(const instance_id &id)
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() || !found->second.isAlive ? nullptr : &found->second;
}

fake_replica *assembly_world::headOf(const fake_replica &replica)
{
    if (!replica.said.membership || replica.members.empty()) {
        return nullptr;
    }
    auto *head = find(replica.members.front());
    const bool isSame = head != nullptr && head->said.membership && head->said.membership->group == replica.said.membership->group
        && head->said.membership->formed == replica.said.membership->formed;
    return isSame ? head : nullptr;
}

const group_model &assembly_world::model(const model_id &id) const
{
    return *std::find_if(m_engine.models.begin(), m_engine.models.end(), [&](const group_model &entry) { return entry.id == id; });
}

void assembly_world::apply(const assembly_step &step)
{
    auto chosen = m_replicas.begin();
    std::advance(chosen, step.subject % static_cast<int>(m_replicas.size()));
    auto &replica = chosen->second;
    switch (step.kind) {
    case 0:
    case 1:
        lose(replica.said.id);
        break;
    case 2:
        replica.said.isDraining = true;
        break;
    case 3: {
        // A whole domain goes dark and comes back as new lives with the same hosts.
        const auto domain = replica.said.domain;
        std::vector<std::vector<model_id>> hosts;
        for (auto &[id, other] : m_replicas) {
            if (other.isAlive && other.said.domain == domain) {
                hosts.push_back(other.said.staged);
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
        restart(replica.said.id);
        break;
    default:
        break;
    }
    advance(duration(step.amount % 4000));
}

void assembly_world::lose(const instance_id &replica)
{
    m_replicas.at(replica).isAlive = false;
    m_died.try_emplace(replica, m_now);
}

void assembly_world::restart(const instance_id &replica)
{
    const auto &before = m_replicas.at(replica);
    if (!before.isAlive) {
        return;
    }
    fake_replica next;
    next.said = before.said;
    next.highestEver = before.highestEver;
    next.said.life = before.said.life.next();
    next.said.isDraining = false;
    next.said.model.reset();
    next.said.membership.reset();
    m_replicas[replica] = std::move(next);
}

void assembly_world::detectDeaths()
{
    m_detectsDeaths = true;
}

void assembly_world::lookAtAllFor(duration time)
{
    m_looksUntil = m_now + time;
}

void assembly_world::slowOwnLinkFor(duration time)
{
    m_linkSlowUntil = m_now + time;
}

std::size_t assembly_world::suspectedReplicas() const
{
    return m_silent.suspected.size();
}

void assembly_world::drain(const instance_id &replica)
{
    m_replicas.at(replica).said.isDraining = true;
}

void assembly_world::loseDomain(int domain, duration time)
{
    const fabric_domain_id name(fmt::format("rack{}", domain));
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive && replica.said.domain == name) {
            lose(id);
            m_darkHosts.push_back({domain, replica.said.staged, m_now + time});
        }
    }
}

void assembly_world::addEmpty(int domain)
{
    addReplica(domain, {});
}

void assembly_world::beginTraffic()
{
    m_hasTraffic = true;
}

void assembly_world::beginTrafficElsewhere(duration heardAfter)
{
    m_hasTraffic = true;
    m_hearsTrafficAt = m_now + heardAfter;
}

void assembly_world::sendSlowly(int ordersPerTick)
{
    m_ordersPerTick = ordersPerTick;
}

void assembly_world::setLoadRate(double loadsPerSecond)
{
    m_engine.loadsPerSecond = loadsPerSecond;
}

bool assembly_world::isTrafficKnown() const
{
    return m_hasTraffic && m_now >= m_hearsTrafficAt;
}

void assembly_world::takeOver()
{
    m_state = assembly_state();
    m_state.term = ++m_term;
    m_answers.clear();
    m_waiting.clear();
    // A lease ends, and the successor lists the replicas anew before it plans.
    m_plansFrom = m_now + duration(500) + randomDelay(duration(2000));
}

void assembly_world::heal(duration time)
{
    m_answersLostUntil = m_now;
    m_ordersLateUntil = m_now;
    for (auto replica = m_replicas.begin(); replica != m_replicas.end();) {
        replica = replica->second.said.isDraining || !replica->second.isAlive ? m_replicas.erase(replica) : std::next(replica);
    }
    advance(latestOrder);
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

void assembly_world::advance(duration time)
{
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty()) {
        tick();
    }
}

void assembly_world::tick()
{
    m_now += tickTime;
    for (const auto &host : m_darkHosts) {
        if (host.back <= m_now) {
            addReplica(host.domain, host.staged);
        }
    }
    std::erase_if(m_darkHosts, [&](const dark_host &host) { return host.back <= m_now; });
    deliver();
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            settle(replica);
        }
    }
    replica_directory present;
    for (auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            checkHead(replica);
            present.replicas.emplace(id, replica.said);
        }
    }
    std::erase_if(m_died, [&](const auto &entry) { return m_now - entry.second > lapseTime + 2 * directoryLag; });
    for (const auto &[id, when] : m_died) {
        if (m_detectsDeaths && m_now - when <= lapseTime) {
            present.replicas.emplace(id, m_replicas.at(id).said);
        }
    }
    m_history.emplace_back(m_now, std::move(present));
    while (m_history.size() > 1 && m_history.front().first + directoryLag <= m_now) {
        m_directory = std::move(m_history.front().second);
        m_history.pop_front();
    }
    if (m_now >= m_plansFrom) {
        plan();
    }
    sendDue();
    for (const auto &entry : m_engine.models) {
        if (m_hasTraffic && servingGroups(entry.id) < wantedGroups(entry.id)) {
            m_downtime[entry.id] += tickTime * (wantedGroups(entry.id) - servingGroups(entry.id));
        }
    }
}

bool assembly_world::isAnswering(const served_replica &replica) const
{
    const auto found = m_replicas.find(replica.id);
    return m_now >= m_linkSlowUntil && found != m_replicas.end() && found->second.isAlive;
}

/// All looks of one tick begin together; what they find is known at once.
void assembly_world::look()
{
    for (const auto &[id, replica] : m_directory.replicas) {
        if (isAnswering(replica)) {
            noteLook(m_silent, id, {m_now, true, replica.life});
            continue;
        }
        if (!wasSoundSince(m_trouble, m_now)) {
            std::set<instance_id> suspected;
            for (const auto &[other, entry] : m_silent.suspected) {
                suspected.insert(other);
            }
            const auto references = referencesFor(m_directory, replica, suspected, random());
            const auto answered = std::count_if(
                references.begin(), references.end(), [&](const served_replica &reference) { return isAnswering(reference); });
            noteCheck(m_trouble, m_now, static_cast<std::size_t>(answered) >= answersNeeded(references.size()));
        }
        if (wasSoundSince(m_trouble, m_now)) {
            noteLook(m_silent, id, {m_now, false, replica.life});
        }
    }
}

void assembly_world::plan()
{
    if (m_now < m_looksUntil) {
        look();
    }
    std::set<instance_id> suspects = reportSilence(m_silent, m_directory, m_now).suspects;
    for (const auto &[id, when] : m_died) {
        if (m_detectsDeaths && m_now - when >= suspicionTime) {
            suspects.insert(id);
        }
    }
    const assembly_view view{m_directory, m_service, m_engine, suspects, !isTrafficKnown(), m_now, suspects};
    for (auto &order : planAssembly(m_state, view)) {
        m_waiting.push_back(std::move(order));
    }
    m_state.decisions.clear();
}

void assembly_world::sendDue()
{
    for (int sent = 0; !m_waiting.empty() && sent < m_ordersPerTick.value_or(INT_MAX); ++sent) {
        const auto order = std::move(m_waiting.front());
        m_waiting.pop_front();
        send(order);
    }
}

void assembly_world::send(const replica_order &order)
{
    if (!isStillDue(order, !isTrafficKnown())) {
        m_answers.push_back({order, {order_result::withheld, 0}, m_now, m_term});
        return;
    }
    const bool isLate = m_now < m_ordersLateUntil && random() % 2 == 0;
    const bool isLost = isLate || (m_now < m_answersLostUntil && random() % 2 == 0);
    const auto delay = isLate ? duration(2000) + randomDelay(duration(10000)) : randomDelay(duration(20));
    travelling_order travelling{order, m_now + delay, std::nullopt, m_term};
    if (!isLost) {
        travelling.answered = m_now + delay + randomDelay(duration(20));
    } else {
        m_answers.push_back({order, {order_result::unknown, 0}, m_now + orderTimeout, m_term});
    }
    m_orders.push_back(std::move(travelling));
}

void assembly_world::deliver()
{
    auto orders = std::exchange(m_orders, {});
    for (auto &travelling : orders) {
        if (travelling.arrives > m_now) {
            m_orders.push_back(std::move(travelling));
            continue;
        }
        auto *replica = find(travelling.order.to);
        const auto result = replica == nullptr ? order_answer{order_result::gone, 0} : take(*replica, travelling.order);
        if (travelling.answered) {
            m_answers.push_back({travelling.order, result, *travelling.answered, travelling.term});
        }
    }
    auto answers = std::exchange(m_answers, {});
    for (auto &answer : answers) {
        if (answer.arrives > m_now) {
            m_answers.push_back(std::move(answer));
        } else if (answer.term == m_term) {
            noteOrderResult(m_state, answer.order, answer.answer, m_now);
        }
    }
}

/// Counts the orders that began something, and reports the number late.
order_answer assembly_world::take(fake_replica &replica, const replica_order &order)
{
    if (order.kind == order_kind::look) {
        std::uint64_t reported = 0;
        for (const auto &[when, count] : replica.reported) {
            reported = when + reportLag <= m_now ? count : reported;
        }
        return {order_result::taken, reported, replica.said.life};
    }
    const auto result = obey(replica, order);
    if (result == order_result::taken) {
        replica.reported.emplace_back(m_now, ++replica.ordersTaken);
    }
    return {result, 0};
}

order_result assembly_world::obey(fake_replica &replica, const replica_order &order)
{
    auto &membership = replica.said.membership;
    const bool isHere = membership && membership->group == order.group && membership->formed == order.formed;
    switch (order.kind) {
    case order_kind::join:
        return join(replica, order);
    case order_kind::open:
        if (isHere && (membership->state == member_state::open || replica.opensAt)) {
            return order_result::held;
        }
        if (!isHere || membership->rank != 0 || membership->state != member_state::ready || replica.closedAt) {
            return order_result::conflict;
        }
        replica.opensAt = m_now + m_engine.formTime;
        return order_result::taken;
    case order_kind::close:
        if (!isHere) {
            return order_result::conflict;
        }
        if (!replica.opensAt && membership->state != member_state::open) {
            return order_result::held;
        }
        replica.opensAt.reset();
        if (membership->state == member_state::open) {
            membership->state = member_state::closing;
            // The requests at hand take up to a second, if they may finish and nothing stands still.
            const bool mayFinish = order.method == close_method::finish && !replica.standsStillSince;
            replica.closedAt = m_now + (mayFinish ? randomDelay(duration(1000)) : duration());
        }
        return order_result::taken;
    case order_kind::leave:
        if (!isHere) {
            return order_result::conflict;
        }
        membership.reset();
        replica.members.clear();
        replica.opensAt.reset();
        replica.closedAt.reset();
        return order_result::taken;
    case order_kind::stage:
        replica.staging = order.model;
        replica.stagedAt = m_now + model(order.model).loadTime / (m_hasTraffic ? 1 : 10);
        noteLoad();
        return order_result::taken;
    case order_kind::look:
        break;
    }
    return order_result::refused;
}

order_result assembly_world::join(fake_replica &replica, const replica_order &order)
{
    auto &membership = replica.said.membership;
    const bool isSame = membership && membership->group == order.group && membership->formed == order.formed;
    if (isSame) {
        return replica.members == order.members ? order_result::held : order_result::refused;
    }
    if (order.expectedOrders != replica.ordersTaken) {
        return order_result::conflict;
    }
    if (order.formed < replica.highest) {
        return order_result::refused;
    }
    if (const auto *head = headOf(replica)) {
        const auto state = head->said.membership->state;
        const bool isStandingStill = head->standsStillSince && state != member_state::broken;
        if (state == member_state::open || state == member_state::closing || isStandingStill) {
            breakRule(fmt::format("{} takes a join of {} while {} still holds {}",
                                  replica.said.id.value(),
                                  order.group.value(),
                                  head->said.id.value(),
                                  membership->group.value()));
        }
    }
    const auto &wanted = model(order.model);
    const bool isStaged = std::find(replica.said.staged.begin(), replica.said.staged.end(), order.model) != replica.said.staged.end();
    auto time = sameModelTime;
    if (replica.ran != order.model) {
        time = isStaged ? wanted.stagedLoadTime : wanted.loadTime / (m_hasTraffic ? 1 : 10);
        if (!isStaged) {
            noteLoad();
            replica.said.staged = {order.model};
        }
    }
    const auto rank = std::find(order.members.begin(), order.members.end(), replica.said.id) - order.members.begin();
    membership = {order.group, order.formed, static_cast<int>(rank), member_state::joining};
    replica.highest = order.formed;
    replica.highestEver = std::max(replica.highestEver, order.formed);
    replica.members = order.members;
    replica.ran = order.model;
    replica.said.model = order.model;
    replica.readyAt = m_now + time;
    replica.opensAt.reset();
    replica.closedAt.reset();
    replica.standsStillSince.reset();
    return order_result::taken;
}

void assembly_world::settle(fake_replica &replica)
{
    if (replica.stagedAt && *replica.stagedAt <= m_now) {
        replica.said.staged = {replica.staging};
        replica.stagedAt.reset();
    }
    if (!replica.said.membership) {
        return;
    }
    auto &state = replica.said.membership->state;
    if (state == member_state::joining && replica.readyAt && *replica.readyAt <= m_now) {
        state = member_state::ready;
    }
    if (state == member_state::ready && replica.opensAt && *replica.opensAt <= m_now) {
        state = member_state::open;
        replica.opensAt.reset();
        const auto &wanted = model(*replica.said.model);
        bool isWhole = static_cast<int>(replica.members.size()) == wanted.size;
        for (const auto &member : replica.members) {
            // A member that was ready and is lost meanwhile excuses what follows; one that never was does not.
            const auto *other = find(member);
            isWhole = isWhole && (other == nullptr || other == &replica || other->highestEver >= replica.highest);
        }
        if (!isWhole) {
            breakRule("a head opened without its members: " + replica.said.id.value());
        }
    }
    if (state == member_state::closing && replica.closedAt && *replica.closedAt <= m_now) {
        state = member_state::ready;
        replica.closedAt.reset();
        replica.standsStillSince.reset();
    }
}

/// A head stands still once a member is lost or elsewhere, and gives up after the stall time.
void assembly_world::checkHead(fake_replica &head)
{
    auto &membership = head.said.membership;
    const bool isHolding
        = membership && membership->rank == 0 && (membership->state == member_state::open || membership->state == member_state::closing);
    if (!isHolding) {
        return;
    }
    for (const auto &member : head.members) {
        const auto *other = find(member);
        const bool isThere = other != nullptr && other->said.membership && other->said.membership->formed == membership->formed;
        if (!isThere && !head.standsStillSince) {
            head.standsStillSince = m_now;
        }
    }
    if (head.standsStillSince && m_now - *head.standsStillSince >= stallTime) {
        membership->state = member_state::broken;
        head.standsStillSince.reset();
    }
}

void assembly_world::noteLoad()
{
    ++m_loadsBegun;
    if (!m_hasTraffic) {
        return;
    }
    m_loads.push_back(m_now);
    while (m_loads.front() + loadWindow <= m_now) {
        m_loads.pop_front();
    }
    if (m_loads.size() > loadsAllowed) {
        breakRule("more loads began than the weight store allows");
    }
}

const std::string &assembly_world::violation() const
{
    return m_violation;
}

int assembly_world::servingGroups(const model_id &wanted) const
{
    int count = 0;
    replica_directory present;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.isAlive) {
            present.replicas.emplace(id, replica.said);
        }
    }
    for (const auto &group : groupsOf(present, m_service)) {
        count += group.model == wanted && takesRequests(group, model(wanted).size) ? 1 : 0;
    }
    return count;
}

/// What fits into the domains as they are: the target, or less where the replicas of no domain suffice.
int assembly_world::wantedGroups(const model_id &wanted) const
{
    int usable = 0;
    for (const auto &[id, replica] : m_replicas) {
        usable += replica.isAlive && !replica.said.isDraining ? 1 : 0;
    }
    return groupTargets(m_engine, demandShares({}, m_engine), usable, m_state.policy.spareShare).at(wanted);
}

std::vector<instance_id> assembly_world::membersOfSomeGroup(const model_id &wanted) const
{
    for (const auto &[id, replica] : m_replicas) {
        const auto &membership = replica.said.membership;
        if (replica.isAlive && replica.said.model == wanted && membership && membership->state == member_state::open) {
            return replica.members;
        }
    }
    return {};
}

std::vector<instance_id> assembly_world::membersOfSomeGroup(const model_id &wanted, std::uint64_t draw) const
{
    const auto groups = openGroups(wanted);
    return groups.empty() ? std::vector<instance_id>() : groups[draw % groups.size()];
}

std::vector<std::vector<instance_id>> assembly_world::openGroups(const model_id &wanted) const
{
    std::vector<std::vector<instance_id>> groups;
    for (const auto &[id, replica] : m_replicas) {
        const auto &membership = replica.said.membership;
        if (replica.isAlive && replica.said.model == wanted && membership && membership->state == member_state::open) {
            groups.push_back(replica.members);
        }
    }
    return groups;
}

std::size_t assembly_world::groupSizeOf(const instance_id &replica) const
{
    return m_replicas.at(replica).members.size();
}

std::vector<instance_id> assembly_world::membersBesideSmallGroup() const
{
    std::set<fabric_domain_id> domainsOfSmall;
    const auto isOpen = [](const fake_replica &replica) {
        return replica.isAlive && replica.said.membership && replica.said.membership->state == member_state::open;
    };
    for (const auto &[id, replica] : m_replicas) {
        if (isOpen(replica) && replica.members.size() == 2) {
            domainsOfSmall.insert(replica.said.domain);
        }
    }
    for (const auto &[id, replica] : m_replicas) {
        if (isOpen(replica) && replica.members.size() == 4 && domainsOfSmall.contains(replica.said.domain)) {
            return replica.members;
        }
    }
    return {};
}

const engine_description &assembly_world::engine() const
{
    return m_engine;
}

int assembly_world::loadsBegun() const
{
    return m_loadsBegun;
}

duration assembly_world::downtime(const model_id &wanted) const
{
    const auto found = m_downtime.find(wanted);
    return found == m_downtime.end() ? duration() : found->second;
}

std::string assembly_world::summary() const
{
    std::map<fabric_domain_id, std::pair<std::string, std::string>> domains;
    for (const auto &[id, replica] : m_replicas) {
        auto &[groups, others] = domains[replica.said.domain];
        if (!replica.isAlive) {
            continue;
        }
        const auto head = replica.members.empty() ? m_replicas.end() : m_replicas.find(replica.members.front());
        const bool isServing = head != m_replicas.end() && head->second.isAlive && head->second.said.membership && replica.said.membership
            && head->second.said.membership->formed == replica.said.membership->formed
            && head->second.said.membership->state == member_state::open && !head->second.standsStillSince;
        if (isServing) {
            groups += head->first == id ? fmt::format("{}", replica.members.size()) : "";
            continue;
        }
        // The model that it ran last, the one that its host holds, and the one that it loads.
        others += replica.said.isDraining ? "~" : "";
        others += replica.said.model ? replica.said.model->value().substr(0, 1) : ".";
        others += replica.said.staged.empty() ? "." : replica.said.staged.front().value().substr(0, 1);
        others += replica.stagedAt ? replica.staging.value().substr(0, 1) + "!" : "";
        others += replica.said.membership && replica.said.membership->state == member_state::joining ? "j" : "";
        others += " ";
    }
    std::string line;
    for (const auto &[domain, parts] : domains) {
        line += fmt::format("{:<5}({}) | ", parts.first, parts.second);
    }
    return line;
}

std::string assembly_world::describe() const
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
        const auto &membership = replica.said.membership;
        text += fmt::format("{} in {} alive {} draining {} group {} state {} staged {}\n",
                            id.value(),
                            replica.said.domain.value(),
                            replica.isAlive,
                            replica.said.isDraining,
                            membership ? membership->group.value() : "-",
                            membership ? static_cast<int>(membership->state) : -1,
                            replica.said.staged.empty() ? "-" : replica.said.staged.front().value());
    }
    return text;
}

assembly_world assembledWorld()
{
    assembly_world world(6, 8, 1);
    world.heal(std::chrono::seconds(20));
    world.advance(std::chrono::seconds(10));
    world.beginTraffic();
    return world;
}

} // namespace vetchpost::test
