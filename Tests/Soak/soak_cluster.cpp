// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_cluster.h"

#include "Libraries/Base/json.h"
#include "Tests/Soak/soak_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <utility>

namespace vetchpost::test {

namespace {

constexpr duration tick(20);
constexpr duration readinessPeriod(1000);
constexpr int failuresUntilRemoval = 2;
constexpr duration startPollPeriod(500);
/// The time limit of each step of the start. Both models form their first groups well within it.
constexpr duration startTimeout(20000);
/// How long a restarted daemon still counts as absent, from the loop's time at the restart.
constexpr duration startMargin(300);
constexpr int fabricDomains = 2;
/// The offset of the replicas' ports from the first port.
constexpr int replicaOffset = 100;

endpoint loopbackEndpoint(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::size_t index(int number)
{
    return static_cast<std::size_t>(number);
}

std::string keyName(int number)
{
    return fmt::format("key-{}", number);
}

/// Polls until \a isDone returns true. Throws std::runtime_error on a timeout.
void waitFor(const std::string &what, const std::function<bool()> &isDone)
{
    const auto latest = monotonicNow() + startTimeout;
    while (!isDone()) {
        if (monotonicNow() > latest) {
            throw std::runtime_error("no " + what + " at the start");
        }
        std::this_thread::sleep_for(startPollPeriod);
    }
}

} // namespace

soak_cluster::soak_cluster(const soak_options &options, soak_facts &facts)
    : m_options(options)
    , m_facts(facts)
    , m_store(loopbackEndpoint(options.basePort))
    , m_storeControl(loopbackEndpoint(options.basePort + 1))
    , m_replicaControl(loopbackEndpoint(options.basePort + 2))
    , m_processStates(index(options.size.daemons))
{
}

soak_cluster::~soak_cluster()
{
    m_isStopping = true;
    std::for_each(m_readinessPollers.begin(), m_readinessPollers.end(), [](std::thread &thread) { thread.join(); });
}

soak_daemon &soak_cluster::daemon(int number)
{
    return *m_daemons.at(index(number));
}

soak_directory &soak_cluster::directory()
{
    return *m_directory;
}

std::optional<int> soak_cluster::coordinator() const
{
    const auto address = readValue(m_store, "vetchpost/coordinator");
    const auto found
        = std::find_if(m_daemons.begin(), m_daemons.end(), [&](const auto &daemon) { return address == daemon->announced().text(); });
    return found == m_daemons.end() ? std::nullopt : std::optional(static_cast<int>(std::distance(m_daemons.begin(), found)));
}

void soak_cluster::cutDaemons(const std::set<int> &side)
{
    m_links->cut(side);
}

const endpoint &soak_cluster::store() const
{
    return m_store;
}

const endpoint &soak_cluster::storeControl() const
{
    return m_storeControl;
}

const endpoint &soak_cluster::replicaControl() const
{
    return m_replicaControl;
}

// Startup.

void soak_cluster::start()
{
    startPlatform();
    startDaemons();
    waitUntilServing();
}

child_process &soak_cluster::replicas()
{
    return *m_standIns.back();
}

void soak_cluster::startPlatform()
{
    // Listeners can share a port on this system: calls would go to this store and to the other one in turn.
    if (!fetchFacts(m_storeControl).isNull()) {
        throw std::runtime_error("other stand-ins listen at " + m_storeControl.text());
    }
    const auto start = [&](const char *name, std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), m_options.standIns + "/" + name);
        m_standIns.push_back(std::make_unique<child_process>(arguments, m_options.folder + "/" + name + ".log"));
    };
    start("standInStore", {"--listen=" + m_store.text(), "--control=" + m_storeControl.text()});
    waitFor("store", [&] { return !fetchFacts(m_storeControl).isNull(); });
    start("standInReplicas",
          {"--store=" + m_store.text(),
           "--control=" + m_replicaControl.text(),
           fmt::format("--base-port={}", m_options.basePort + replicaOffset),
           "--models=m0:4,m1:2",
           fmt::format("--domains={}", fabricDomains),
           fmt::format("--per-domain={}", m_options.size.replicas / fabricDomains),
           fmt::format("--slots={}", m_options.slots),
           fmt::format("--heartbeat-ms={}", m_options.heartbeat.count()),
           fmt::format("--cold-ms={}", m_options.coldPerSecond > 0 ? coldTime.count() : 0),
           fmt::format("--cold-bound={}", coldOverrun * m_options.coldPerSecond + coldSlack),
           fmt::format("--services={}:{}", plainService, m_options.size.plainReplicas),
           m_options.evacuations > 0 ? fmt::format("--zones={},{}", soakZones[0], soakZones[1]) : fmt::format("--zones={}", soakZones[0])});
    waitFor("replicas", [&] { return !fetchFacts(m_replicaControl).isNull(); });
}

void soak_cluster::startDaemons()
{
    const auto coldSettings
        = m_options.coldPerSecond > 0 ? fmt::format("cold:\n  overrun: {}\n  slack: {}\n", coldOverrun, coldSlack) : std::string();
    const auto evacuationSettings
        = m_options.evacuations > 0 ? fmt::format("  evacuation-ms: {}\n", soak_bounds().evacuation.count()) : std::string();
    const daemon_options options{m_options.daemonProgram,
                                 m_options.folder,
                                 m_options.basePort,
                                 m_options.heartbeat,
                                 m_options.retrySlack,
                                 m_options.cuts > 0,
                                 coldSettings,
                                 evacuationSettings};
    std::vector<endpoint> callers;
    std::vector<endpoint> announced;
    for (int number = 0; number < m_options.size.daemons; ++number) {
        m_daemons.emplace_back(std::make_unique<soak_daemon>(number, options, m_store));
        callers.emplace_back(daemon(number).callers());
        announced.emplace_back(daemon(number).announced());
    }
    if (options.areLinked) {
        m_links = std::make_unique<datagram_links>(announced, [this](int number) { return daemon(number).peers(); });
    }
    m_directory = std::make_unique<soak_directory>(callers);
    m_directory->setChangingKey(changeConfiguration(false));
    for (int number = 0; number < m_options.size.daemons; ++number) {
        daemon(number).start(true);
        m_readinessPollers.emplace_back([this, number] { pollReadiness(number); });
    }
}

