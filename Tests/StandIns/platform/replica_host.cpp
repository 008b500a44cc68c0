// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/replica_host.h"

#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr duration tickTime(10);
/// How long a leaving replica goes on after the store has accepted that, and how long at most while its group has work.
constexpr duration drainTime(2500);
constexpr duration longestDrain(10000);

bool isNamedIn(const Json::Value &list, const std::string &id)
{
    return std::any_of(list.begin(), list.end(), [&](const Json::Value &item) { return item.isString() && item.asString() == id; });
}

} // namespace

replica_host::replica_host(replica_world world, const host_options &options)
    : m_options(options)
    , m_world(std::move(world))
    , m_lives(m_world.replicas.size())
    , m_hasCrashed(m_world.replicas.size())
    , m_servers(m_world.replicas.size())
{
    for (std::size_t number = 0; number < m_servers.size(); ++number) {
        m_world.replicas[number].isAlive = false;
        startIncarnation(number);
    }
    m_ticker = std::thread([this] { runTicks(); });
}

replica_host::~replica_host()
{
    m_isStopping = true;
    m_ticker.join();
}

const event_journal &replica_host::journal() const
{
    return m_journal;
}

// Lives.

void replica_host::startIncarnation(std::size_t number)
{
    // One life ends before the next begins: both need the port.
    const std::lock_guard incarnations(m_incarnationsMutex);
    const auto port = static_cast<std::uint16_t>(m_options.basePort + number);
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_world.replicas[number];
        if (replica.isAlive) {
            return;
        }
        // Of the replicas that crash every second one comes back under the id that it had.
        const bool keepsId = m_hasCrashed[number] && number % 2 == 0;
        ++m_lives[number];
        replica.id = keepsId ? replica.id : fmt::format("i-{}-{}", number, m_lives[number]);
        replica.born = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
        m_ends.erase(replica.id);
        replica.address = fmt::format("127.0.0.1:{}", port);
        replica.isAlive = true;
        replica.isDark = replica.isDraining = false;
        replica.highestEpoch = replica.orders = 0;
        replica.active = replica.waiting = 0;
        Json::Value fields;
        fields["replica"] = replica.id;
        m_world.events.push_back({"started", fields});
        passEvents();
    }
    http_server_limits limits;
    limits.maximumThreads = 256;
    limits.maximumQueued = limits.maximumThreads;
    m_servers[number] = std::make_unique<http_server>(
        endpoint{"127.0.0.1", port}, limits, [this, number](http_exchange &exchange) { handle(number, exchange); });
}

void replica_host::stopIncarnation(std::size_t number, bool isAnnounced)
{
    const std::lock_guard incarnations(m_incarnationsMutex);
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_world.replicas[number];
        if (!replica.isAlive) {
            return;
        }
        m_hasCrashed[number] = !isAnnounced;
        endIncarnation(m_world, replica);
        m_world.events.back().fields["announced"] = isAnnounced;
        passEvents();
    }
    m_servers[number].reset();
}

void replica_host::setFaults(const Json::Value &json)
{
    std::vector<std::size_t> toKill;
    std::vector<std::size_t> toStart;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t number = 0; number < m_world.replicas.size(); ++number) {
            auto &replica = m_world.replicas[number];
            if (json.isMember("kill") && isNamedIn(json["kill"], replica.id)) {
                toKill.push_back(number);
            }
            replica.isDark = replica.isDark || (json.isMember("dark") && isNamedIn(json["dark"], replica.id));
            replica.isDraining = replica.isDraining || (json.isMember("drain") && isNamedIn(json["drain"], replica.id));
            setNotices(replica, json);
            if (json.isMember("slow") && json["slow"].isMember(replica.id)) {
                replica.slowness = json["slow"][replica.id].asDouble();
            }
            if (json.isMember("revive")) {
                replica.isDark = false;
                if (!replica.isAlive) {
                    toStart.push_back(number);
                }
            }
        }
    }
    std::for_each(toKill.begin(), toKill.end(), [&](std::size_t number) { stopIncarnation(number, false); });
    std::for_each(toStart.begin(), toStart.end(), [&](std::size_t number) { startIncarnation(number); });
    const auto setShare = [&](const char *name, fault_share &share) {
        if (json.isMember(name)) {
            share.set(json[name].isObject() ? json[name]["share"] : json[name]);
        }
    };
    setShare("lose_answer", m_faults.loseAnswers);
    if (json.isMember("deadly_body")) {
        const std::lock_guard lock(m_mutex);
        m_faults.deadlyBody = jsonString(json, "deadly_body");
    }
    setShare("garble", m_faults.garble);
    setShare("extra_bytes", m_faults.extraBytes);
    setShare("late_orders", m_faults.lateOrders);
    if (json.isMember("late_orders") && json["late_orders"].isObject() && json["late_orders"].isMember("ms")) {
        m_faults.lateOrdersMs = json["late_orders"]["ms"].asInt64();
    }
}

