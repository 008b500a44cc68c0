// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_run.h"

#include "Libraries/Base/json.h"
#include "Tests/Soak/replica_process.h"
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
constexpr duration samplePeriod(1000);
/// How long a fault may outlast its planned end: one turn of the loop and a call to a stand-in.
constexpr duration endMargin(300);
constexpr int clientsPerDeadlyPart = 4;

/// The numbers of the clients whose prompts have a deadly part begin with the number of the part, from 0 to 9.
constexpr int firstClientOfPart(int part)
{
    return 100 * part;
}

/// A replica that a deadly request ended is back after this time.
constexpr duration replicaRestartTime(1500);
/// A drained replica has ended after this time and may be restarted.
constexpr duration drainTime(6000);
/// The store writes lost entries again one after the other, within this time.
constexpr duration rewritingTime(500);
/// How long connections are reset after a silence, so that the silenced ones end.
constexpr duration resetTime(100);

std::atomic<bool> isInterrupted = false;

/// Returns a stand-in's fault switch with its value.
Json::Value makeSwitch(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

/// Returns the kind of disturbance that a fault causes, or nothing if it must not affect any request.
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
    // Draining and slow replicas still answer.
    const bool mayLoseAnswers = kind == fault_kind::kill_replica || kind == fault_kind::dark_replica || kind == fault_kind::losing_replicas
        || kind == fault_kind::garbling_replicas || kind == fault_kind::isolated_head;
    return mayLoseAnswers ? std::optional(disturbance_kind::replicas) : std::nullopt;
}

/// Runs clients' traffic against a cluster and applies the planned faults and notices.
class soak_runner
{
public:
    soak_runner(const soak_options &options, const std::vector<planned_fault> &plan)
        : m_options(options)
        , m_plan(plan)
        , m_cluster(options, m_facts)
    {
    }

    soak_facts run()
    {
        m_cluster.start();
        stall_detector stallDetector(m_cluster.replicaControl());
        runTraffic();
        std::this_thread::sleep_for(eventPeriod);
        collectEvents();
        const auto stalls = stallDetector.stop();
        m_facts.disturbances.insert(m_facts.disturbances.end(), stalls.begin(), stalls.end());
        m_facts.endedAt = monotonicNow();
        m_facts.attempts = m_log.all();
        return m_facts;
    }

private:
    // Traffic.

