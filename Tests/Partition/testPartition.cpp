// SPDX-License-Identifier: Apache-2.0
// Daemons that reach no replica, while their clients, the key-value service and the other daemons reach them.
#include "Libraries/Entry/tunnel_messages.h"
#include "Libraries/Http/http_tunnel.h"
#include "Tests/Partition/partitionFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// From this time after the beginning of a partition, requests at a partitioned daemon have to be served as at the others.
constexpr duration detectionBound(500);
constexpr int requestsOfEachKind = 20;
/// The share of the requests that the other daemons serve.
constexpr double wantedShare = 0.95;

/// Sends requests of both services to a daemon while the bound passes, as its clients do.
void sendUntilDetectionBound(const std::vector<const linked_daemon *> &daemons)
{
    const auto end = monotonicNow() + detectionBound;
    std::vector<std::future<void>> clients;
    for (const auto *daemon : daemons) {
        for (const auto *path : {"/again/", "/stream/"}) {
            clients.push_back(std::async(std::launch::async, [daemon, path, end] {
                while (monotonicNow() < end) {
                    daemon->request(path);
                }
            }));
        }
    }
}

/// Daemons in front of two plain replicas and two heads of groups.
class daemons_and_replicas
{
public:
    explicit daemons_and_replicas(int daemons,
                                  const scripted_replica::script &plain = successAnswer,
                                  const scripted_replica::script &head = shortStream,
                                  bool isConcurrent = true)
        : m_plain{scripted_replica(plain, true), scripted_replica(plain, true)}
        , m_heads{scripted_replica(head, isConcurrent), scripted_replica(head, isConcurrent)}
        , fixture(daemons)
    {
        fixture.addPlainReplica("p-1", m_plain[0]);
        fixture.addPlainReplica("p-2", m_plain[1]);
        fixture.addGroupHead("h-1", m_heads[0]);
        fixture.addGroupHead("h-2", m_heads[1]);
        fixture.startAll();
        // All daemons have announced themselves to each other.
        std::this_thread::sleep_for(duration(1500));
    }

    /// Cuts the first \a count daemons off, and lets them find out by requests.
    void cutOff(int count, link_fault fault = link_fault::partition)
    {
        std::vector<const linked_daemon *> affected;
        for (int number = 0; number < count; ++number) {
            fixture.daemon(number).setReplicaFault(fault);
            affected.push_back(&fixture.daemon(number));
        }
        sendUntilDetectionBound(affected);
    }

    /// The requests with this id that the replicas have received.
    std::vector<std::string> requestsWithId(const std::string &id) const
    {
        std::vector<std::string> found;
        for (const auto *replicas : {&m_plain, &m_heads}) {
            for (const auto &replica : *replicas) {
                for (const auto &request : replica.requests()) {
                    if (headerOf(request, "Attempt-Id") == id) {
                        found.push_back(request);
                    }
                }
            }
        }
        return found;
    }

    /// Whether a head has seen a daemon close its connection in the middle of an answer.
    bool hasSeenDisconnect() const
    {
        return std::any_of(
            m_heads.begin(), m_heads.end(), [](const scripted_replica &replica) { return replica.connectionClosedAt().has_value(); });
    }

private:
    std::array<scripted_replica, 2> m_plain;
    std::array<scripted_replica, 2> m_heads;

public:
    partition_fixture fixture;
};

constexpr int longStreamEvents = 12;

/// A stream of events 100 ms apart, from the one after that the request names.
std::string longStream(const std::string &request)
{
    const auto last = headerOf(request, "Last-Event-Id");
    std::string answer = streamHead(request, "s");
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= longStreamEvents; ++number) {
        answer += chunk(event(number)) + pauseMarker;
    }
    return answer + "0\r\n\r\n";
}

std::string wholeLongStream()
{
    std::string events;
    for (int number = 1; number <= longStreamEvents; ++number) {
        events += event(number);
    }
    return events;
}

} // namespace

TEST_CASE("Requests at daemons that reach no replica are served as at the others")
{
    const auto fault = GENERATE(link_fault::partition, link_fault::partition_reset, link_fault::hang_new, link_fault::refuse_new);
    daemons_and_replicas system(3);
    system.cutOff(2, fault);
    for (const auto *path : {"/again/", "/once/", "/stream/"}) {
        INFO(path << " with fault " << static_cast<int>(fault));
        const auto served = countServed(system.fixture.daemon(2), path, requestsOfEachKind);
        CHECK(served == requestsOfEachKind);
        CHECK(countServed(system.fixture.daemon(0), path, requestsOfEachKind) >= wantedShare * served);
        CHECK(countServed(system.fixture.daemon(1), path, requestsOfEachKind) >= wantedShare * served);
    }
}

