// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_client.h"
#include "Tests/Soak/soak_daemon.h"
#include "Tests/Soak/soak_platform.h"
#include "Tests/Soak/soak_run.h"

#include <thread>

namespace vetchpost::test {

constexpr std::size_t modelCount = 2;

/// The stand-ins of the platform, the daemons and the balancer of a soak. What becomes of the processes is written into the facts.
class soak_cluster
{
public:
    soak_cluster(const soak_options &options, soak_facts &facts);
    ~soak_cluster();
    soak_cluster(const soak_cluster &) = delete;
    soak_cluster &operator=(const soak_cluster &) = delete;

    /// Starts all of it and returns once both models are served; throws where they are not in time.
    void start();

    soak_daemon &daemon(int number);
    soak_directory &directory();
    const endpoint &storeControl() const;
    const endpoint &replicaControl() const;

    /// Ends what has used up its grace, notes what has ended and starts it again after its time.
    void careForDaemons(instant now);
    /// Stops a daemon as planned; it is back, under another address where it \a moves, after it has been away for a while.
    void stopDaemon(int number, duration staysAway, bool moves);
    void killDaemon(int number, duration staysAway);
    /// The process stands still until resumeDaemon().
    void freezeDaemon(int number);
    void resumeDaemon(int number);

    /// Writes the next version of the configuration, which may take a key away; the key that takes its place.
    std::string changeConfiguration(bool withdrawsKey);
    bool areAllReadySince(instant since) const;
    void sampleResources();

private:
    /// What is known of a daemon's process beside the process.
    struct daemon_care
    {
        /// The stop that is going on, by its place in the facts.
        std::optional<std::size_t> stop;
        bool isKilled = false;
        bool isFrozen = false;
        bool moves = false;
        duration staysAway{0};
        std::optional<instant> absentSince;
        /// When the newest question was asked that was answered with ready; 0 for never.
        std::atomic<std::int64_t> readyAtMs = 0;
    };

    void startPlatform();
    void startDaemons();
    void waitUntilServing() const;
    void balance(int number);
    void noteEnd(int number, instant at);
    void noteDisturbedStop(int number);

    soak_options m_options;
    soak_facts &m_facts;
    endpoint m_store;
    endpoint m_storeControl;
    endpoint m_replicaControl;
    std::vector<std::unique_ptr<child_process>> m_standIns;
    std::vector<std::unique_ptr<soak_daemon>> m_daemons;
    std::vector<daemon_care> m_care;
    std::unique_ptr<soak_directory> m_directory;
    std::uint64_t m_version = 0;
    int m_keys = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_balancers;
};

} // namespace vetchpost::test
