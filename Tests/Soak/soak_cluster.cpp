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
constexpr int missesUntilOut = 2;
constexpr duration startLookPeriod(500);
/// The first groups of both models are formed well within it.
constexpr duration longestStart(20000);
/// A start is over within it, by the moment that the loop sees.
constexpr duration startMargin(300);
constexpr int fabricDomains = 2;
/// Replicas' ports, from the first port on.
constexpr int replicaOffset = 100;

endpoint local(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::size_t index(int number)
{
    return static_cast<std::size_t>(number);
}

std::string keyNumber(int number)
{
    return fmt::format("key-{}", number);
}

void waitFor(const std::string &what, const std::function<bool()> &isThere)
{
    const auto latest = monotonicNow() + longestStart;
    while (!isThere()) {
        if (monotonicNow() > latest) {
            throw std::runtime_error("no " + what + " at the start");
        }
        std::this_thread::sleep_for(startLookPeriod);
    }
}

} // namespace

soak_cluster::soak_cluster(const soak_options &options, soak_facts &facts)
    : m_options(options)
    , m_facts(facts)
    , m_store(local(options.basePort))
    , m_storeControl(local(options.basePort + 1))
    , m_replicaControl(local(options.basePort + 2))
    , m_care(index(options.size.daemons))
{
}

soak_cluster::~soak_cluster()
{
    m_isStopping = true;
    std::for_each(m_balancers.begin(), m_balancers.end(), [](std::thread &thread) { thread.join(); });
}

soak_daemon &soak_cluster::daemon(int number)
{
    return *m_daemons.at(index(number));
}

soak_directory &soak_cluster::directory()
{
    return *m_directory;
}

const endpoint &soak_cluster::storeControl() const
{
    return m_storeControl;
}

const endpoint &soak_cluster::replicaControl() const
{
    return m_replicaControl;
}

// Start.

void soak_cluster::start()
{
    startPlatform();
    startDaemons();
    waitUntilServing();
}

void soak_cluster::startPlatform()
{
    // Listeners share ports here: calls would go to this store and to the other one in turn.
    if (!factsOf(m_storeControl).isNull()) {
        throw std::runtime_error("other stand-ins listen at " + m_storeControl.text());
    }
    const auto start = [&](const char *name, std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), m_options.standIns + "/" + name);
        m_standIns.push_back(std::make_unique<child_process>(arguments, m_options.folder + "/" + name + ".log"));
    };
    start("standInStore", {"--listen=" + m_store.text(), "--control=" + m_storeControl.text()});
    waitFor("store", [&] { return !factsOf(m_storeControl).isNull(); });
    start("standInReplicas",
          {"--store=" + m_store.text(),
           "--control=" + m_replicaControl.text(),
           fmt::format("--base-port={}", m_options.basePort + replicaOffset),
           "--models=m0:4,m1:2",
           fmt::format("--domains={}", fabricDomains),
           fmt::format("--per-domain={}", m_options.size.replicas / fabricDomains),
           fmt::format("--services={}:{}", plainService, m_options.size.plainReplicas)});
    waitFor("replicas", [&] { return !factsOf(m_replicaControl).isNull(); });
}

void soak_cluster::startDaemons()
{
    const daemon_options options{m_options.daemonProgram, m_options.folder, m_options.basePort, soak_bounds().retrySlack};
    std::vector<endpoint> callers;
    for (int number = 0; number < m_options.size.daemons; ++number) {
        m_daemons.emplace_back(std::make_unique<soak_daemon>(number, options, m_store));
        callers.emplace_back(daemon(number).callers());
    }
    m_directory = std::make_unique<soak_directory>(callers);
    m_directory->setChangingKey(changeConfiguration(false));
    for (int number = 0; number < m_options.size.daemons; ++number) {
        daemon(number).start(true);
        m_balancers.emplace_back([this, number] { balance(number); });
    }
}

