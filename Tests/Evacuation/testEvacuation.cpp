// SPDX-License-Identifier: Apache-2.0
// Whole daemons that share a key-value service, and replicas in two data centres of which one is evacuated.
#include "Tests/Fakes/waiting.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/sharedStore.h"

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration evacuationBound(5000);
/// The time within which the last request has to arrive while the key-value service answers.
constexpr duration promptBound(1000);
constexpr auto zKey = "op/evacuate/z";
constexpr auto yKey = "op/evacuate/y";

/// A daemon with its link to the shared store.
struct test_daemon
{
    store_link link;
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    std::unique_ptr<entry_daemon> daemon;

    client_answer request(const std::string &path) const
    {
        http_call call;
        call.to = callers;
        call.method = "POST";
        call.target = path;
        call.body = "question";
        call.headers
            = {{"Host", "a.example"}, {"Attempt-Id", "a1"}, {"Deadline-Ms", "2500"}, {"Model", "m"}, {"Authorization", "Bearer good"}};
        return sendCall(call);
    }

    bool isReady() const
    {
        return get(readiness, "/readyz").status == 200;
    }

    http_reply get(const endpoint &address, const std::string &path) const
    {
        http_call call;
        call.to = address;
        call.target = path;
        reason why;
        return sendOnFreshConnection(call, why).value_or(http_reply());
    }
};

