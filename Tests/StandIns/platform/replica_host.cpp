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

constexpr duration tickPeriod(10);
/// Time for which a draining replica goes on after the store has accepted its draining entry, and the longest extension of that time while
/// its group has work.
constexpr duration drainTime(2500);
constexpr duration maxDrainExtension(10000);

bool isNamedIn(const Json::Value &list, const std::string &id)
{
    return std::any_of(list.begin(), list.end(), [&](const Json::Value &item) { return item.isString() && item.asString() == id; });
}

} // namespace

replica_host::replica_host(replica_simulation simulation, const host_options &options)
    : m_options(options)
    , m_simulation(std::move(simulation))
    , m_incarnations(m_simulation.replicas.size())
    , m_hasCrashed(m_simulation.replicas.size())
    , m_servers(m_simulation.replicas.size())
{
    for (std::size_t number = 0; number < m_servers.size(); ++number) {
        m_simulation.replicas[number].isAlive = false;
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

// Start and stop.

void replica_host::startIncarnation(std::size_t number)
{
    // An incarnation must stop before the next one starts, because both use the same port.
    const std::lock_guard incarnations(m_incarnationsMutex);
    const auto port = static_cast<std::uint16_t>(m_options.basePort + number);
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_simulation.replicas[number];
        if (replica.isAlive) {
            return;
        }
        // Among the replicas that have crashed, those with an even number restart with the same id.
        const bool keepsId = m_hasCrashed[number] && number % 2 == 0;
        ++m_incarnations[number];
        replica.id = keepsId ? replica.id : fmt::format("i-{}-{}", number, m_incarnations[number]);
        replica.born = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
        m_terminations.erase(replica.id);
        replica.address = fmt::format("127.0.0.1:{}", port);
        replica.isAlive = true;
        replica.isCutOff = replica.isIsolated = replica.isPaused = replica.isDraining = false;
        replica.highestEpoch = replica.orders = 0;
        replica.active = 0;
        replica.queue.clear();
        Json::Value fields;
        fields["replica"] = replica.id;
        m_simulation.events.push_back({"started", fields});
        if (m_incarnations[number] > 1 && m_simulation.timing.cold > duration()) {
            makeCold(m_simulation, replica, m_simulation.timing.cold, monotonicNow());
        }
        flushEvents();
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
        auto &replica = m_simulation.replicas[number];
        if (!replica.isAlive) {
            return;
        }
        m_hasCrashed[number] = !isAnnounced;
        endIncarnation(m_simulation, replica);
        m_simulation.events.back().fields["announced"] = isAnnounced;
        flushEvents();
    }
    m_servers[number].reset();
}

void replica_host::setFaults(const Json::Value &json)
{
    std::vector<std::size_t> toKill;
    std::vector<std::size_t> toStart;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t number = 0; number < m_simulation.replicas.size(); ++number) {
            auto &replica = m_simulation.replicas[number];
            if (json.isMember("kill") && isNamedIn(json["kill"], replica.id)) {
                toKill.push_back(number);
            }
            replica.isCutOff = replica.isCutOff || (json.isMember("dark") && isNamedIn(json["dark"], replica.id));
            replica.isIsolated = (replica.isIsolated || (json.isMember("isolate") && isNamedIn(json["isolate"], replica.id)))
                && !(json.isMember("reconnect") && isNamedIn(json["reconnect"], replica.id));
            replica.isPaused = (replica.isPaused || (json.isMember("pause") && isNamedIn(json["pause"], replica.id)))
                && !(json.isMember("continue") && isNamedIn(json["continue"], replica.id));
            replica.isDraining = replica.isDraining || (json.isMember("drain") && isNamedIn(json["drain"], replica.id));
            setNoticeFaults(replica, json);
            if (jsonFlag(json, "cold") && replica.isAlive) {
                makeCold(m_simulation, replica, m_simulation.timing.cold, monotonicNow());
            }
            if (json.isMember("slow") && json["slow"].isMember(replica.id)) {
                replica.slowness = json["slow"][replica.id].asDouble();
            }
            if (json.isMember("revive")) {
                replica.isCutOff = false;
                if (!replica.isAlive) {
                    toStart.push_back(number);
                }
            }
        }
    }
    std::for_each(toKill.begin(), toKill.end(), [&](std::size_t number) { stopIncarnation(number, false); });
    std::for_each(toStart.begin(), toStart.end(), [&](std::size_t number) { startIncarnation(number); });
    const auto setProbability = [&](const char *name, fault_probability &probability) {
        if (json.isMember(name)) {
            probability.set(json[name].isObject() ? json[name]["share"] : json[name]);
        }
    };
    setProbability("lose_answer", m_faults.loseAnswers);
    setProbability("reject", m_faults.rejections);
    if (json.isMember("deadly_body")) {
        const std::lock_guard lock(m_mutex);
        m_faults.deadlyBody = jsonString(json, "deadly_body");
    }
    if (json.isMember("deadly_part")) {
        const std::lock_guard lock(m_mutex);
        m_faults.deadlyPart = jsonString(json, "deadly_part");
    }
    if (json.isMember("exit_ms")) {
        m_faults.exitMs = json["exit_ms"].asInt64();
    }
    setProbability("garble", m_faults.garble);
    setProbability("extra_bytes", m_faults.extraBytes);
    setProbability("retransmit", m_faults.retransmissions);
    if (json.isMember("entry_return_ms")) {
        m_faults.entryReturnMs = json["entry_return_ms"].asInt64();
    }
    setProbability("late_orders", m_faults.delayOrders);
    if (json.isMember("late_orders") && json["late_orders"].isObject() && json["late_orders"].isMember("ms")) {
        m_faults.orderDelayMs = json["late_orders"]["ms"].asInt64();
    }
}