TEST_CASE("Requests are served where five of eight daemons reach no replica, with little time added")
{
    daemons_and_replicas system(8);
    system.cutOff(5);
    const auto medianOf = [&](int daemon) {
        std::vector<duration> times;
        for (int number = 0; number < requestsOfEachKind; ++number) {
            const auto began = monotonicNow();
            CHECK(system.fixture.daemon(daemon).request("/stream/").status == 200);
            times.push_back(monotonicNow() - began);
        }
        std::nth_element(times.begin(), times.begin() + requestsOfEachKind / 2, times.end());
        return times[requestsOfEachKind / 2];
    };
    for (int number = 0; number < 5; ++number) {
        CHECK(medianOf(number) - medianOf(7) < duration(20));
    }
}

TEST_CASE("A request that no daemon can bring to a replica is refused at once, and is not passed round")
{
    daemons_and_replicas system(3);
    system.cutOff(3);
    double requested = 0;
    for (int number = 0; number < 3; ++number) {
        const auto began = monotonicNow();
        const auto answer = system.fixture.daemon(number).request("/stream/");
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(monotonicNow() - began < duration(100));
        requested -= system.fixture.daemon(number).metric("vetchpost_tunnels_requested_total");
    }
    for (int number = 0; number < 3; ++number) {
        countServed(system.fixture.daemon(number), "/stream/", requestsOfEachKind);
        requested += system.fixture.daemon(number).metric("vetchpost_tunnels_requested_total");
        CHECK(system.fixture.daemon(number).metric("vetchpost_tunnels_carried_total") == 0);
    }
    // Each request finds at once that there is nobody to ask.
    CHECK(requested <= 3 * requestsOfEachKind);
}

TEST_CASE("A daemon that is cut off from one service alone uses tunnels for that one")
{
    daemons_and_replicas system(2);
    const auto &cut = system.fixture.daemon(0);
    cut.setReplicaFault(link_fault::partition, "h-");
    sendUntilDetectionBound({&cut});
    CHECK(countServed(cut, "/stream/", requestsOfEachKind) == requestsOfEachKind);
    CHECK(countServed(cut, "/again/", requestsOfEachKind) == requestsOfEachKind);
    CHECK(isWithin(duration(1000), [&] { return cut.metric("vetchpost_services_cut_off") == 1; }));
}

TEST_CASE("One replica that does not answer is passed over without a tunnel")
{
    daemons_and_replicas system(2);
    const auto &daemon = system.fixture.daemon(0);
    daemon.setReplicaFault(link_fault::partition, "h-1");
    sendUntilDetectionBound({&daemon});
    CHECK(countServed(daemon, "/stream/", requestsOfEachKind) == requestsOfEachKind);
    CHECK(daemon.metric("vetchpost_services_cut_off") == 0);
    // The coordinator may look at the silent replica through the other daemon.
    CHECK(daemon.metric("vetchpost_tunnels_requested_total{purpose=\"request\"") == 0);
}

TEST_CASE("A daemon whose cut has ended uses its own connections again")
{
    daemons_and_replicas system(2);
    const auto &cut = system.fixture.daemon(0);
    system.cutOff(1);
    REQUIRE(countServed(cut, "/stream/", requestsOfEachKind) == requestsOfEachKind);
    cut.setReplicaFault(link_fault::none);
    CHECK(isWithin(duration(3000), [&] { return cut.metric("vetchpost_services_cut_off") == 0; }));
    const auto before = cut.metric("vetchpost_tunnels_requested_total");
    CHECK(countServed(cut, "/stream/", requestsOfEachKind) == requestsOfEachKind);
    CHECK(cut.metric("vetchpost_tunnels_requested_total") == before);
}

TEST_CASE("Requests are served while a daemon's links to the replicas fail and recover each second")
{
    const auto fault = GENERATE(link_fault::partition, link_fault::partition_reset);
    daemons_and_replicas system(2);
    const auto &cut = system.fixture.daemon(0);
    const auto end = monotonicNow() + duration(8000);
    std::atomic<bool> isOver = false;
    auto flapping = std::async(std::launch::async, [&] {
        for (int second = 0; !isOver; ++second) {
            cut.setReplicaFault(second % 2 == 0 ? fault : link_fault::none);
            std::this_thread::sleep_for(duration(1000));
        }
    });
    int served = 0;
    int offered = 0;
    while (monotonicNow() < end) {
        ++offered;
        served += cut.request("/stream/").status == 200 ? 1 : 0;
        std::this_thread::sleep_for(duration(20));
    }
    isOver = true;
    flapping.wait();
    CHECK(served >= wantedShare * offered);
}