std::string streamAnswer(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// Several daemons, and in each of the data centres z and y one plain replica and one group.
class evacuation_fixture
{
public:
    explicit evacuation_fixture(int daemons = 1, duration evacuation = evacuationBound)
        : m_evacuation(evacuation)
    {
        m_store.write("op/config", configurationText);
        addReplica("r-z", "z", m_inZ);
        addReplica("r-y", "y", m_inY);
        addHead("h-z", "z", m_headInZ);
        addHead("h-y", "y", m_headInY);
        for (int number = 0; number < daemons; ++number) {
            m_daemons.push_back(std::make_unique<test_daemon>());
        }
    }

    void start(int number)
    {
        auto &next = *m_daemons[static_cast<std::size_t>(number)];
        entry_settings settings;
        settings.daemon = daemon_id("d" + std::to_string(number));
        // Idle daemons prefer groups and replicas of their own data centre.
        settings.dataCentre = data_centre_id("z");
        settings.callers = next.callers = freePort();
        settings.readiness = next.readiness = freePort();
        settings.peers = next.peers = freePort();
        settings.maximumConnections = 16;
        // The tests send thousands of requests per second on new connections.
        settings.processorShare = 16;
        settings.keyRevocation = duration(60000);
        settings.configurationApply = duration(2000);
        settings.evacuation = m_evacuation;
        settings.stopGrace = duration(3000);
        settings.leaseTime = duration(2000);
        settings.isLogOn = m_isLogOn;
        settings.retryShare = 0.2;
        settings.retrySlack = 3500;
        next.daemon = std::make_unique<entry_daemon>(
            settings, std::make_unique<platform_dialect>(), [this, &next](const endpoint & /*address*/, metrics & /*counters*/) {
                return std::make_unique<linked_store>(m_store, next.link);
            });
        next.daemon->start();
    }

    void startAll()
    {
        for (int number = 0; number < static_cast<int>(m_daemons.size()); ++number) {
            start(number);
            REQUIRE(isWithin(duration(6000), [&] { return daemon(number).isReady(); }));
            // The first daemon becomes the coordinator before the others start.
            std::this_thread::sleep_for(duration(number == 0 ? 1200 : 0));
            const auto isFollowing = [&] {
                return daemon(number).get(daemon(number).peers, "/metrics").body.find("vetchpost_daemons_known 0") == std::string::npos;
            };
            REQUIRE(isWithin(duration(5000), isFollowing));
        }
    }

    /// From the next start on, daemons log.
    void enableLog()
    {
        m_isLogOn = true;
    }

    test_daemon &daemon(int number)
    {
        return *m_daemons[static_cast<std::size_t>(number)];
    }

    shared_store &store()
    {
        return m_store;
    }

    std::size_t requestsIn(char dataCentre) const
    {
        return dataCentre == 'z' ? m_inZ.requests().size() + m_headInZ.requests().size()
                                 : m_inY.requests().size() + m_headInY.requests().size();
    }

    /// Sends requests of both services through a daemon. Returns how many of them reached the data centre.
    std::size_t sendSome(int number, char dataCentre)
    {
        const auto before = requestsIn(dataCentre);
        m_lastAnswers.clear();
        for (int i = 0; i < 6; ++i) {
            for (const auto *path : {"/again/x", "/stream/x"}) {
                const auto answer = daemon(number).request(path);
                m_lastAnswers += fmt::format("{}: {} {}\n", path, answer.status, answer.body);
            }
        }
        return requestsIn(dataCentre) - before;
    }

    /// Returns the answers to the requests of the last sendSome(), to be shown where a check fails, and how many connections the daemon has
    /// closed unread.
    std::string lastAnswers(int number)
    {
        constexpr auto name = "\nvetchpost_connections_closed_unread_total ";
        const auto metrics = daemon(number).get(daemon(number).peers, "/metrics").body;
        const auto found = metrics.find(name);
        const auto closed = found == std::string::npos ? "?" : metrics.substr(found, metrics.find('\n', found + 1) - found);
        return m_lastAnswers + closed;
    }

    /// Sends requests until none of some reaches z, for at most twice the bound. Returns when the last one arrived there, counted from \a
    /// since.
    duration timeUntilEmpty(int number, instant since)
    {
        auto last = since;
        const auto latest = since + 2 * evacuationBound;
        for (auto quietSince = monotonicNow(); monotonicNow() - quietSince < duration(600) && monotonicNow() < latest;) {
            if (sendSome(number, 'z') > 0) {
                quietSince = last = monotonicNow();
            }
        }
        return last - since;
    }

private:
    void addReplica(const std::string &id, const std::string &zone, const scripted_replica &replica)
    {
        m_store.write(
            "servers/" + id,
            fmt::format(
                R"({{"Service":"plain","Address":"{}","Zone":"{}","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}})",
                replica.address(),
                zone));
    }

    void addHead(const std::string &id, const std::string &zone, const scripted_replica &replica)
    {
        m_store.write(
            "servers/" + id,
            fmt::format(
                R"({{"Service":"large","Address":"{}","Zone":"{}","Domain":"{}","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{{"Name":"m","Version":1}}],
                "group":{{"Name":"g-{}","epoch":1,"rank":0,"State":"open"}}}})",
                replica.address(),
                zone,
                zone,
                id));
    }

    duration m_evacuation;
    bool m_isLogOn = false;
    std::string m_lastAnswers;
    shared_store m_store;
    scripted_replica m_inZ{successAnswer};
    scripted_replica m_inY{successAnswer};
    scripted_replica m_headInZ{streamAnswer};
    scripted_replica m_headInY{streamAnswer};
    std::vector<std::unique_ptr<test_daemon>> m_daemons;
};

} // namespace

TEST_CASE("Requests leave an evacuated data centre within a second, at the coordinator and at a follower, and return to it afterwards")
{
    evacuation_fixture fixture(2);
    fixture.startAll();
    CHECK(fixture.sendSome(0, 'z') > 0);
    CHECK(fixture.sendSome(1, 'z') > 0);
    const int number = GENERATE(0, 1);
    fixture.store().write(zKey, "{}");
    const auto written = monotonicNow();
    const auto last = fixture.timeUntilEmpty(number, written);
    std::cout << "evacuation: the last request of daemon " << number << " arrived " << last.count() << " ms after the write\n";
    CHECK(last < promptBound);
    CHECK(fixture.sendSome(1 - number, 'z') == 0);
    const auto arrived = fixture.sendSome(number, 'y');
    INFO(fixture.lastAnswers(number));
    CHECK(arrived == 12);
    fixture.store().remove(zKey);
    CHECK(isWithin(promptBound, [&] { return fixture.sendSome(number, 'z') > 0; }));
}

