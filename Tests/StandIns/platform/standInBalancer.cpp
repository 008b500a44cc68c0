// SPDX-License-Identifier: Apache-2.0
// A test stand-in for the platform's load balancer. New connections go to daemons that report ready; open connections stay with their
// daemon. Never installed.
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/poco_timespan.h"
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/event_journal.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <poll.h>
#include <sstream>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Stand-in for the platform's load balancer.

Usage:
  standInBalancer --listen=<address> --control=<address> --daemons=<list>

Options:
  --daemons=<list>   The addresses of each daemon for clients and for readiness, as 127.0.0.1:1=127.0.0.1:2,...
)";

constexpr duration readinessPollPeriod(1000);
constexpr int failuresUntilRemoval = 2;
constexpr duration connectTimeout(1000);

struct balanced_daemon
{
    endpoint callers;
    endpoint readiness;
    std::atomic<bool> isInRotation = false;
    std::atomic<int> openConnections = 0;
};

class balancer_stand_in
{
public:
    explicit balancer_stand_in(const std::string &daemons)
    {
        std::istringstream in(daemons);
        for (std::string part; std::getline(in, part, ',');) {
            const auto equals = part.find('=');
            auto daemon = std::make_unique<balanced_daemon>();
            daemon->callers = parseEndpoint(part.substr(0, equals)).value();
            daemon->readiness = parseEndpoint(part.substr(equals + 1)).value();
            m_daemons.push_back(std::move(daemon));
        }
        for (auto &daemon : m_daemons) {
            std::thread([this, &daemon = *daemon] { pollReadiness(daemon); }).detach();
        }
    }

    /// Returns the daemons to try for a new connection, in order: the daemons in rotation, or all if fewer than half of them are in
    /// rotation.
    std::vector<balanced_daemon *> candidateDaemons()
    {
        std::vector<balanced_daemon *> in;
        for (const auto &daemon : m_daemons) {
            if (daemon->isInRotation) {
                in.push_back(daemon.get());
            }
        }
        if (in.size() * 2 < m_daemons.size()) {
            in.clear();
            std::transform(m_daemons.begin(), m_daemons.end(), std::back_inserter(in), [](const auto &daemon) { return daemon.get(); });
        }
        std::rotate(in.begin(), in.begin() + static_cast<std::ptrdiff_t>(m_next++ % in.size()), in.end());
        return in;
    }

    Json::Value facts() const
    {
        Json::Value json;
        for (const auto &daemon : m_daemons) {
            auto &fact = json["daemons"][daemon->callers.text()];
            fact["in"] = daemon->isInRotation.load();
            fact["open"] = daemon->openConnections.load();
        }
        return json;
    }

    const event_journal &journal() const
    {
        return m_journal;
    }

private:
    void pollReadiness(balanced_daemon &daemon)
    {
        http_call call;
        call.to = daemon.readiness;
        call.target = "/readyz";
        call.connectTimeout = call.receiveTimeout = readinessPollPeriod;
        for (int failures = failuresUntilRemoval;;) {
            const auto start = monotonicNow();
            reason ignored;
            const auto reply = sendOnFreshConnection(call, ignored);
            failures = reply && reply->isSuccess() ? 0 : failures + 1;
            const bool isInRotation = failures == 0 || (daemon.isInRotation && failures < failuresUntilRemoval);
            if (isInRotation != daemon.isInRotation) {
                daemon.isInRotation = isInRotation;
                Json::Value fields;
                fields["daemon"] = daemon.callers.text();
                m_journal.recordEvent(isInRotation ? "in" : "out", fields);
            }
            std::this_thread::sleep_for(std::max(duration(0), readinessPollPeriod - (monotonicNow() - start)));
        }
    }

    std::vector<std::unique_ptr<balanced_daemon>> m_daemons;
    std::atomic<std::size_t> m_next = 0;
    event_journal m_journal;
};

/// Forwards the bytes that have arrived to the other side; returns false once the sending side has closed.
bool forwardBytes(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to)
{
    std::array<char, 16384> bytes{};
    const int count = from.receiveBytes(bytes.data(), bytes.size());
    if (count <= 0) {
        to.shutdownSend();
        return false;
    }
    for (int sent = 0; sent < count;) {
        sent += to.sendBytes(bytes.data() + sent, count - sent);
    }
    return true;
}

class balanced_connection : public Poco::Net::TCPServerConnection
{
public:
    balanced_connection(const Poco::Net::StreamSocket &client, balancer_stand_in &balancer)
        : TCPServerConnection(client)
        , m_balancer(balancer)
    {
    }

    void run() override
    {
        for (auto *daemon : m_balancer.candidateDaemons()) {
            Poco::Net::StreamSocket upstream;
            try {
                upstream.connect(Poco::Net::SocketAddress(daemon->callers.host, daemon->callers.port), timespanOf(connectTimeout));
            } catch (const Poco::Exception &) {
                continue;
            }
            ++daemon->openConnections;
            forward(socket(), upstream);
            --daemon->openConnections;
            return;
        }
    }

private:
    /// Forwards bytes between both sides until the daemon closes its side. A reset of one side resets the other.
    static void forward(Poco::Net::StreamSocket &client, Poco::Net::StreamSocket &upstream)
    {
        try {
            client.setNoDelay(true);
            upstream.setNoDelay(true);
            std::array<pollfd, 2> sides{{{client.impl()->sockfd(), POLLIN, 0}, {upstream.impl()->sockfd(), POLLIN, 0}}};
            while (sides[0].fd >= 0 || sides[1].fd >= 0) {
                if (poll(sides.data(), sides.size(), -1) < 0) {
                    return;
                }
                if (sides[0].revents != 0 && !forwardBytes(client, upstream)) {
                    sides[0].fd = -1;
                }
                if (sides[1].revents != 0 && !forwardBytes(upstream, client)) {
                    // A daemon that has closed accepts no more bytes, so its client's connection is closed at once.
                    return;
                }
            }
        } catch (const Poco::Exception &) {
            client.setLinger(true, 0);
            upstream.setLinger(true, 0);
        }
    }

    balancer_stand_in &m_balancer;
};

class balanced_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit balanced_connection_factory(balancer_stand_in &balancer)
        : m_balancer(balancer)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new balanced_connection(socket, m_balancer);
    }

private:
    balancer_stand_in &m_balancer;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    balancer_stand_in balancer(arguments.at("--daemons").asString());
    const auto address = [&](const char *option) { return parseEndpoint(arguments.at(option).asString()).value(); };
    constexpr int maxConnections = 2000;
    constexpr int stackBytes = 256 * 1024;
    Poco::ThreadPool threads("balancer", 2, maxConnections, 60, stackBytes);
    Poco::Net::TCPServerParams::Ptr parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(maxConnections);
    parameters->setMaxQueued(maxConnections);
    const auto listen = address("--listen");
    const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress(listen.host, listen.port));
    Poco::Net::TCPServer server(new balanced_connection_factory(balancer), threads, listener, parameters);
    server.start();
    const auto control = serveControl(
        address("--control"), balancer.journal(), [](const Json::Value & /*faults*/) {}, [&] { return balancer.facts(); });
    waitForStop();
    std::_Exit(0);
}
