// SPDX-License-Identifier: Apache-2.0
// Daemons that reach no replica, while their clients, the key-value service and the other daemons reach them.
#include "Tests/Partition/partitionFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// From this time after the beginning of a partition, requests at a partitioned daemon have to be served as at the others.
constexpr duration detectionBound(500);
constexpr int requestsOfEachKind = 20;
/// The share of the requests that the other daemons serve.
constexpr double wantedShare = 0.95;

class three_daemons
{
public:
    three_daemons()
    {
        fixture.addPlainReplica("p-1", m_plain[0]);
        fixture.addPlainReplica("p-2", m_plain[1]);
        fixture.addGroupHead("h-1", m_heads[0]);
        fixture.addGroupHead("h-2", m_heads[1]);
        fixture.startAll();
        for (int number = 0; number < 3; ++number) {
            REQUIRE(countServed(fixture.daemon(number), "/again/", 2) == 2);
            REQUIRE(countServed(fixture.daemon(number), "/stream/", 2) == 2);
        }
    }

private:
    std::array<scripted_replica, 2> m_plain{scripted_replica(successAnswer), scripted_replica(successAnswer)};
    std::array<scripted_replica, 2> m_heads{scripted_replica(shortStream), scripted_replica(shortStream)};

public:
    partition_fixture fixture{3};
};

/// Sends requests of both services to a daemon while the bound passes, as its clients do.
void sendUntilDetectionBound(const linked_daemon &daemon)
{
    const auto end = monotonicNow() + detectionBound;
    std::vector<std::future<void>> clients;
    for (const auto *path : {"/again/", "/stream/"}) {
        clients.push_back(std::async(std::launch::async, [&daemon, path, end] {
            while (monotonicNow() < end) {
                daemon.request(path);
            }
        }));
    }
}

} // namespace

TEST_CASE("Requests at daemons that reach no replica are served as at the others")
{
    const auto fault = GENERATE(link_fault::partition, link_fault::partition_reset);
    three_daemons daemons;
    auto &fixture = daemons.fixture;
    for (const int number : {0, 1}) {
        fixture.daemon(number).setReplicaFault(fault);
    }
    sendUntilDetectionBound(fixture.daemon(0));
    sendUntilDetectionBound(fixture.daemon(1));
    for (const auto *path : {"/again/", "/once/", "/stream/"}) {
        INFO(path << " with fault " << static_cast<int>(fault));
        const auto served = countServed(fixture.daemon(2), path, requestsOfEachKind);
        CHECK(served == requestsOfEachKind);
        CHECK(countServed(fixture.daemon(0), path, requestsOfEachKind) >= wantedShare * served);
        CHECK(countServed(fixture.daemon(1), path, requestsOfEachKind) >= wantedShare * served);
    }
}