    void runTraffic()
    {
        const auto begin = monotonicNow();
        for (const auto &fault : m_plan) {
            m_scheduledActions.emplace(begin + fault.at, [this, fault] { apply(fault); });
        }
        const auto end = begin + m_options.size.length;
        m_facts.faultsEndedAt = end - recoveryLength;
        std::vector<std::unique_ptr<soak_client>> clients;
        clients.reserve(static_cast<std::size_t>(m_options.clients));
        for (int number = 0; number < m_options.clients; ++number) {
            clients.push_back(std::make_unique<soak_client>(number, m_options.seed, m_cluster.directory(), m_log));
        }
        scheduleDeadlyRequests(begin);
        for (const auto &notice : planNotices(m_options.seed, m_options.size, m_options.notices)) {
            m_scheduledActions.emplace(begin + notice.at, [this, notice] { startNotice(notice); });
        }
        for (const auto &evacuation : planEvacuations(m_options.seed, m_options.size, m_options.evacuations)) {
            m_scheduledActions.emplace(begin + evacuation.at, [this, evacuation] { beginEvacuation(evacuation); });
        }
        for (const auto &standstill : planStandstills(m_options.seed, m_options.size, m_options.standstills)) {
            m_scheduledActions.emplace(begin + standstill.at, [this, standstill] { pauseReplicas(standstill); });
        }
        for (const auto &cut : planCuts(m_options.seed, m_options.size, m_options.cuts)) {
            m_scheduledActions.emplace(begin + cut.at, [this, cut] { beginCut(cut); });
        }
        scheduleRestores(begin);
        scheduleOutages(begin);
        scheduleColdTimes(begin);
        const auto pauses = planPauses(m_options.seed, m_options.size, m_options.pauses, m_options.pauseLength);
        for (const auto &pause : pauses) {
            m_scheduledActions.emplace(begin + pause.changeAt, [this] { changeConfiguration(false, monotonicNow()); });
        }
        const replica_pauser pauser(m_cluster.replicas(), pauses, begin);
        instant nextEvents;
        instant nextSample;
        for (auto now = begin; now < end; now = monotonicNow()) {
            if (isInterrupted) {
                throw std::runtime_error("interrupted");
            }
            while (!m_scheduledActions.empty() && m_scheduledActions.begin()->first <= now) {
                m_scheduledActions.extract(m_scheduledActions.begin()).mapped()();
            }
            m_cluster.superviseDaemons(now);
            if (now >= nextEvents) {
                collectEvents();
                updateRecovery(now);
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

    void scheduleRejections(instant begin)
    {
        constexpr double hundred = 100;
        constexpr duration waveLength(10000);
        constexpr duration betweenWaves(20000);
        const auto share = m_options.rejectionsPerHundred / hundred;
        if (!m_options.isRejectingInWaves) {
            setTemporarily(m_cluster.replicaControl(), "reject", share, 0, m_facts.faultsEndedAt);
            return;
        }
        for (auto at = begin + betweenWaves; at + waveLength < m_facts.faultsEndedAt; at += betweenWaves) {
            m_scheduledActions.emplace(
                at, [this, share, at, waveLength] { setTemporarily(m_cluster.replicaControl(), "reject", share, 0, at + waveLength); });
        }
    }

    /// Sets the faults that last for the whole run. Schedules the starts of the deadly clients, spread over the time of the faults, and
    /// their stop at the end of it.
    void scheduleDeadlyRequests(instant begin)
    {
        constexpr double thousand = 1000;
        setFaults(m_cluster.replicaControl(), makeSwitch("retransmit", m_options.lossesPerThousand / thousand));
        scheduleRejections(begin);
        setFaults(m_cluster.replicaControl(), makeSwitch("deadly_body", m_options.deadlyRequests > 0 ? deadlyBodyPrefix : ""));
        setFaults(m_cluster.replicaControl(), makeSwitch("deadly_part", m_options.deadlyParts > 0 ? deadlyPartPrefix : ""));
        setFaults(m_cluster.replicaControl(), makeSwitch("exit_ms", Json::Int64(m_options.exitTime.count())));
        const auto time = m_facts.faultsEndedAt - begin;
        const auto startClient = [this](int number, deadly_content deadly) {
            m_deadlyClients.push_back(
                std::make_unique<soak_client>(number, m_options.seed, m_cluster.directory(), m_log, std::move(deadly)));
        };
        for (int number = 0; number < m_options.deadlyRequests; ++number) {
            m_scheduledActions.emplace(begin + time * (number + 1) / (m_options.deadlyRequests + 2), [startClient, number] {
                startClient(number, {.body = fmt::format("{}-{}", deadlyBodyPrefix, number)});
            });
        }
        for (int part = 0; part < m_options.deadlyParts; ++part) {
            for (int client = 0; client < clientsPerDeadlyPart; ++client) {
                const auto number = firstClientOfPart(part) + client;
                m_scheduledActions.emplace(begin + time * (2 * part + 1) / (2 * m_options.deadlyParts + 3), [startClient, part, number] {
                    startClient(number, {.part = fmt::format("{}{:x}", deadlyPartPrefix, part)});
                });
            }
        }
        m_scheduledActions.emplace(m_facts.faultsEndedAt, [this] {
            for (const auto &client : m_deadlyClients) {
                client->requestStop();
            }
        });
    }

    /// Records a disturbance: the requests in flight at a replica that has ended are lost.
    void recordEndedReplica(const platform_event &event)
    {
        m_facts.disturbances.push_back(
            {disturbance_kind::replicas, event.at, event.at + groupRepairTime + replicaRestartTime, std::nullopt});
    }

    void collectEvents()
    {
        const auto events = fetchEvents(m_cluster.replicaControl(), m_lastEvent);
        for (const auto &event : events) {
            if (event.what == "ended_replica") {
                recordEndedReplica(event);
            }
        }
        m_facts.events.insert(m_facts.events.end(), events.begin(), events.end());
    }

    /// Records the recovery once all daemons are ready and each has answered requests for both models that were sent after the faults.
    void updateRecovery(instant now)
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

    // Cuts and standstills.

    void beginCut(planned_cut cut)
    {
        const auto coordinator = m_cluster.coordinator();
        if (coordinator && std::find(cut.side.begin(), cut.side.end(), *coordinator) == cut.side.end()) {
            cut.side.front() = *coordinator;
        }
        m_cluster.cutDaemons({cut.side.begin(), cut.side.end()});
        const auto now = monotonicNow();
        m_scheduledActions.emplace(now + cut.lasts, [this] { m_cluster.cutDaemons({}); });
        for (const int daemon : cut.side) {
            if (cut.restartsCoordinator || daemon != coordinator) {
                m_scheduledActions.emplace(now + cut.restartsAt - cut.at, [this, daemon, cut] {
                    apply({cut.restartsAt, cut.downtime, fault_kind::kill_daemon, daemon});
                });
            }
        }
    }

    void pauseReplicas(const planned_standstill &standstill)
    {
        const auto now = monotonicNow();
        m_facts.disturbances.push_back(
            {disturbance_kind::replicas, now, now + standstill.lasts + endMargin + groupRepairTime, std::nullopt});
        const auto replicas = fetchFacts(m_cluster.replicaControl())["replicas"];
        Json::Value ids(Json::arrayValue);
        for (const int number : standstill.replicas) {
            ids.append(replicas[number]["id"]);
        }
        setFaults(m_cluster.replicaControl(), makeSwitch("pause", ids));
        m_scheduledActions.emplace(now + standstill.lasts,
                                   [this, ids] { setFaults(m_cluster.replicaControl(), makeSwitch("continue", ids)); });
    }

    // Evacuations.

    void beginEvacuation(const planned_evacuation &evacuation)
    {
        const auto writtenAt = writeEvacuation(m_cluster.store(), evacuation.zone);
        if (!writtenAt) {
            // The write may have taken effect. An operator repeats it until its acknowledgement arrives.
            m_scheduledActions.emplace(monotonicNow() + eventPeriod, [this, evacuation] { beginEvacuation(evacuation); });
            return;
        }
        const auto index = m_facts.evacuations.size();
        m_facts.evacuations.push_back({evacuation.zone, *writtenAt});
        m_scheduledActions.emplace(*writtenAt + evacuation.lasts, [this, index] { endEvacuation(index); });
    }

    /// Repeats the removal until the store accepts it, as an operator would.
    void endEvacuation(std::size_t index)
    {
        auto &evacuation = m_facts.evacuations.at(index);
        evacuation.removedAt = std::min(evacuation.removedAt, monotonicNow());
        if (!removeEvacuation(m_cluster.store(), evacuation.zone)) {
            m_scheduledActions.emplace(monotonicNow() + eventPeriod, [this, index] { endEvacuation(index); });
        }
    }

    // Restorations of the store.

    void scheduleRestores(instant begin)
    {
        const auto restores = planRestores(m_options.seed, m_options.size, m_options.restores);
        const auto starts = planStartsAtReturns(m_options.seed, m_options.size, restores, m_options.lostWithdrawals);
        for (std::size_t number = 0; number < restores.size(); ++number) {
            scheduleRestore(restores[number], begin, number < starts.size());
        }
        for (const auto &loss : starts) {
            m_scheduledActions.emplace(begin + loss.at, [this, loss] { apply(loss); });
        }
    }

    void scheduleRestore(const planned_restore &restore, instant begin, bool losesWithdrawal)
    {
        const auto control = m_cluster.storeControl();
        m_scheduledActions.emplace(begin + restore.copiedAt, [control] { setFaults(control, makeSwitch("save_copy", true)); });
        m_scheduledActions.emplace(begin + restore.at, [this, control, restore] {
            const auto lost = restore.backAt - restore.at + restore.rewriteDelay + rewritingTime;
            m_facts.disturbances.push_back({disturbance_kind::store, monotonicNow(), monotonicNow() + lost, std::nullopt});
            setFaults(control, makeSwitch("silent", true));
        });
        m_scheduledActions.emplace(begin + restore.backAt, [control, restore] {
            auto faults = makeSwitch("restore_copy_ms", Json::Int64(restore.rewriteDelay.count()));
            faults["silent"] = false;
            setFaults(control, faults);
        });
        m_scheduledActions.emplace(begin + restore.changeAt,
                                   [this, losesWithdrawal] { changeConfiguration(losesWithdrawal, monotonicNow()); });
        m_scheduledActions.emplace(begin + restore.withdrawAt, [this] { changeConfiguration(true, monotonicNow()); });
        m_scheduledActions.emplace(begin + restore.drainAt, [this, restore] {
            const auto id = servingReplica(restore.target);
            disturbReplica("drain", id, monotonicNow() + drainTime);
        });
    }

    void scheduleOutages(instant begin)
    {
        constexpr duration entryReturnTime(1900);
        if (m_options.outages > 0) {
            setFaults(m_cluster.replicaControl(), makeSwitch("entry_return_ms", Json::Int64(entryReturnTime.count())));
        }
        for (const auto &fault : planOutages(m_options.seed, m_options.size, m_options.outages)) {
            m_scheduledActions.emplace(begin + fault.at, [this, fault, entryReturnTime] {
                apply(fault);
                if (fault.kind == fault_kind::silent_store) {
                    const auto now = monotonicNow();
                    m_facts.disturbances.push_back(
                        {disturbance_kind::store, now, now + fault.lasts + entryReturnTime + endMargin, std::nullopt});
                }
            });
        }
    }

    // Faults.

    void apply(const planned_fault &fault)
    {
        const auto now = monotonicNow();
        recordDisturbance(fault, now);
        switch (fault.kind) {
        case fault_kind::stop_daemon:
        case fault_kind::move_daemon:
            return m_cluster.stopDaemon(fault.target, fault.lasts, fault.kind == fault_kind::move_daemon);
        case fault_kind::kill_daemon:
            return m_cluster.killDaemon(fault.target, fault.lasts);
        case fault_kind::freeze_daemon:
            m_cluster.freezeDaemon(fault.target);
            m_scheduledActions.emplace(now + fault.lasts, [this, fault] { m_cluster.resumeDaemon(fault.target); });
            return;
        case fault_kind::reload_daemon:
            return m_cluster.daemon(fault.target).process().signal(SIGHUP);
        case fault_kind::change_configuration:
        case fault_kind::withdraw_key:
            return changeConfiguration(fault.kind == fault_kind::withdraw_key, now);
        default:
            applyTemporarily(fault, now);
        }
    }

    void changeConfiguration(bool withdrawsKey, instant now)
    {
        const auto key = m_cluster.changeConfiguration(withdrawsKey);
        // Clients use the key once all undisturbed daemons know it.
        m_scheduledActions.emplace(now + soak_bounds().configurationApply, [this, key] { m_cluster.directory().setChangingKey(key); });
    }

    /// Records the disturbance that the fault causes, with the daemon that it affects.
    void recordDisturbance(const planned_fault &fault, instant now)
    {
        if (const auto kind = disturbanceOf(fault.kind)) {
            const bool affectsReplicas = *kind == disturbance_kind::replicas;
            const bool affectsOneDaemon = fault.kind < fault_kind::silent_store;
            const auto until = now + fault.lasts + endMargin + (affectsReplicas ? groupRepairTime : duration(0));
            m_facts.disturbances.push_back({*kind, now, until, affectsOneDaemon ? std::optional(fault.target) : std::nullopt});
        }
    }

    void applyTemporarily(const planned_fault &fault, instant now)
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
        const auto applied = static_cast<link_fault>(static_cast<int>(link_fault::delay) + offset);
        link.setFault(applied);
        const bool isClientLink = first == fault_kind::delay_callers;
        if (applied == link_fault::silence && isClientLink) {
            m_scheduledActions.emplace(end, [&link] { link.setFault(link_fault::reset); });
            end += resetTime;
        }
        m_scheduledActions.emplace(end, [&link] { link.setFault(link_fault::none); });
    }

    void disturbStore(fault_kind kind, instant end)
    {
        constexpr double lostShare = 0.3;
        constexpr int slowMs = 400;
        switch (kind) {
        case fault_kind::silent_store:
            return setTemporarily(m_cluster.storeControl(), "silent", true, false, end);
        case fault_kind::refusing_store:
            return setTemporarily(m_cluster.storeControl(), "refuse_503", true, false, end);
        case fault_kind::slow_store:
            return setTemporarily(m_cluster.storeControl(), "slow_ms", slowMs, 0, end);
        case fault_kind::losing_store:
            return setTemporarily(m_cluster.storeControl(), "lose_answers", lostShare, 0, end);
        default:
            setFaults(m_cluster.storeControl(), makeSwitch("forget_history", true));
        }
    }

    void setTemporarily(const endpoint &control, const char *name, const Json::Value &on, const Json::Value &off, instant end)
    {
        setFaults(control, makeSwitch(name, on));
        m_scheduledActions.emplace(end, [control, name, off] { setFaults(control, makeSwitch(name, off)); });
    }

    /// Applies a switch to one replica until \a end, then revives all replicas that are cut off or have ended.
    void disturbReplica(const char *switchName, const std::string &id, instant end)
    {
        Json::Value ids(Json::arrayValue);
        ids.append(id);
        setTemporarily(m_cluster.replicaControl(), switchName, ids, Json::Value(Json::arrayValue), end);
        m_scheduledActions.emplace(end, [this] { setFaults(m_cluster.replicaControl(), makeSwitch("revive", true)); });
    }

    /// Cuts the head of an open group off from the daemons and the store until \a end.
    void isolateHead(int randomNumber, instant end)
    {
        Json::Value ids(Json::arrayValue);
        ids.append(servingReplica(randomNumber));
        setFaults(m_cluster.replicaControl(), makeSwitch("isolate", ids));
        m_scheduledActions.emplace(end, [this, ids] { setFaults(m_cluster.replicaControl(), makeSwitch("reconnect", ids)); });
    }

    /// Returns the id of a replica that receives requests: the head of an open group, or a replica without models. Empty if there is none.
    std::string servingReplica(int randomNumber) const
    {
        std::vector<std::string> serving;
        const auto facts = fetchFacts(m_cluster.replicaControl());
        for (const auto &replica : facts["replicas"]) {
            const auto &group = replica[platform_names::group];
            const bool isOpenHead = group.isObject() && jsonString(group, platform_names::state) == platform_names::open;
            if (jsonFlag(replica, "alive") && (isOpenHead || !replica.isMember(platform_names::models))) {
                serving.push_back(jsonString(replica, "id"));
            }
        }
        return serving.empty() ? std::string() : serving[static_cast<std::size_t>(randomNumber) % serving.size()];
    }

    /// Makes all replicas cold at once several times, as if their data centre had returned.
    void scheduleColdTimes(instant begin)
    {
        constexpr duration betweenColdTimes(5000);
        const auto latest = m_options.size.length - recoveryLength - coldTime;
        for (auto at = betweenColdTimes; m_options.coldPerSecond > 0 && at < latest; at += betweenColdTimes) {
            m_scheduledActions.emplace(begin + at, [this] { setFaults(m_cluster.replicaControl(), makeSwitch("cold", true)); });
        }
    }

    /// Makes a replica send the notice in its answers until the notice ends.
    void startNotice(const planned_notice &notice)
    {
        const auto id = servingReplica(notice.target);
        const auto end = monotonicNow() + notice.lasts;
        switch (notice.kind) {
        case notice_kind::limit: {
            char *valueEnd = nullptr;
            const auto value = std::strtod(notice.value.c_str(), &valueEnd);
            const auto limit = *valueEnd == 0 ? makeSwitch(id.c_str(), value) : Json::Value(Json::objectValue);
            return setTemporarily(m_cluster.replicaControl(), "limit", limit, makeSwitch(id.c_str(), Json::nullValue), end);
        }
        case notice_kind::backoff:
            return setTemporarily(
                m_cluster.replicaControl(), "rest", makeSwitch(id.c_str(), notice.value), makeSwitch(id.c_str(), ""), end);
        case notice_kind::leaving:
            break;
        }
        Json::Value ids(Json::arrayValue);
        ids.append(id);
        setFaults(m_cluster.replicaControl(), makeSwitch("say_leaving", ids));
        // Its entry in the store announces it later.
        m_scheduledActions.emplace(end, [this, id] { disturbReplica("drain", id, monotonicNow() + drainTime); });
    }

    void disturbReplicas(const planned_fault &fault, instant end)
    {
        constexpr double lostShare = 0.4;
        constexpr double slowFactor = 4;
        const auto id = jsonString(fetchFacts(m_cluster.replicaControl())["replicas"][fault.target], "id");
        switch (fault.kind) {
        case fault_kind::slow_replicas:
            return setTemporarily(m_cluster.replicaControl(), "slow", makeSwitch(id.c_str(), slowFactor), makeSwitch(id.c_str(), 1), end);
        case fault_kind::losing_replicas:
            setTemporarily(m_cluster.replicaControl(), "late_orders", lostShare, 0, end);
            return setTemporarily(m_cluster.replicaControl(), "lose_answer", lostShare, 0, end);
        case fault_kind::garbling_replicas:
            setTemporarily(m_cluster.replicaControl(), "extra_bytes", lostShare, 0, end);
            return setTemporarily(m_cluster.replicaControl(), "garble", lostShare, 0, end);
        case fault_kind::dark_replica:
            return disturbReplica("dark", id, end);
        case fault_kind::kill_replica:
            return disturbReplica("kill", id, end);
        case fault_kind::isolated_head:
            return isolateHead(fault.target, end);
        default:
            return disturbReplica("drain", id, monotonicNow() + drainTime);
        }
    }

    soak_options m_options;
    std::vector<planned_fault> m_plan;
    soak_facts m_facts;
    attempt_log m_log;
    std::multimap<instant, std::function<void()>> m_scheduledActions;
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
    return soak_runner(options, plan).run();
}

} // namespace vetchpost::test
