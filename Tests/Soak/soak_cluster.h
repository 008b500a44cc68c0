// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/datagram_links.h"
#include "Tests/Soak/soak_client.h"
#include "Tests/Soak/soak_daemon.h"
#include "Tests/Soak/soak_platform.h"
#include "Tests/Soak/soak_run.h"

#include <thread>

namespace vetchpost::test {

constexpr std::size_t modelCount = 2;

/// The stand-ins of the platform, the daemons and the balancer of a soak. Stops, crashes and resource use are recorded in the facts.
class soak_cluster
{
public:
    soak_cluster(const soak_options &options, soak_facts &facts);
    ~soak_cluster();
    soak_cluster(const soak_cluster &) = delete;
    soak_cluster &operator=(const soak_cluster &) = delete;

    /// Starts all processes and returns once all daemons are ready and as many groups as there are models are open. Throws
    /// std::runtime_error on a timeout.
    void start();

    soak_daemon &daemon(int number);
    soak_directory &directory();
    /// Returns the number of the daemon that the store names as the coordinator, if any. Only for a run with cuts.
    std::optional<int> coordinator() const;
    /// Loses the datagrams between the daemons in \a side and the others from now on. Only for a run with cuts.
    void cutDaemons(const std::set<int> &side);
    const endpoint &store() const;
    const endpoint &storeControl() const;
    const endpoint &replicaControl() const;
    /// The process that plays all replicas.
    child_process &replicas();

    /// Kills daemons that have used up their grace period, records those that have ended and restarts them when their downtime is over.
    void superviseDaemons(instant now);
    /// Asks a daemon to stop, unless it is stopping or absent already. It restarts \a downtime after its end, under another address if
    /// \a changesAddress.
    void stopDaemon(int number, duration downtime, bool changesAddress);
    /// Kills a daemon; it restarts after \a downtime. A stop in progress is recorded as disturbed.
    void killDaemon(int number, duration downtime);
    /// Suspends the daemon's process until resumeDaemon(). A stop in progress is recorded as disturbed.
    void freezeDaemon(int number);
    void resumeDaemon(int number);

    /// Writes the next version of the configuration, which replaces the changing key if \a withdrawsKey. Returns the key that is then
    /// valid. Throws std::runtime_error if the store does not accept the configuration.
    std::string changeConfiguration(bool withdrawsKey);
    /// Returns whether each daemon was found ready by a check at or after \a since.
    bool areAllReadySince(instant since) const;
    /// Records the resource use of all daemons that run.
    void sampleResources();

private:
    /// The state of a daemon's process as the cluster supervises it.
    struct daemon_process_state
    {
        /// The index in soak_facts::stops of the stop in progress.
        std::optional<std::size_t> stop;
        bool isKilled = false;
        bool isFrozen = false;
        bool changesAddress = false;
        duration downtime{0};
        std::optional<instant> absentSince;
        /// When the last readiness check began that found the daemon ready; 0 for never.
        std::atomic<std::int64_t> readyAtMs = 0;
    };

    void startPlatform();
    void startDaemons();
    void waitUntilServing() const;
    void pollReadiness(int number);
    void recordExit(int number, instant at);
    void markStopDisturbed(int number);

    soak_options m_options;
    soak_facts &m_facts;
    endpoint m_store;
    endpoint m_storeControl;
    endpoint m_replicaControl;
    std::vector<std::unique_ptr<child_process>> m_standIns;
    std::vector<std::unique_ptr<soak_daemon>> m_daemons;
    /// Present in a run with cuts.
    std::unique_ptr<datagram_links> m_links;
    std::vector<daemon_process_state> m_processStates;
    std::unique_ptr<soak_directory> m_directory;
    std::uint64_t m_version = 0;
    int m_keyNumber = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_readinessPollers;
};

} // namespace vetchpost::test
