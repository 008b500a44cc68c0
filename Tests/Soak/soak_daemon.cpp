// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_daemon.h"

#include <fmt/format.h>

#include <fstream>

namespace vetchpost::test {

namespace {

/// Offsets from the first port. Each daemon has its own address and the same ports; each proxy has its own port.
constexpr int callersOffset = 50;
constexpr int readinessOffset = 51;
constexpr int peersOffset = 52;
constexpr int callersProxyOffset = 300;
constexpr int announcedOffset = 350;
constexpr int storeProxyOffset = 400;

endpoint endpointAt(const std::string &host, int base, int offset)
{
    return {host, static_cast<std::uint16_t>(base + offset)};
}

} // namespace

soak_daemon::soak_daemon(int number, const daemon_options &options, const endpoint &store)
    : m_number(number)
    , m_options(options)
    , m_callersLink(callers(), endpointAt(host(), options.basePort, callersOffset))
    , m_storeLink(endpointAt("127.0.0.1", options.basePort, storeProxyOffset + number), store)
{
    if (options.areLinked) {
        m_peersLink.emplace(announced(), peers());
    }
}

std::string soak_daemon::host() const
{
    return fmt::format("127.0.{}.{}", 1 + m_addressChanges % 2, m_number + 1);
}

endpoint soak_daemon::callers() const
{
    return endpointAt("127.0.0.1", m_options.basePort, callersProxyOffset + m_number);
}

endpoint soak_daemon::readiness() const
{
    return endpointAt(host(), m_options.basePort, readinessOffset);
}

endpoint soak_daemon::peers() const
{
    return endpointAt(host(), m_options.basePort, peersOffset);
}

endpoint soak_daemon::announced() const
{
    return endpointAt("127.0.0.1", m_options.basePort, announcedOffset + m_number);
}

loopback_proxy &soak_daemon::callersLink()
{
    return m_callersLink;
}

loopback_proxy &soak_daemon::storeLink()
{
    return m_storeLink;
}

child_process &soak_daemon::process()
{
    return *m_process;
}

void soak_daemon::changeAddress()
{
    ++m_addressChanges;
}

std::string soak_daemon::fileName(const char *ending) const
{
    return fmt::format("{}/daemon-{}.{}", m_options.folder, m_number, ending);
}

void soak_daemon::writeSettings(bool isFirstStart) const
{
    std::ofstream out(fileName("yaml"));
    out << fmt::format(R"(daemon: daemon-{}
data-centre: ikeja
key-value: {}
first-start: {}
connections: 64
listen:
  callers: {}
  readiness: {}
  peers: {}
{}timing:
  replica-heartbeat-ms: {}
{}retries:
  slack: {}
{})",
                       m_number,
                       endpointAt("127.0.0.1", m_options.basePort, storeProxyOffset + m_number).text(),
                       isFirstStart,
                       endpointAt(host(), m_options.basePort, callersOffset).text(),
                       readiness().text(),
                       peers().text(),
                       m_options.areLinked ? fmt::format("  peers-announced: {}\n", announced().text()) : std::string(),
                       m_options.heartbeat.count(),
                       m_options.moreTiming,
                       m_options.retrySlack,
                       m_options.moreSettings);
}

void soak_daemon::start(bool isFirstStart)
{
    writeSettings(isFirstStart);
    m_callersLink.setServer(endpointAt(host(), m_options.basePort, callersOffset));
    if (m_peersLink) {
        m_peersLink->setServer(peers());
    }
    m_process = std::make_unique<child_process>(std::vector<std::string>{m_options.program, "entry", "--settings=" + fileName("yaml")},
                                                fileName("log"));
}

} // namespace vetchpost::test