void soak_cluster::waitUntilServing() const
{
    waitFor("ready daemons", [&] { return areAllReadySince(instant()); });
    waitFor("open groups", [&] {
        std::size_t open = 0;
        const auto facts = factsOf(m_replicaControl);
        for (const auto &replica : facts["replicas"]) {
            open += replica["group"].isObject() && jsonString(replica["group"], "State") == "open" ? 1U : 0U;
        }
        return open >= modelCount;
    });
}

/// Asks one daemon whether it is ready, as the platform's balancer does.
void soak_cluster::balance(int number)
{
    int misses = missesUntilOut;
    while (!m_isStopping) {
        const auto asked = monotonicNow();
        const bool isReadyNow = isReady(daemon(number).readiness());
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

bool soak_cluster::areAllReadySince(instant since) const
{
    return std::all_of(m_care.begin(), m_care.end(), [&](const daemon_care &care) {
        return care.readyAtMs > 0 && instant(duration(care.readyAtMs)) >= since;
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

void soak_cluster::careForDaemons(instant now)
{
    for (int number = 0; number < m_options.size.daemons; ++number) {
        auto &care = m_care.at(index(number));
        if (care.stop && now > m_facts.stops.at(*care.stop).askedAt + soak_bounds().grace) {
            daemon(number).process().signal(SIGKILL);
        }
        if (!care.absentSince && daemon(number).process().endedAt()) {
            noteEnd(number, *daemon(number).process().endedAt());
        }
        if (!care.absentSince || now < *care.absentSince + care.staysAway) {
            continue;
        }
        if (std::exchange(care.moves, false)) {
            daemon(number).move();
        }
        daemon(number).start(false);
        ++m_directory->incarnations.at(index(number));
        m_facts.disturbances.push_back({disturbance_kind::absence, *care.absentSince, now + startMargin, number});
        care.absentSince.reset();
        care.isKilled = false;
        care.isFrozen = false;
    }
}

void soak_cluster::noteEnd(int number, instant at)
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

void soak_cluster::stopDaemon(int number, duration staysAway, bool moves)
{
    auto &care = m_care.at(index(number));
    if (care.stop || care.absentSince) {
        return;
    }
    care.stop = m_facts.stops.size();
    care.staysAway = staysAway;
    care.moves = moves;
    m_facts.stops.push_back({number, monotonicNow(), std::nullopt, care.isFrozen});
    daemon(number).process().signal(SIGTERM);
}

void soak_cluster::noteDisturbedStop(int number)
{
    const auto &stop = m_care.at(index(number)).stop;
    if (stop) {
        m_facts.stops.at(*stop).isDisturbed = true;
    }
}

void soak_cluster::killDaemon(int number, duration staysAway)
{
    auto &care = m_care.at(index(number));
    noteDisturbedStop(number);
    care.isKilled = true;
    care.staysAway = staysAway;
    daemon(number).process().signal(SIGKILL);
}

void soak_cluster::freezeDaemon(int number)
{
    noteDisturbedStop(number);
    m_care.at(index(number)).isFrozen = true;
    daemon(number).process().signal(SIGSTOP);
}

void soak_cluster::resumeDaemon(int number)
{
    // After a restart the signal finds the new process, which it does no harm.
    m_care.at(index(number)).isFrozen = false;
    daemon(number).process().signal(SIGCONT);
}

// The operator.

std::string soak_cluster::changeConfiguration(bool withdrawsKey)
{
    const auto withdrawn = withdrawsKey ? keyNumber(m_keys++) : std::string();
    const auto acceptedAt = writeConfiguration(m_store, ++m_version, keyNumber(m_keys));
    if (!acceptedAt) {
        throw std::runtime_error("the store did not take a configuration");
    }
    m_facts.configurations.push_back({m_version, *acceptedAt, withdrawn});
    m_directory->setVersion(m_version);
    return keyNumber(m_keys);
}

} // namespace vetchpost::test
