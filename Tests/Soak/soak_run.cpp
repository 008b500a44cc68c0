// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_run.h"

#include "Libraries/Base/json.h"
#include "Tests/Soak/soak_checks.h"
#include "Tests/Soak/soak_cluster.h"
#include "platform/names.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>

namespace vetchpost::test {

namespace {

constexpr duration tick(20);
constexpr duration eventPeriod(500);
/// The daemons look at a replica that sends nothing for 250 ms, and take it for silent 200 ms later.
constexpr duration longestAnswer(200);
constexpr duration watchPeriod(50);
constexpr duration samplePeriod(1000);
/// How long a fault may outlast the moment of its planned end: a turn of the loop and a call to a stand-in.
constexpr duration endMargin(300);
/// A group that lost a member stands still for 1.5 s before its head gives up, and its members form anew within another second.
constexpr duration replicaRepair(2500);
/// A replica that ended under a request is back after this time.
constexpr duration endLength(1500);
/// A drained replica has ended after it, and another life may begin.
constexpr duration drainLength(6000);
/// Resets the connections that were silenced, once the silence is over.
constexpr duration resetLength(100);

std::atomic<bool> isInterrupted = false;

Json::Value switchTo(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

/// What a fault may cost, and whom; nothing where it must cost nothing.
std::optional<disturbance_kind> disturbanceOf(fault_kind kind)
{
    if (kind == fault_kind::stop_daemon || kind == fault_kind::move_daemon || kind == fault_kind::reload_daemon) {
        return disturbance_kind::planned;
    }
    if (kind == fault_kind::kill_daemon || kind == fault_kind::freeze_daemon) {
        return disturbance_kind::process;
    }
    if (kind >= fault_kind::delay_callers && kind <= fault_kind::drip_callers) {
        return disturbance_kind::callers;
    }
    if (kind >= fault_kind::delay_store_link && kind <= fault_kind::forgetting_store) {
        return disturbance_kind::store;
    }
    // A replica that drains serves on, and slow ones answer.
    const bool mayLose = kind == fault_kind::kill_replica || kind == fault_kind::dark_replica || kind == fault_kind::losing_replicas
        || kind == fault_kind::garbling_replicas;
    return mayLose ? std::optional(disturbance_kind::replicas) : std::nullopt;
}

/// Asks the replicas' process again and again. All replicas are one process, and where the machine does not let it run, none of them moves:
/// no daemon can tell that from a fault, so that it counts as one. It is printed with its length.
class standstill_watch
{
public:
    explicit standstill_watch(const endpoint &control)
        : m_thread([this, control] {
            while (!m_isStopping) {
                const auto asked = monotonicNow();
                factsOf(control);
                const auto answered = monotonicNow();
                if (answered - asked > longestAnswer) {
                    m_found.push_back({disturbance_kind::replicas, asked, answered + replicaRepair, std::nullopt});
                    fmt::print("the replicas' process stood still for {} ms at {}\n",
                               (answered - asked).count(),
                               asked.time_since_epoch().count());
                }
                std::this_thread::sleep_for(watchPeriod);
            }
        })
    {
    }

    ~standstill_watch()
    {
        stop();
    }

    standstill_watch(const standstill_watch &) = delete;
    standstill_watch &operator=(const standstill_watch &) = delete;

    /// The standstills that were seen; ends the watch.
    std::vector<disturbance> stop()
    {
        m_isStopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return std::move(m_found);
    }

private:
    std::atomic<bool> m_isStopping = false;
    std::vector<disturbance> m_found;
    std::thread m_thread;
};

/// Plays the plan against a cluster, beside the clients' traffic.
class soak_player
{
public:
    soak_player(const soak_options &options, const std::vector<planned_fault> &plan)
        : m_options(options)
        , m_plan(plan)
        , m_cluster(options, m_facts)
    {
    }

    soak_facts play()
    {
        m_cluster.start();
        standstill_watch watch(m_cluster.replicaControl());
        playTraffic();
        std::this_thread::sleep_for(eventPeriod);
        takeEvents();
        const auto standstills = watch.stop();
        m_facts.disturbances.insert(m_facts.disturbances.end(), standstills.begin(), standstills.end());
        m_facts.endedAt = monotonicNow();
        m_facts.attempts = m_log.all();
        return m_facts;
    }

private:
    // Traffic.

    void playTraffic()
    {
        const auto begin = monotonicNow();
        for (const auto &fault : m_plan) {
            m_agenda.emplace(begin + fault.at, [this, fault] { apply(fault); });
        }
        const auto end = begin + m_options.size.length;
        m_facts.faultsEndedAt = end - calmEnd;
        std::vector<std::unique_ptr<soak_client>> clients;
        clients.reserve(static_cast<std::size_t>(m_options.clients));
        for (int number = 0; number < m_options.clients; ++number) {
            clients.push_back(std::make_unique<soak_client>(number, m_options.seed, m_cluster.directory(), m_log));
        }
        beginDeadlyRequests(begin);
        for (const auto &notice : planNotices(m_options.seed, m_options.size, m_options.notices)) {
            m_agenda.emplace(begin + notice.at, [this, notice] { beginNotice(notice); });
        }
        instant nextEvents;
        instant nextSample;
        for (auto now = begin; now < end; now = monotonicNow()) {
            if (isInterrupted) {
                throw std::runtime_error("interrupted");
            }
            while (!m_agenda.empty() && m_agenda.begin()->first <= now) {
                m_agenda.extract(m_agenda.begin()).mapped()();
            }
            m_cluster.careForDaemons(now);
            if (now >= nextEvents) {
                takeEvents();
                noteRecovery(now);
                nextEvents = now + eventPeriod;
            }
            if (now >= nextSample) {
                m_cluster.sampleResources();
                nextSample = now + samplePeriod;
            }
            std::this_thread::sleep_for(tick);
        }
        std::for_each(clients.begin(), clients.end(), [](const auto &client) { client->requestStop(); });
    }

    /// They begin one after the other, spread over the time of the faults.
    void beginDeadlyRequests(instant begin)
    {
        setFaults(m_cluster.replicaControl(), switchTo("deadly_body", m_options.deadlyRequests > 0 ? deadlyBodyPrefix : ""));
        const auto time = m_facts.faultsEndedAt - begin;
        for (int number = 0; number < m_options.deadlyRequests; ++number) {
            m_agenda.emplace(begin + time * (number + 1) / (m_options.deadlyRequests + 2), [this, number] {
                m_deadlyClients.push_back(std::make_unique<soak_client>(
                    number, m_options.seed, m_cluster.directory(), m_log, fmt::format("{}-{}", deadlyBodyPrefix, number)));
            });
        }
        m_agenda.emplace(m_facts.faultsEndedAt, [this] {
            for (const auto &client : m_deadlyClients) {
                client->requestStop();
            }
        });
    }

    /// What an ended replica was at is lost, as with any other.
    void noteEndedReplica(const platform_event &event)
    {
        m_facts.disturbances.push_back({disturbance_kind::replicas, event.at, event.at + replicaRepair + endLength, std::nullopt});
    }

    void takeEvents()
    {
        const auto events = newEvents(m_cluster.replicaControl(), m_lastEvent);
        for (const auto &event : events) {
            if (event.what == "ended_replica") {
                noteEndedReplica(event);
            }
        }
        m_facts.events.insert(m_facts.events.end(), events.begin(), events.end());
    }

    /// All are ready, and each has answered requests for both models that were sent after the faults.
    void noteRecovery(instant now)
    {
        if (now < m_facts.faultsEndedAt || m_facts.recoveredAt || !m_cluster.areAllReadySince(m_facts.faultsEndedAt)) {
            return;
        }
        std::set<std::pair<int, std::string>> answered;
        for (const auto &attempt : m_log.all()) {
            if (attempt.end == attempt_end::answered && !attempt.model.empty() && attempt.sentAt > m_facts.faultsEndedAt) {
                answered.emplace(attempt.daemon, attempt.model);
            }
        }
        if (answered.size() == m_cluster.directory().daemonCount() * modelCount) {
            m_facts.recoveredAt = now;
        }
    }

    // Faults.

    void apply(const planned_fault &fault)
    {
        const auto now = monotonicNow();
        note(fault, now);
        switch (fault.kind) {
        case fault_kind::stop_daemon:
        case fault_kind::move_daemon:
            return m_cluster.stopDaemon(fault.target, fault.lasts, fault.kind == fault_kind::move_daemon);
        case fault_kind::kill_daemon:
            return m_cluster.killDaemon(fault.target, fault.lasts);
        case fault_kind::freeze_daemon:
            m_cluster.freezeDaemon(fault.target);
            m_agenda.emplace(now + fault.lasts, [this, fault] { m_cluster.resumeDaemon(fault.target); });
            return;
        case fault_kind::reload_daemon:
            return m_cluster.daemon(fault.target).process().signal(SIGHUP);
        case fault_kind::change_configuration:
        case fault_kind::withdraw_key:
            return changeConfiguration(fault.kind == fault_kind::withdraw_key, now);
        default:
            applyForAWhile(fault, now);
        }
    }

    void changeConfiguration(bool withdrawsKey, instant now)
    {
        const auto key = m_cluster.changeConfiguration(withdrawsKey);
        // Once all daemons in touch know the key.
        m_agenda.emplace(now + soak_bounds().configurationApply, [this, key] { m_cluster.directory().setChangingKey(key); });
    }

    /// Writes down whom the fault may cost what.
    void note(const planned_fault &fault, instant now)
    {
        if (const auto kind = disturbanceOf(fault.kind)) {
            const bool isOfReplicas = *kind == disturbance_kind::replicas;
            const bool isOfOne = fault.kind < fault_kind::silent_store;
            const auto until = now + fault.lasts + endMargin + (isOfReplicas ? replicaRepair : duration(0));
            m_facts.disturbances.push_back({*kind, now, until, isOfOne ? std::optional(fault.target) : std::nullopt});
        }
    }

    void applyForAWhile(const planned_fault &fault, instant now)
    {
        const auto end = now + fault.lasts;
        if (fault.kind <= fault_kind::drip_callers) {
            disturbLink(m_cluster.daemon(fault.target).callersLink(), fault.kind, fault_kind::delay_callers, end);
        } else if (fault.kind <= fault_kind::drip_store_link) {
            disturbLink(m_cluster.daemon(fault.target).storeLink(), fault.kind, fault_kind::delay_store_link, end);
        } else if (fault.kind <= fault_kind::forgetting_store) {
            disturbStore(fault.kind, end);
        } else {
            disturbReplicas(fault, end);
        }
    }

    void disturbLink(loopback_proxy &link, fault_kind kind, fault_kind first, instant end)
    {
        const auto offset = static_cast<int>(kind) - static_cast<int>(first);
        const auto how = static_cast<link_fault>(static_cast<int>(link_fault::delay) + offset);
        link.setFault(how);
        const bool isOfClients = first == fault_kind::delay_callers;
        if (how == link_fault::silence && isOfClients) {
            m_agenda.emplace(end, [&link] { link.setFault(link_fault::reset); });
            end += resetLength;
        }
        m_agenda.emplace(end, [&link] { link.setFault(link_fault::none); });
    }

    void disturbStore(fault_kind kind, instant end)
    {
        constexpr double lostShare = 0.3;
        constexpr int slowMs = 400;
        switch (kind) {
        case fault_kind::silent_store:
            return setForAWhile(m_cluster.storeControl(), "silent", true, false, end);
        case fault_kind::refusing_store:
            return setForAWhile(m_cluster.storeControl(), "refuse_503", true, false, end);
        case fault_kind::slow_store:
            return setForAWhile(m_cluster.storeControl(), "slow_ms", slowMs, 0, end);
        case fault_kind::losing_store:
            return setForAWhile(m_cluster.storeControl(), "lose_answers", lostShare, 0, end);
        default:
            setFaults(m_cluster.storeControl(), switchTo("forget_history", true));
        }
    }

    void setForAWhile(const endpoint &control, const char *name, const Json::Value &on, const Json::Value &off, instant end)
    {
        setFaults(control, switchTo(name, on));
        m_agenda.emplace(end, [control, name, off] { setFaults(control, switchTo(name, off)); });
    }

    /// All replicas that are dark or gone come back at the end.
    void strikeReplica(const char *how, const std::string &id, instant end)
    {
        Json::Value ids(Json::arrayValue);
        ids.append(id);
        setForAWhile(m_cluster.replicaControl(), how, ids, Json::Value(Json::arrayValue), end);
        m_agenda.emplace(end, [this] { setFaults(m_cluster.replicaControl(), switchTo("revive", true)); });
    }

    /// One that requests go to: the head of a group, or a plain one.
    std::string servingReplica(int draw) const
    {
        std::vector<std::string> serving;
        const auto facts = factsOf(m_cluster.replicaControl());
        for (const auto &replica : facts["replicas"]) {
            const auto &group = replica[platform_names::group];
            const bool isOpenHead = group.isObject() && jsonString(group, platform_names::state) == platform_names::open;
            if (jsonFlag(replica, "alive") && (isOpenHead || !replica.isMember(platform_names::models))) {
                serving.push_back(jsonString(replica, "id"));
            }
        }
        return serving.empty() ? std::string() : serving[static_cast<std::size_t>(draw) % serving.size()];
    }

    /// Lets a replica say something of itself for a while.
    void beginNotice(const planned_notice &notice)
    {
        const auto id = servingReplica(notice.target);
        const auto end = monotonicNow() + notice.lasts;
        switch (notice.kind) {
        case notice_kind::limit: {
            char *rest = nullptr;
            const auto value = std::strtod(notice.value.c_str(), &rest);
            const auto limit = *rest == 0 ? switchTo(id.c_str(), value) : Json::Value(Json::objectValue);
            return setForAWhile(m_cluster.replicaControl(), "limit", limit, switchTo(id.c_str(), Json::nullValue), end);
        }
        case notice_kind::rest:
            return setForAWhile(m_cluster.replicaControl(), "rest", switchTo(id.c_str(), notice.value), switchTo(id.c_str(), ""), end);
        case notice_kind::leaving:
            break;
        }
        Json::Value ids(Json::arrayValue);
        ids.append(id);
        setFaults(m_cluster.replicaControl(), switchTo("say_leaving", ids));
        // Its entry says so later.
        m_agenda.emplace(end, [this, id] { strikeReplica("drain", id, monotonicNow() + drainLength); });
    }

    void disturbReplicas(const planned_fault &fault, instant end)
    {
        constexpr double lostShare = 0.4;
        constexpr double slowFactor = 4;
        const auto id = jsonString(factsOf(m_cluster.replicaControl())["replicas"][fault.target], "id");
        switch (fault.kind) {
        case fault_kind::slow_replicas:
            return setForAWhile(m_cluster.replicaControl(), "slow", switchTo(id.c_str(), slowFactor), switchTo(id.c_str(), 1), end);
        case fault_kind::losing_replicas:
            setForAWhile(m_cluster.replicaControl(), "late_orders", lostShare, 0, end);
            return setForAWhile(m_cluster.replicaControl(), "lose_answer", lostShare, 0, end);
        case fault_kind::garbling_replicas:
            setForAWhile(m_cluster.replicaControl(), "extra_bytes", lostShare, 0, end);
            return setForAWhile(m_cluster.replicaControl(), "garble", lostShare, 0, end);
        case fault_kind::dark_replica:
            return strikeReplica("dark", id, end);
        case fault_kind::kill_replica:
            return strikeReplica("kill", id, end);
        default:
            return strikeReplica("drain", id, monotonicNow() + drainLength);
        }
    }

    soak_options m_options;
    std::vector<planned_fault> m_plan;
    soak_facts m_facts;
    attempt_log m_log;
    std::multimap<instant, std::function<void()>> m_agenda;
    std::uint64_t m_lastEvent = 0;
    soak_cluster m_cluster;
    std::vector<std::unique_ptr<soak_client>> m_deadlyClients;
};

} // namespace

void interruptSoak()
{
    isInterrupted = true;
}

soak_facts runSoak(const soak_options &options, const std::vector<planned_fault> &plan)
{
    return soak_player(options, plan).play();
}

} // namespace vetchpost::test
