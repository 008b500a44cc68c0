// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_run.h"

#include "Libraries/Base/json.h"
#include "Tests/Soak/soak_checks.h"
#include "Tests/Soak/soak_client.h"
#include "Tests/Soak/soak_daemon.h"
#include "Tests/Soak/soak_platform.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace vetchpost::test {

namespace {

constexpr duration tick(20);
constexpr duration readinessPeriod(1000);
constexpr int missesUntilOut = 2;
constexpr duration eventPeriod(500);
constexpr duration samplePeriod(1000);
/// The first groups of both models are formed well within it.
constexpr duration longestStart(20000);
/// How long a fault may outlast the moment of its planned end: a turn of the loop and a call to a stand-in.
constexpr duration endMargin(300);
/// A group that lost a member stands still for 1.5 s before its head gives up, and its members form anew within another second.
constexpr duration replicaRepair(2500);
/// A drained replica has ended after it, and another life may begin.
constexpr duration drainLength(6000);
/// Resets the connections that were silenced, once the silence is over.
constexpr duration resetLength(100);

endpoint local(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

Json::Value switchTo(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

} // namespace

/// What is known of a daemon's process beside the process.
struct daemon_care
{
    std::optional<std::size_t> stop;
    bool isKilled = false;
    /// The next start is under another address.
    bool isMoving = false;
    duration staysAway{0};
    std::optional<instant> absentSince;
    std::atomic<std::int64_t> readyAtMs = 0;
};

class soak_run
{
public:
    soak_run(const soak_options &options, const std::vector<planned_fault> &plan)
        : m_options(options)
        , m_plan(plan)
        , m_care(static_cast<std::size_t>(options.size.daemons))
    {
    }

    ~soak_run()
    {
        m_isStopping = true;
        std::for_each(m_balancers.begin(), m_balancers.end(), [](std::thread &thread) { thread.join(); });
    }

    soak_run(const soak_run &) = delete;
    soak_run &operator=(const soak_run &) = delete;

    soak_facts play()
    {
        startPlatform();
        startDaemons();
        waitUntilServing();
        playTraffic();
        std::this_thread::sleep_for(eventPeriod);
        takeEvents();
        m_facts.endedAt = monotonicNow();
        m_facts.attempts = m_log.all();
        return std::move(m_facts);
    }

private:
    // Start.

    void startPlatform()
    {
        const auto start = [&](const char *name, std::vector<std::string> arguments) {
            arguments.insert(arguments.begin(), m_options.standIns + "/" + name);
            m_standIns.push_back(std::make_unique<child_process>(arguments, m_options.folder + "/" + name + ".log"));
        };
        start("standInStore", {"--listen=" + m_store.text(), "--control=" + m_storeControl.text()});
        waitFor("store", [&] { return !factsOf(m_storeControl).isNull(); });
        constexpr int domains = 2;
        start("standInReplicas",
              {"--store=" + m_store.text(),
               "--control=" + m_replicaControl.text(),
               fmt::format("--base-port={}", m_options.basePort + 100),
               "--models=m0:4,m1:2",
               fmt::format("--domains={}", domains),
               fmt::format("--per-domain={}", m_options.size.replicas / domains),
               fmt::format("--services={}:{}", plainService, m_options.size.plainReplicas)});
        waitFor("replicas", [&] { return !factsOf(m_replicaControl).isNull(); });
        changeConfiguration(false);
    }

    void startDaemons()
    {
        const daemon_options options{m_options.daemonProgram, m_options.folder, m_options.basePort, soak_bounds().retrySlack};
        std::vector<endpoint> callers;
        for (int number = 0; number < m_options.size.daemons; ++number) {
            m_daemons.push_back(std::make_unique<soak_daemon>(number, options, m_store));
            callers.push_back(m_daemons.back()->callers());
            m_daemons.back()->start(true);
        }
        m_directory = std::make_unique<soak_directory>(callers);
        m_directory->setVersion(m_version);
        m_directory->setChangingKey(changingKey());
        for (int number = 0; number < m_options.size.daemons; ++number) {
            m_balancers.emplace_back([this, number] { balance(number); });
        }
    }

    void waitUntilServing()
    {
        waitFor("ready daemons", [&] { return areAllReadySince(instant()); });
        waitFor("open groups", [&] {
            int open = 0;
            const auto facts = factsOf(m_replicaControl);
            for (const auto &replica : facts["replicas"]) {
                open += replica["group"].isObject() && jsonString(replica["group"], "State") == "open" ? 1 : 0;
            }
            return open >= 2;
        });
    }

    static void waitFor(const std::string &what, const std::function<bool()> &isThere)
    {
        const auto latest = monotonicNow() + longestStart;
        while (!isThere()) {
            if (monotonicNow() > latest) {
                throw std::runtime_error("no " + what + " at the start");
            }
            std::this_thread::sleep_for(eventPeriod);
        }
    }

    /// Asks one daemon whether it is ready, as the platform's balancer does.
    void balance(int number)
    {
        int misses = missesUntilOut;
        while (!m_isStopping) {
            const auto asked = monotonicNow();
            const bool isReadyNow = isReady(m_daemons.at(index(number))->readiness());
            misses = isReadyNow ? 0 : misses + 1;
            m_directory->setIn(number, misses < missesUntilOut);
            if (isReadyNow) {
                m_care.at(index(number)).readyAtMs = asked.time_since_epoch().count();
            }
            while (!m_isStopping && monotonicNow() < asked + readinessPeriod) {
                std::this_thread::sleep_for(tick);
            }
        }
    }

    bool areAllReadySince(instant since) const
    {
        return std::all_of(m_care.begin(), m_care.end(), [&](const daemon_care &care) {
            return care.readyAtMs > 0 && instant(duration(care.readyAtMs)) >= since;
        });
    }

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
        for (int number = 0; number < m_options.clients; ++number) {
            clients.push_back(std::make_unique<soak_client>(number, m_options.seed, *m_directory, m_log));
        }
        instant nextEvents;
        instant nextSample;
        for (auto now = begin; now < end; now = monotonicNow()) {
            while (!m_agenda.empty() && m_agenda.begin()->first <= now) {
                m_agenda.extract(m_agenda.begin()).mapped()();
            }
            careForDaemons(now);
            if (now >= nextEvents) {
                takeEvents();
                noteRecovery(now);
                nextEvents = now + eventPeriod;
            }
            if (now >= nextSample) {
                sample();
                nextSample = now + samplePeriod;
            }
            std::this_thread::sleep_for(tick);
        }
        std::for_each(clients.begin(), clients.end(), [](const auto &client) { client->requestStop(); });
    }

    void takeEvents()
    {
        const auto events = newEvents(m_replicaControl, m_lastEvent);
        m_facts.events.insert(m_facts.events.end(), events.begin(), events.end());
    }

    void sample()
    {
        for (int number = 0; number < m_options.size.daemons; ++number) {
            if (auto resources = m_daemons.at(index(number))->process().resources()) {
                resources->daemon = number;
                resources->at = monotonicNow();
                m_facts.samples.push_back(*resources);
            }
        }
    }

    /// All are ready, and each has answered a request that was sent after the faults.
    void noteRecovery(instant now)
    {
        if (now < m_facts.faultsEndedAt || m_facts.recoveredAt || !areAllReadySince(m_facts.faultsEndedAt)) {
            return;
        }
        std::vector<bool> hasAnswered(m_daemons.size(), false);
        for (const auto &attempt : m_log.all()) {
            if (attempt.end == attempt_end::answered && attempt.kind == request_kind::stream && attempt.sentAt > m_facts.faultsEndedAt) {
                hasAnswered.at(index(attempt.daemon)) = true;
            }
        }
        if (std::find(hasAnswered.begin(), hasAnswered.end(), false) == hasAnswered.end()) {
            m_facts.recoveredAt = now;
        }
    }

    // Processes.

    /// Ends what has used up its grace, notes what has ended and starts it again after its time.
    void careForDaemons(instant now)
    {
        for (int number = 0; number < m_options.size.daemons; ++number) {
            auto &daemon = *m_daemons.at(index(number));
            auto &care = m_care.at(index(number));
            if (care.stop && now > m_facts.stops.at(*care.stop).askedAt + soak_bounds().grace) {
                daemon.process().signal(SIGKILL);
            }
            if (!care.absentSince && daemon.process().endedAt()) {
                noteEnd(number, *daemon.process().endedAt());
            }
            if (care.absentSince && now >= *care.absentSince + care.staysAway) {
                if (std::exchange(care.isMoving, false)) {
                    daemon.move();
                }
                daemon.start(false);
                ++m_directory->incarnations.at(index(number));
                m_facts.disturbances.push_back({disturbance_kind::absence, *care.absentSince, now + endMargin, number});
                care.absentSince.reset();
                care.isKilled = false;
            }
        }
    }

    void noteEnd(int number, instant at)
    {
        auto &care = m_care.at(index(number));
        care.absentSince = at;
        if (care.stop) {
            m_facts.stops.at(*care.stop).endedAt = at;
            care.stop.reset();
        } else if (!care.isKilled) {
            m_facts.crashes.push_back({number, at});
        }
    }

    void stopDaemon(const planned_fault &fault, instant now)
    {
        auto &care = m_care.at(index(fault.target));
        if (care.stop || care.absentSince) {
            return;
        }
        care.stop = m_facts.stops.size();
        care.staysAway = fault.lasts;
        m_facts.stops.push_back({fault.target, now, std::nullopt, m_frozenUntil[fault.target] > now});
        m_daemons.at(index(fault.target))->process().signal(SIGTERM);
        care.isMoving = fault.kind == fault_kind::move_daemon;
    }

    void noteDisturbedStop(int number)
    {
        auto &care = m_care.at(index(number));
        if (care.stop) {
            m_facts.stops.at(*care.stop).isDisturbed = true;
        }
    }

    void killDaemon(const planned_fault &fault)
    {
        auto &care = m_care.at(index(fault.target));
        noteDisturbedStop(fault.target);
        care.isKilled = true;
        care.staysAway = fault.lasts;
        m_daemons.at(index(fault.target))->process().signal(SIGKILL);
    }

    void freezeDaemon(const planned_fault &fault, instant now)
    {
        noteDisturbedStop(fault.target);
        m_frozenUntil[fault.target] = now + fault.lasts;
        auto &process = m_daemons.at(index(fault.target))->process();
        process.signal(SIGSTOP);
        // After a restart the signal finds the new process, which it does no harm.
        m_agenda.emplace(now + fault.lasts, [this, number = fault.target] { m_daemons.at(index(number))->process().signal(SIGCONT); });
    }

    // Faults.

    void apply(const planned_fault &fault)
    {
        const auto now = monotonicNow();
        note(fault, now);
        switch (fault.kind) {
        case fault_kind::stop_daemon:
        case fault_kind::move_daemon:
            stopDaemon(fault, now);
            break;
        case fault_kind::kill_daemon:
            killDaemon(fault);
            break;
        case fault_kind::freeze_daemon:
            freezeDaemon(fault, now);
            break;
        case fault_kind::reload_daemon:
            m_daemons.at(index(fault.target))->process().signal(SIGHUP);
            break;
        case fault_kind::change_configuration:
            changeConfiguration(false);
            break;
        case fault_kind::withdraw_key:
            changeConfiguration(true);
            break;
        default:
            applyForAWhile(fault, now);
        }
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

    static std::optional<disturbance_kind> disturbanceOf(fault_kind kind)
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

    void applyForAWhile(const planned_fault &fault, instant now)
    {
        const auto end = now + fault.lasts;
        if (fault.kind <= fault_kind::drip_callers) {
            disturbLink(m_daemons.at(index(fault.target))->callersLink(), fault.kind, fault_kind::delay_callers, end);
        } else if (fault.kind <= fault_kind::drip_store_link) {
            disturbLink(m_daemons.at(index(fault.target))->storeLink(), fault.kind, fault_kind::delay_store_link, end);
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
            return setForAWhile(m_storeControl, "silent", true, false, end);
        case fault_kind::refusing_store:
            return setForAWhile(m_storeControl, "refuse_503", true, false, end);
        case fault_kind::slow_store:
            return setForAWhile(m_storeControl, "slow_ms", slowMs, 0, end);
        case fault_kind::losing_store:
            return setForAWhile(m_storeControl, "lose_answers", lostShare, 0, end);
        default:
            setFaults(m_storeControl, switchTo("forget_history", true));
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
        setForAWhile(m_replicaControl, how, ids, Json::Value(Json::arrayValue), end);
        m_agenda.emplace(end, [this] { setFaults(m_replicaControl, switchTo("revive", true)); });
    }

    void disturbReplicas(const planned_fault &fault, instant end)
    {
        constexpr double lostShare = 0.4;
        constexpr double slowFactor = 4;
        const auto id = jsonString(factsOf(m_replicaControl)["replicas"][fault.target], "id");
        switch (fault.kind) {
        case fault_kind::slow_replicas:
            return setForAWhile(m_replicaControl, "slow", switchTo(id.c_str(), slowFactor), switchTo(id.c_str(), 1), end);
        case fault_kind::losing_replicas:
            setForAWhile(m_replicaControl, "late_orders", lostShare, 0, end);
            return setForAWhile(m_replicaControl, "lose_answer", lostShare, 0, end);
        case fault_kind::garbling_replicas:
            setForAWhile(m_replicaControl, "extra_bytes", lostShare, 0, end);
            return setForAWhile(m_replicaControl, "garble", lostShare, 0, end);
        case fault_kind::dark_replica:
            return strikeReplica("dark", id, end);
        case fault_kind::kill_replica:
            return strikeReplica("kill", id, end);
        default:
            return strikeReplica("drain", id, monotonicNow() + drainLength);
        }
    }

    // The operator.

    std::string changingKey() const
    {
        return fmt::format("key-{}", m_keys);
    }

    void changeConfiguration(bool withdrawsKey)
    {
        const auto withdrawn = withdrawsKey ? changingKey() : std::string();
        m_keys += withdrawsKey ? 1 : 0;
        const auto acceptedAt = writeConfiguration(m_store, ++m_version, changingKey());
        if (!acceptedAt) {
            throw std::runtime_error("the store did not take a configuration");
        }
        m_facts.configurations.push_back({m_version, *acceptedAt, withdrawn});
        if (m_directory) {
            m_directory->setVersion(m_version);
            // Once all daemons in touch know it; others may not take it, which is excused for them.
            m_agenda.emplace(*acceptedAt + soak_bounds().configurationApply,
                             [this, key = changingKey()] { m_directory->setChangingKey(key); });
        }
    }

    static std::size_t index(int number)
    {
        return static_cast<std::size_t>(number);
    }

    soak_options m_options;
    std::vector<planned_fault> m_plan;
    const endpoint m_store = local(m_options.basePort);
    const endpoint m_storeControl = local(m_options.basePort + 1);
    const endpoint m_replicaControl = local(m_options.basePort + 2);
    soak_facts m_facts;
    attempt_log m_log;
    std::unique_ptr<soak_directory> m_directory;
    std::vector<std::unique_ptr<child_process>> m_standIns;
    std::vector<std::unique_ptr<soak_daemon>> m_daemons;
    std::vector<daemon_care> m_care;
    std::map<int, instant> m_frozenUntil;
    std::multimap<instant, std::function<void()>> m_agenda;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_version = 0;
    int m_keys = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_balancers;
};

soak_facts runSoak(const soak_options &options, const std::vector<planned_fault> &plan)
{
    return soak_run(options, plan).play();
}

} // namespace vetchpost::test