/// Takes what a replica is to say in its answers from now on; with the mutex held.
void replica_host::setNotices(stand_in_replica &replica, const Json::Value &json)
{
    if (json.isMember("limit") && json["limit"].isMember(replica.id)) {
        const auto &limit = json["limit"][replica.id];
        replica.rateLimit = limit.isNumeric() ? std::optional(limit.asDouble()) : std::nullopt;
        Json::Value fields;
        fields["replica"] = replica.id;
        fields["value"] = replica.rateLimit.value_or(0);
        m_world.events.push_back({replica.rateLimit ? "limit_begins" : "limit_ends", fields});
        passEvents();
    }
    if (json.isMember("rest") && json["rest"].isMember(replica.id)) {
        replica.rest = json["rest"][replica.id].asString();
    }
    replica.saysLeaving = replica.saysLeaving || (json.isMember("say_leaving") && isNamedIn(json["say_leaving"], replica.id));
}

/// What a replica says of itself in an answer with this status.
std::vector<http_header> replica_host::noticesOf(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    const auto *replica = findReplica(m_world, id);
    std::vector<http_header> notices;
    if (replica == nullptr) {
        return notices;
    }
    if (replica->rateLimit) {
        notices.push_back({names::serverLimit, fmt::format("{}", *replica->rateLimit)});
    }
    if (replica->saysLeaving || replica->isDraining) {
        notices.push_back({names::serverLeaving, names::isSet});
    }
    if (status == names::unavailable && !replica->rest.empty()) {
        notices.push_back({names::retryAfter, replica->rest});
    }
    return notices;
}

Json::Value replica_host::facts()
{
    const std::lock_guard lock(m_mutex);
    Json::Value json;
    json["replicas"] = Json::Value(Json::arrayValue);
    for (const auto &replica : m_world.replicas) {
        auto fact = reportOf(replica);
        fact["id"] = replica.id;
        fact["alive"] = replica.isAlive;
        fact["dark"] = replica.isDark;
        json["replicas"].append(fact);
    }
    for (const auto &[what, count] : m_counts) {
        json["counts"][what] = Json::UInt64(count);
    }
    return json;
}

std::vector<replica_host::wanted_entry> replica_host::wantedEntries()
{
    const std::lock_guard lock(m_mutex);
    std::vector<wanted_entry> result;
    for (std::size_t number = 0; number < m_world.replicas.size(); ++number) {
        const auto &replica = m_world.replicas[number];
        if (replica.isAlive && !replica.isDark) {
            result.push_back({number, replica.id, toJsonText(vetchpost::test::entryOf(replica)), replica.isDraining});
        }
    }
    return result;
}

void replica_host::noteDrainingAccepted(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    if (m_ends.try_emplace(id, monotonicNow() + drainTime).second) {
        Json::Value fields;
        fields["replica"] = id;
        m_journal.note("draining", fields);
    }
}

// Time.

void replica_host::runTicks()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(tickTime);
        tick();
    }
}

void replica_host::tick()
{
    const auto now = monotonicNow();
    {
        const std::lock_guard lock(m_mutex);
        settle(m_world, now);
        for (auto late = m_lateOrders.begin(); late != m_lateOrders.end();) {
            if (late->at > now) {
                ++late;
                continue;
            }
            auto *replica = findReplica(m_world, late->id);
            if (replica != nullptr && replica->isAlive) {
                takeOrder(m_world, *replica, late->order, now);
            }
            late = m_lateOrders.erase(late);
        }
        passEvents();
    }
    endDrained(now);
    endAndStartAgain(now);
}