TEST_CASE("Without the setting an evacuation is never read and changes nothing")
{
    evacuation_fixture fixture(1, duration());
    fixture.store().write(zKey, "{}");
    fixture.startAll();
    CHECK(fixture.sendSome(0, 'z') > 0);
    CHECK(fixture.daemon(0).link.evacuationCalls == 0);
}

// The evacuation must not cost a call for each daemon: on the platform calls to the key-value service are paid for.
TEST_CASE("Followers do not call the key-value service for evacuations while the source does")
{
    evacuation_fixture fixture(2);
    fixture.startAll();
    std::this_thread::sleep_for(duration(1000));
    const auto source = fixture.daemon(0).link.evacuationCalls.load();
    const auto follower = fixture.daemon(1).link.evacuationCalls.load();
    std::this_thread::sleep_for(duration(6000));
    CHECK(fixture.daemon(1).link.evacuationCalls == follower);
    // One watch for each 0.15 of the bound.
    CHECK(fixture.daemon(0).link.evacuationCalls - source <= 9);
}

TEST_CASE("If both data centres are evacuated, requests are refused as not run")
{
    evacuation_fixture fixture;
    fixture.store().write(zKey, "{}");
    fixture.store().write(yKey, "{}");
    fixture.startAll();
    for (const auto *path : {"/again/x", "/once/x", "/stream/x"}) {
        const auto answer = fixture.daemon(0).request(path);
        CHECK(answer.status == 503);
        CHECK(answer.header("Retry-After") != "");
    }
    CHECK(fixture.requestsIn('z') + fixture.requestsIn('y') == 0);
}

TEST_CASE("A daemon that starts during an evacuation sends nothing to the data centre, and is ready only once it knows the set")
{
    evacuation_fixture fixture;
    fixture.store().write(zKey, "{}");
    fixture.startAll();
    CHECK(fixture.sendSome(0, 'z') == 0);
    CHECK(fixture.requestsIn('y') == 12);
}

TEST_CASE("A daemon that loses the key-value service keeps the last known set")
{
    evacuation_fixture fixture;
    fixture.store().write(zKey, "{}");
    fixture.startAll();
    fixture.daemon(0).link.isUp = false;
    fixture.store().remove(zKey);
    std::this_thread::sleep_for(evacuationBound + duration(500));
    CHECK(fixture.sendSome(0, 'z') == 0);
    fixture.daemon(0).link.isUp = true;
    CHECK(isWithin(duration(3000), [&] { return fixture.sendSome(0, 'z') > 0; }));
}

TEST_CASE("A follower that is cut off from the key-value service learns the evacuation from the source")
{
    evacuation_fixture fixture(2);
    fixture.startAll();
    std::this_thread::sleep_for(duration(1000));
    fixture.daemon(1).link.isUp = false;
    fixture.store().write(zKey, "{}");
    CHECK(fixture.timeUntilEmpty(1, monotonicNow()) < promptBound);
}

// Without the set a starting daemon may not send: an evacuation may be in force.
TEST_CASE("A daemon that cannot learn the evacuations is not ready and sends nothing")
{
    evacuation_fixture fixture;
    fixture.daemon(0).link.hidesEvacuations = true;
    fixture.start(0);
    std::this_thread::sleep_for(duration(1500));
    CHECK_FALSE(fixture.daemon(0).isReady());
    CHECK(fixture.daemon(0).request("/again/x").status == 503);
    CHECK(fixture.requestsIn('z') + fixture.requestsIn('y') == 0);
    fixture.daemon(0).link.hidesEvacuations = false;
    CHECK(isWithin(duration(3000), [&] { return fixture.daemon(0).isReady(); }));
    CHECK(fixture.daemon(0).request("/again/x").status == 200);
}

TEST_CASE("A coordinator that is lost during an evacuation ends nothing, and its successor follows the next one")
{
    evacuation_fixture fixture(2);
    fixture.startAll();
    fixture.store().write(zKey, "{}");
    CHECK(fixture.timeUntilEmpty(1, monotonicNow()) < promptBound);
    fixture.daemon(0).daemon.reset();
    for (int i = 0; i < 40; ++i) {
        CHECK(fixture.sendSome(1, 'z') == 0);
        std::this_thread::sleep_for(duration(100));
    }
    fixture.store().remove(zKey);
    CHECK(isWithin(promptBound, [&] { return fixture.sendSome(1, 'z') > 0; }));
}

