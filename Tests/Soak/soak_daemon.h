// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/child_process.h"
#include "Tests/Soak/loopback_proxy.h"

#include <atomic>
#include <memory>

namespace vetchpost::test {

struct daemon_options
{
    std::string program;
    std::string folder;
    std::uint16_t basePort = 0;
    int retrySlack = 0;
};

/// One daemon over all its processes, with the proxies before its clients and before its way to the store.
class soak_daemon
{
public:
    soak_daemon(int number, const daemon_options &options, const endpoint &store);

    /// Clients connect here, whatever the process's own address is.
    endpoint callers() const;
    endpoint readiness() const;
    loopback_proxy &callersLink();
    loopback_proxy &storeLink();
    child_process &process();

    void start(bool isFirstStart);
    /// The next start is under another address.
    void move();

private:
    std::string host() const;
    std::string fileName(const char *ending) const;
    void writeSettings(bool isFirstStart) const;

    int m_number;
    daemon_options m_options;
    std::atomic<int> m_moves = 0;
    loopback_proxy m_callersLink;
    loopback_proxy m_storeLink;
    std::unique_ptr<child_process> m_process;
};

} // namespace vetchpost::test