TEST_CASE("A request is known as one that ends replicas by no connection that a partition has reset")
{
    // All requests of the test are alike, so that three ends of replicas under them would refuse them.
    daemons_and_replicas system(2, successAnswer, longStream);
    const auto &cut = system.fixture.daemon(0);
    for (int round = 0; round < 4; ++round) {
        auto stream = std::async(std::launch::async, [&] { return cut.request("/stream/"); });
        std::this_thread::sleep_for(duration(300));
        cut.setReplicaFault(link_fault::partition_reset);
        stream.wait();
        cut.setReplicaFault(link_fault::none);
        std::this_thread::sleep_for(duration(200));
    }
    CHECK(cut.metric("vetchpost_suspect_ends_total") == 0);
    CHECK(cut.request("/stream/").status == 200);
}

TEST_CASE("A stream goes on without loss or repetition when the daemon that carries its tunnel ends")
{
    daemons_and_replicas system(3, successAnswer, longStream);
    system.cutOff(1);
    auto &fixture = system.fixture;
    auto stream = std::async(std::launch::async, [&] { return fixture.daemon(0).request("/stream/", "carried"); });
    REQUIRE(isWithin(duration(2000), [&] {
        return fixture.daemon(1).metric("vetchpost_tunnels_open") + fixture.daemon(2).metric("vetchpost_tunnels_open") > 0;
    }));
    std::this_thread::sleep_for(duration(300));
    fixture.daemon(fixture.daemon(1).metric("vetchpost_tunnels_open") > 0 ? 1 : 2).daemon.reset();
    const auto answer = stream.get();
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(answer.body == wholeLongStream());
}

TEST_CASE("A request that may run once reaches one replica at most when the daemon that carries its tunnel ends")
{
    const auto slowAnswer = [](const std::string &request) { return std::string(5, pauseMarker) + plainAnswer(request, "answer"); };
    daemons_and_replicas system(3, slowAnswer);
    system.cutOff(1);
    auto &fixture = system.fixture;
    auto reply = std::async(std::launch::async, [&] { return fixture.daemon(0).request("/once/", "booked"); });
    REQUIRE(isWithin(duration(2000), [&] { return system.requestsWithId("booked").size() == 1; }));
    fixture.daemon(fixture.daemon(1).metric("vetchpost_tunnels_open") > 0 ? 1 : 2).daemon.reset();
    const auto answer = reply.get();
    CHECK(answer.status != 503);
    CHECK(answer.status != 429);
    CHECK(system.requestsWithId("booked").size() == 1);
}

TEST_CASE("A request whose client has left is cancelled at its replica through the tunnel")
{
    daemons_and_replicas system(2, successAnswer, longStream);
    system.cutOff(1);
    http_upstream connection;
    reason why;
    REQUIRE(connection.send(system.fixture.daemon(0).callFor("/stream/", "left"), why));
    REQUIRE(isWithin(duration(2000), [&] { return system.requestsWithId("left").size() == 1; }));
    connection.close();
    CHECK(isWithin(duration(500), [&] { return system.hasSeenDisconnect(); }));
}

TEST_CASE("A request for a tunnel that no daemon of the system has sent opens none, and nor does one for an earlier run")
{
    daemons_and_replicas system(1);
    const auto &daemon = system.fixture.daemon(0);
    tunnel_request request;
    request.replica = {instance_id("h-1"), replica_incarnation()};
    request.service = service_id("large");
    request.terms.timeLeft = duration(1000);
    const auto refusalOf = [&](const std::vector<http_header> &headers) {
        http_call call;
        call.to = daemon.peers;
        call.headers = headers;
        tunnel_refusal refusal;
        reason why;
        CHECK_FALSE(openTunnel(call, "h-1", refusal, why));
        return readTunnelRefusal(refusal.headers);
    };
    CHECK(refusalOf({}) == tunnel_refusal_kind::invalid);
    CHECK(refusalOf(tunnelHeaders(request, daemon.peers, identity_key(std::string(64, 'b')))) == tunnel_refusal_kind::not_authentic);
    CHECK(refusalOf(tunnelHeaders(request, daemon.peers, relay_fixture::identityKey())) == tunnel_refusal_kind::invalid);
    CHECK(daemon.metric("vetchpost_tunnels_carried_total") == 0);
}

// The replicas answer one connection after the other, so that probes are not answered while a stream pauses.
TEST_CASE("A replica that is silent for a second is neither a cut nor a reason to close its group")
{
    const auto silentStream = [](const std::string &request) {
        return streamHead(request, "s") + chunk(event(1)) + std::string(10, pauseMarker) + chunk(event(2)) + "0\r\n\r\n";
    };
    daemons_and_replicas system(2, successAnswer, silentStream, false);
    const auto &daemon = system.fixture.daemon(0);
    const auto orders = daemon.metric("vetchpost_orders_total");
    const auto answer = daemon.request("/stream/");
    CHECK(answer.isWhole);
    CHECK(daemon.metric("vetchpost_services_cut_off") == 0);
    CHECK(daemon.metric("vetchpost_orders_total") == orders);
}