/// Sets the notices that a replica's answers carry from now on. The caller holds m_mutex.
void replica_host::setNoticeFaults(stand_in_replica &replica, const Json::Value &json)
{
    if (json.isMember("limit") && json["limit"].isMember(replica.id)) {
        const auto &limit = json["limit"][replica.id];
        replica.rateLimit = limit.isNumeric() ? std::optional(limit.asDouble()) : std::nullopt;
        Json::Value fields;
        fields["replica"] = replica.id;
        fields["value"] = replica.rateLimit.value_or(0);
        m_simulation.events.push_back({replica.rateLimit ? "limit_begins" : "limit_ends", fields});
        flushEvents();
    }
    if (json.isMember("rest") && json["rest"].isMember(replica.id)) {
        replica.backoff = json["rest"][replica.id].asString();
    }
    replica.announcesLeaving = replica.announcesLeaving || (json.isMember("say_leaving") && isNamedIn(json["say_leaving"], replica.id));
}

/// Returns the notice headers of a replica's answer with the given status.
std::vector<http_header> replica_host::noticeHeaders(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    const auto *replica = findReplica(m_simulation, id);
    std::vector<http_header> notices;
    if (replica == nullptr) {
        return notices;
    }
    if (replica->rateLimit) {
        notices.push_back({names::serverLimit, fmt::format("{}", *replica->rateLimit)});
    }
    if (replica->coldUntil > monotonicNow()) {
        notices.push_back({names::coldHeader, std::to_string(replica->coldLeft.count())});
    }
    if (replica->announcesLeaving || replica->isDraining) {
        notices.push_back({names::serverLeaving, names::isSet});
    }
    if (status == names::unavailable && !replica->backoff.empty()) {
        notices.push_back({names::retryAfter, replica->backoff});
    }
    return notices;
}

Json::Value replica_host::facts()
{
    const std::lock_guard lock(m_mutex);
    Json::Value json;
    json["replicas"] = Json::Value(Json::arrayValue);
    for (const auto &replica : m_simulation.replicas) {
        auto fact = reportOf(replica);
        fact["id"] = replica.id;
        fact["alive"] = replica.isAlive;
        fact["dark"] = replica.isCutOff;
        json["replicas"].append(fact);
    }
    for (const auto &[what, count] : m_counts) {
        json["counts"][what] = Json::UInt64(count);
    }
    return json;
}

std::vector<replica_host::desired_entry> replica_host::desiredEntries()
{
    const std::lock_guard lock(m_mutex);
    std::vector<desired_entry> result;
    for (std::size_t number = 0; number < m_simulation.replicas.size(); ++number) {
        const auto &replica = m_simulation.replicas[number];
        if (replica.isAlive && !replica.isOutOfReach() && !replica.isPaused) {
            result.push_back({number, replica.id, toJsonText(vetchpost::test::entryOf(replica)), replica.isDraining});
        }
    }
    return result;
}

void replica_host::scheduleTermination(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    if (m_terminations.try_emplace(id, monotonicNow() + drainTime).second) {
        Json::Value fields;
        fields["replica"] = id;
        m_journal.recordEvent("draining", fields);
    }
}

// Timers.

void replica_host::runTicks()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(tickPeriod);
        tick();
    }
}

void replica_host::tick()
{
    const auto now = monotonicNow();
    {
        const std::lock_guard lock(m_mutex);
        advance(m_simulation, now);
        for (auto delayed = m_delayedOrders.begin(); delayed != m_delayedOrders.end();) {
            if (delayed->at > now) {
                ++delayed;
                continue;
            }
            auto *replica = findReplica(m_simulation, delayed->id);
            if (replica != nullptr && replica->isAlive) {
                executeOrder(m_simulation, *replica, delayed->order, now);
            }
            delayed = m_delayedOrders.erase(delayed);
        }
        flushEvents();
    }
    stopDrained(now);
    crashAndRestart(now);
}