void soak_cluster::waitUntilServing() const
{
    waitFor("ready daemons", [&] { return areAllReadySince(instant()); });
    waitFor("open groups", [&] {
        std::size_t open = 0;
        const auto facts = fetchFacts(m_replicaControl);
        for (const auto &replica : facts["replicas"]) {
            open += replica["group"].isObject() && jsonString(replica["group"], "State") == "open" ? 1U : 0U;
        }
        return open >= modelCount;
    });
}

/// Checks one daemon's readiness periodically, as the platform's balancer does, until the cluster stops.
void soak_cluster::pollReadiness(int number)
{
    int failures = failuresUntilRemoval;
    while (!m_isStopping) {
        const auto asked = monotonicNow();
        const bool isReadyNow = isReady(daemon(number).readiness());
        failures = isReadyNow ? 0 : failures + 1;
        m_directory->setInRotation(number, failures < failuresUntilRemoval);
        if (isReadyNow) {
            m_processStates.at(index(number)).readyAtMs = asked.time_since_epoch().count();
        }
        while (!m_isStopping && monotonicNow() < asked + readinessPeriod) {
            std::this_thread::sleep_for(tick);
        }
    }
}

bool soak_cluster::areAllReadySince(instant since) const
{
    return std::all_of(m_processStates.begin(), m_processStates.end(), [&](const daemon_process_state &state) {
        return state.readyAtMs > 0 && instant(duration(state.readyAtMs)) >= since;
    });
}

void soak_cluster::sampleResources()
{
    for (int number = 0; number < m_options.size.daemons; ++number) {
        if (auto resources = daemon(number).process().resources()) {
            resources->daemon = number;
            resources->at = monotonicNow();
            m_facts.samples.push_back(*resources);
        }
    }
}

// Processes.

void soak_cluster::superviseDaemons(instant now)
{
    for (int number = 0; number < m_options.size.daemons; ++number) {
        auto &state = m_processStates.at(index(number));
        if (state.stop && now > m_facts.stops.at(*state.stop).askedAt + soak_bounds().grace) {
            daemon(number).process().signal(SIGKILL);
        }
        if (!state.absentSince && daemon(number).process().endedAt()) {
            recordExit(number, *daemon(number).process().endedAt());
        }
        if (!state.absentSince || now < *state.absentSince + state.downtime) {
            continue;
        }
        if (std::exchange(state.changesAddress, false)) {
            daemon(number).changeAddress();
        }
        daemon(number).start(m_options.hasStaleSettings);
        ++m_directory->incarnations.at(index(number));
        m_facts.disturbances.push_back({disturbance_kind::absence, *state.absentSince, now + startMargin, number});
        state.absentSince.reset();
        state.isKilled = false;
        state.isFrozen = false;
    }
}

void soak_cluster::recordExit(int number, instant at)
{
    auto &state = m_processStates.at(index(number));
    state.absentSince = at;
    if (state.stop) {
        m_facts.stops.at(*state.stop).endedAt = at;
        state.stop.reset();
    } else if (!state.isKilled) {
        m_facts.crashes.push_back({number, at});
    }
}

void soak_cluster::stopDaemon(int number, duration downtime, bool changesAddress)
{
    auto &state = m_processStates.at(index(number));
    if (state.stop || state.absentSince) {
        return;
    }
    state.stop = m_facts.stops.size();
    state.downtime = downtime;
    state.changesAddress = changesAddress;
    m_facts.stops.push_back({number, monotonicNow(), std::nullopt, state.isFrozen});
    daemon(number).process().signal(SIGTERM);
}

void soak_cluster::markStopDisturbed(int number)
{
    const auto &stop = m_processStates.at(index(number)).stop;
    if (stop) {
        m_facts.stops.at(*stop).isDisturbed = true;
    }
}

void soak_cluster::killDaemon(int number, duration downtime)
{
    auto &state = m_processStates.at(index(number));
    markStopDisturbed(number);
    state.isKilled = true;
    state.downtime = downtime;
    daemon(number).process().signal(SIGKILL);
}

void soak_cluster::freezeDaemon(int number)
{
    markStopDisturbed(number);
    m_processStates.at(index(number)).isFrozen = true;
    daemon(number).process().signal(SIGSTOP);
}

void soak_cluster::resumeDaemon(int number)
{
    // After a restart the signal reaches the new process, where it has no effect.
    m_processStates.at(index(number)).isFrozen = false;
    daemon(number).process().signal(SIGCONT);
}

// The operator.

std::string soak_cluster::changeConfiguration(bool withdrawsKey)
{
    const auto withdrawn = withdrawsKey ? keyName(m_keyNumber++) : std::string();
    const auto acceptedAt = writeConfiguration(m_store, ++m_version, keyName(m_keyNumber), m_options.coldPerSecond);
    if (!acceptedAt) {
        throw std::runtime_error("the store did not accept a configuration");
    }
    m_facts.configurations.push_back({m_version, *acceptedAt, withdrawn});
    m_directory->setVersion(m_version);
    return keyName(m_keyNumber);
}

} // namespace vetchpost::test
