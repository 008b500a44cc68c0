// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/child_process.h"
#include "Tests/Soak/loopback_proxy.h"

#include <atomic>
#include <memory>
#include <optional>

namespace vetchpost::test {

/// The settings that all daemons of a soak share.
struct daemon_options
{
    std::string program;
    std::string folder;
    std::uint16_t basePort = 0;
    duration heartbeat{400};
    int retrySlack = 0;
    /// Whether the daemons announce an address of the run to each other in place of their own, so that it can cut them off.
    bool areLinked = false;
    /// Text that is appended to the settings.
    std::string moreSettings = {};
    /// Lines that are appended to the times in the settings.
    std::string moreTiming = {};
};

/// One daemon across the restarts of its process, with the proxies between clients and it and between it and the store.
class soak_daemon
{
public:
    soak_daemon(int number, const daemon_options &options, const endpoint &store);

    /// The proxy's address for clients, which stays the same when the process's own address changes.
    endpoint callers() const;
    endpoint readiness() const;
    /// The process's own address for the other daemons.
    endpoint peers() const;
    /// The address that the daemon announces to the other daemons, if they are linked.
    endpoint announced() const;
    loopback_proxy &callersLink();
    loopback_proxy &storeLink();
    child_process &process();

    /// Writes the settings and starts the process.
    void start(bool isFirstStart);
    /// Makes the next start use another address.
    void changeAddress();

private:
    std::string host() const;
    std::string fileName(const char *ending) const;
    void writeSettings(bool isFirstStart) const;

    int m_number;
    daemon_options m_options;
    std::atomic<int> m_addressChanges = 0;
    loopback_proxy m_callersLink;
    loopback_proxy m_storeLink;
    /// Passes the tunnels of other daemons on, if the daemons are linked.
    std::optional<loopback_proxy> m_peersLink;
    std::unique_ptr<child_process> m_process;
};

} // namespace vetchpost::test