TEST_CASE("Operators see what is evacuated, and the metrics count it")
{
    evacuation_fixture fixture;
    fixture.store().write(zKey, "{}");
    fixture.store().write("op/evacuate/nowhere", "{}");
    fixture.startAll();
    const auto &daemon = fixture.daemon(0);
    const auto text = daemon.get(daemon.peers, "/evacuations").body;
    CHECK(text.find(R"("data_centre":"z","groups":1,"replicas":2,"requests":0)") != std::string::npos);
    CHECK(text.find(R"("data_centre":"nowhere","groups":0,"replicas":0)") != std::string::npos);
    CHECK(text.find(R"("known":true)") != std::string::npos);
    const auto metricsText = daemon.get(daemon.peers, "/metrics").body;
    CHECK(metricsText.find("vetchpost_evacuated_data_centres 1") != std::string::npos);
    CHECK(metricsText.find("vetchpost_evacuated_requests 0") != std::string::npos);
}

// The source cannot tell that its set is old; the follower sees its age.
TEST_CASE("A follower whose source is cut off from the key-value service reads the evacuations itself in time")
{
    evacuation_fixture fixture(2);
    fixture.startAll();
    std::this_thread::sleep_for(duration(1000));
    fixture.daemon(0).link.isUp = false;
    fixture.store().write(zKey, "{}");
    const auto written = monotonicNow();
    const auto last = fixture.timeUntilEmpty(1, written);
    std::cout << "evacuation: without the source, the last request arrived " << last.count() << " ms after the write\n";
    CHECK(last < evacuationBound);
    CHECK(isWithin(evacuationBound, [&] { return fixture.sendSome(1, 'z') == 0; }));
    CHECK(fixture.sendSome(1, 'z') == 0);
    CHECK(fixture.sendSome(1, 'y') == 12);
}

TEST_CASE("A lost history of the key-value service loses no evacuation")
{
    evacuation_fixture fixture;
    fixture.startAll();
    CHECK(fixture.sendSome(0, 'z') > 0);
    fixture.store().historyBegins = 1000;
    fixture.store().write(zKey, "{}");
    CHECK(fixture.timeUntilEmpty(0, monotonicNow()) < evacuationBound);
    fixture.store().remove(zKey);
    CHECK(isWithin(evacuationBound, [&] { return fixture.sendSome(0, 'z') > 0; }));
    fixture.store().historyBegins = 0;
    fixture.store().write(zKey, "{}");
    CHECK(fixture.timeUntilEmpty(0, monotonicNow()) < promptBound);
}

// A name with a typing error, a value that was cut off and foreign keys are an operator's mistakes and must not end an evacuation in force.
TEST_CASE("Unreadable evacuations are logged and change nothing that is in force")
{
    const output_in_file output;
    {
        evacuation_fixture fixture;
        fixture.enableLog();
        fixture.store().write(zKey, "{}");
        fixture.startAll();
        for (const auto *key : {"op/evacuate/", "op/evacuate/nowhere", "op/evacuate/a\nb"}) {
            fixture.store().write(key, "{}");
        }
        fixture.store().write("op/evacuate/" + std::string(500, 'x'), "{}");
        fixture.store().write(zKey, "\xff\xfe not json");
        std::this_thread::sleep_for(promptBound);
        CHECK(fixture.sendSome(0, 'z') == 0);
        CHECK(fixture.sendSome(0, 'y') == 12);
    }
    const auto text = output.text();
    CHECK(text.find("evacuation_began") != std::string::npos);
    CHECK(text.find("no replica is in this data centre") != std::string::npos);
    CHECK(text.find("the name of the data centre is missing") != std::string::npos);
    CHECK(text.find("the name of the data centre is too long") != std::string::npos);
    CHECK(text.find("control character") != std::string::npos);
    CHECK(text.find("is not a JSON object") != std::string::npos);
}
