// SPDX-License-Identifier: Apache-2.0
// For some seconds a load balancer hands most new connections of a data centre to one daemon, while clients open new ones more often.
// Retries meet other daemons.
#include "Tests/Partition/partitionFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int daemons = 3;
/// Each daemon can handle this many requests per second.
constexpr double requestsPerDaemon = 20;
constexpr int usualPerDaemon = 10;
/// The rule asks for three quarters.
constexpr double wantedShare = 0.95;
constexpr duration time(2000);

struct counts
{
    int offered = 0;
    /// Requests whose first attempt a daemon has read, and those of them that it has served.
    int read = 0;
    int served = 0;
    /// Requests that were read and served at any attempt.
    int servedAtLast = 0;
};

class crowded_daemons
{
public:
    crowded_daemons()
    {
        fixture.addPlainReplica("p-1", m_replica);
        fixture.setProcessorShare(requestsPerDaemon / 1000);
        fixture.startAll();
    }

    /// Sends requests on new connections, \a perSecond for \a time. \a daemonFor returns the daemon that the load balancer chooses for the
    /// request of a number.
    counts send(double perSecond, const std::function<int(int)> &daemonFor)
    {
        counts result;
        const auto began = monotonicNow();
        while (monotonicNow() - began < time) {
            sleepUntil(began + duration(static_cast<int>(1000 * result.offered / perSecond)));
            const auto first = daemonFor(result.offered);
            const auto id = fmt::format("r{}", ++m_requests);
            ++result.offered;
            const auto answer = fixture.daemon(first).request("/again/", id);
            const bool isRead = answer.status != 0;
            result.read += isRead ? 1 : 0;
            result.served += answer.status == 200 ? 1 : 0;
            bool isServed = answer.status == 200;
            for (int retry = 1; retry < daemons && !isServed; ++retry) {
                isServed = fixture.daemon((first + retry) % daemons).request("/again/", id).status == 200;
            }
            result.servedAtLast += isServed ? 1 : 0;
        }
        return result;
    }

private:
    scripted_replica m_replica{successAnswer, true};
    int m_requests = 0;

public:
    partition_fixture fixture{daemons, false};
};

} // namespace

TEST_CASE("A daemon that gets most new connections serves what it reads as before, and closes the rest unread for other daemons to serve")
{
    crowded_daemons system;
    const auto usual = system.send(daemons * usualPerDaemon, [](int number) { return number % daemons; });
    CHECK(usual.served == usual.offered);

    const auto &crowded = system.fixture.daemon(0);
    const auto crowd = system.send(1.5 * daemons * usualPerDaemon, [](int number) { return number % 10 == 0 ? 1 : 0; });
    INFO(crowd.offered << " offered, " << crowd.read << " read, " << crowd.served << " served at the first attempt");
    CHECK(crowd.served >= wantedShare * crowd.read);
    CHECK(crowd.servedAtLast == crowd.offered);
    CHECK(crowd.read < crowd.offered);
    CHECK(crowded.metric("vetchpost_connections_closed_unread_total") == crowd.offered - crowd.read);

    const auto after = system.send(daemons * usualPerDaemon, [](int number) { return number % daemons; });
    CHECK(after.served >= wantedShare * after.offered);
}