/// Ends the replicas that requests have struck, and starts again those whose time has come.
void replica_host::endAndStartAgain(instant now)
{
    std::vector<std::size_t> toEnd;
    std::vector<std::size_t> toStart;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &ended : m_endedReplicas) {
            const auto &replica = m_world.replicas[ended.number];
            if (replica.isAlive && replica.id == ended.id && ended.startsAt > now) {
                toEnd.push_back(ended.number);
            } else if (ended.startsAt <= now) {
                toStart.push_back(ended.number);
            }
        }
        std::erase_if(m_endedReplicas, [&](const ended_replica &ended) { return ended.startsAt <= now; });
    }
    std::for_each(toEnd.begin(), toEnd.end(), [&](std::size_t number) { stopIncarnation(number, false); });
    std::for_each(toStart.begin(), toStart.end(), [&](std::size_t number) { startIncarnation(number); });
}

void replica_host::endDrained(instant now)
{
    std::vector<std::size_t> toEnd;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t number = 0; number < m_world.replicas.size(); ++number) {
            const auto &replica = m_world.replicas[number];
            const auto end = m_ends.find(replica.id);
            if (!replica.isAlive || end == m_ends.end() || end->second > now) {
                continue;
            }
            const auto *head = replica.membership ? findReplica(m_world, replica.membership->members.front()) : &replica;
            const bool hasWork = head != nullptr && head->active + head->waiting > 0;
            if (!hasWork || end->second + longestDrain <= now) {
                toEnd.push_back(number);
            }
        }
    }
    std::for_each(toEnd.begin(), toEnd.end(), [&](std::size_t number) { stopIncarnation(number, true); });
}

void replica_host::passEvents()
{
    for (auto &event : m_world.events) {
        ++m_counts[event.what];
        m_journal.note(event.what, std::move(event.fields));
    }
    m_world.events.clear();
}

// Calls.

bool replica_host::isSilent(std::size_t number, const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto &replica = m_world.replicas[number];
    return replica.isAlive && replica.id == id && replica.isDark && !m_isStopping;
}

void replica_host::handle(std::size_t number, http_exchange &exchange)
{
    stand_in_replica replica;
    {
        const std::lock_guard lock(m_mutex);
        replica = m_world.replicas[number];
    }
    if (replica.isDark) {
        staySilent(exchange, [&] { return !isSilent(number, replica.id); });
        return;
    }
    const auto expected = exchange.header(names::expectInstance);
    if (!expected.empty() && expected != replica.id) {
        exchange.setHeader(names::attemptId, exchange.header(names::attemptId));
        exchange.setHeader(stand_in_names::instance, replica.id);
        for (const auto &notice : noticesOf(replica.id, names::misdirected)) {
            exchange.setHeader(notice.name, notice.value);
        }
        exchange.send(names::misdirected, "text/plain", "another instance\n");
    } else if (exchange.path() == names::reportCall) {
        for (const auto &notice : noticesOf(replica.id, 0)) {
            exchange.setHeader(notice.name, notice.value);
        }
        sendJson(exchange, reportOf(replica));
    } else if (exchange.path() == names::orderCall) {
        handleOrder(number, exchange);
    } else {
        handleRequest(number, exchange);
    }
}

void replica_host::handleOrder(std::size_t number, http_exchange &exchange)
{
    const auto order = bodyOf(exchange);
    const auto now = monotonicNow();
    std::string id;
    int status = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_world.replicas[number];
        id = replica.id;
        if (m_faults.lateOrders.strikes()) {
            m_lateOrders.push_back({now + duration(m_faults.lateOrdersMs), id, order});
        } else {
            status = takeOrder(m_world, replica, order, now);
            passEvents();
        }
    }
    if (status != 0) {
        for (const auto &notice : noticesOf(id, status)) {
            exchange.setHeader(notice.name, notice.value);
        }
        sendJson(exchange, Json::Value(Json::objectValue), status);
        return;
    }
    staySilent(exchange, [&] {
        const std::lock_guard lock(m_mutex);
        return !m_world.replicas[number].isAlive || m_isStopping;
    });
}

} // namespace vetchpost::test