/// Stops the replicas that deadly requests have hit, and restarts those whose downtime is over.
void replica_host::crashAndRestart(instant now)
{
    std::vector<std::size_t> toEnd;
    std::vector<std::size_t> toStart;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &ended : m_crashedReplicas) {
            const auto &replica = m_simulation.replicas[ended.number];
            if (replica.isAlive && replica.id == ended.id && ended.endsAt <= now && ended.restartsAt > now) {
                toEnd.push_back(ended.number);
            } else if (ended.restartsAt <= now) {
                toStart.push_back(ended.number);
            }
        }
        std::erase_if(m_crashedReplicas, [&](const crashed_replica &ended) { return ended.restartsAt <= now; });
    }
    std::for_each(toEnd.begin(), toEnd.end(), [&](std::size_t number) { stopIncarnation(number, false); });
    std::for_each(toStart.begin(), toStart.end(), [&](std::size_t number) { startIncarnation(number); });
}

void replica_host::stopDrained(instant now)
{
    std::vector<std::size_t> toEnd;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t number = 0; number < m_simulation.replicas.size(); ++number) {
            const auto &replica = m_simulation.replicas[number];
            const auto end = m_terminations.find(replica.id);
            if (!replica.isAlive || end == m_terminations.end() || end->second > now) {
                continue;
            }
            const auto *head = replica.membership ? findReplica(m_simulation, replica.membership->members.front()) : &replica;
            const bool hasWork = head != nullptr && head->active + head->waiting() > 0;
            if (!hasWork || end->second + maxDrainExtension <= now) {
                toEnd.push_back(number);
            }
        }
    }
    std::for_each(toEnd.begin(), toEnd.end(), [&](std::size_t number) { stopIncarnation(number, true); });
}

void replica_host::flushEvents()
{
    for (auto &event : m_simulation.events) {
        ++m_counts[event.what];
        m_journal.recordEvent(event.what, std::move(event.fields));
    }
    m_simulation.events.clear();
}

// Calls.

bool replica_host::isSilent(std::size_t number, const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto &replica = m_simulation.replicas[number];
    return replica.isAlive && replica.id == id && replica.isOutOfReach() && !m_isStopping;
}

/// Waits while the replica stands still. What has been sent to it meanwhile arrives when it goes on.
void replica_host::waitWhilePaused(std::size_t number)
{
    const auto isPaused = [&] {
        const std::lock_guard lock(m_mutex);
        const auto &replica = m_simulation.replicas[number];
        return replica.isPaused && replica.isAlive && !m_isStopping;
    };
    while (isPaused()) {
        std::this_thread::sleep_for(tickPeriod);
    }
}

void replica_host::handle(std::size_t number, http_exchange &exchange)
{
    waitWhilePaused(number);
    stand_in_replica replica;
    {
        const std::lock_guard lock(m_mutex);
        replica = m_simulation.replicas[number];
    }
    if (replica.isOutOfReach()) {
        leaveUnanswered(exchange, [&] { return !isSilent(number, replica.id); });
        return;
    }
    const auto expected = exchange.header(names::expectInstance);
    if (!expected.empty() && expected != replica.id) {
        exchange.setHeader(names::attemptId, exchange.header(names::attemptId));
        exchange.setHeader(stand_in_names::instance, replica.id);
        for (const auto &notice : noticeHeaders(replica.id, names::misdirected)) {
            exchange.setHeader(notice.name, notice.value);
        }
        exchange.send(names::misdirected, "text/plain", "another instance\n");
    } else if (exchange.path() == names::reportCall) {
        for (const auto &notice : noticeHeaders(replica.id, 0)) {
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
    const auto order = readJsonBody(exchange);
    const auto now = monotonicNow();
    std::string id;
    int status = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &replica = m_simulation.replicas[number];
        id = replica.id;
        if (m_faults.delayOrders.occurs()) {
            m_delayedOrders.push_back({now + duration(m_faults.orderDelayMs), id, order});
        } else {
            status = executeOrder(m_simulation, replica, order, now);
            flushEvents();
        }
    }
    if (status != 0) {
        for (const auto &notice : noticeHeaders(id, status)) {
            exchange.setHeader(notice.name, notice.value);
        }
        sendJson(exchange, Json::Value(Json::objectValue), status);
        return;
    }
    leaveUnanswered(exchange, [&] {
        const std::lock_guard lock(m_mutex);
        return !m_simulation.replicas[number].isAlive || m_isStopping;
    });
}

} // namespace vetchpost::test
