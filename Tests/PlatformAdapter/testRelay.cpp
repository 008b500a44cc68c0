// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_daemon.h"
#include "Libraries/Explain/request_story.h"
#include "Libraries/Feed/feed_messages.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_upstream.h"
#include "Tests/PlatformAdapter/scriptedReplica.h"
#include "platform/platform_dialect.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <sstream>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr auto configurationText = R"({"Version":1,
 "Routes":[{"Name":"once","Host":"a.example","PathPrefix":"/once/","RouteType":"non_idempotent","Service":"plain","MaxAttempts":2,
            "TimeoutMs":3000,"SloMs":100},
           {"Name":"again","Host":"a.example","PathPrefix":"/again/","RouteType":"idempotent","Service":"plain","MaxAttempts":2,
            "TimeoutMs":3000,"SloMs":100},
           {"Name":"stream","Host":"a.example","PathPrefix":"/stream/","RouteType":"streaming","Service":"large","MaxAttempts":2,
            "TimeoutMs":5000,"SloMs":100,"Resumable":true}],
 "Services":[{"Name":"plain","HealthPath":"/healthz","MaxConns":10},
             {"Name":"large","HealthPath":"/healthz","MaxConns":10,
              "Engine":{"Slots":4,"Models":[{"Name":"m","size":1,"Share":1.0,"pace":1.0,"LoadS":1.0,"WarmS":0.1}]}}],
 "Tenants":[{"Name":"t1","ApiKeys":["good"],"Priority":1}]})";

/// A key-value service in memory that lets nobody coordinate.
class memory_store : public key_value_service
{
public:
    explicit memory_store(std::map<std::string, std::string> &values, std::atomic<bool> &isUp)
        : m_values(values)
        , m_isUp(isUp)
    {
    }

    std::optional<key_value_entry> get(const std::string &key, read_freshness /*freshness*/, reason &lastReason) override
    {
        if (!m_isUp) {
            lastReason = {error_kind::platform_unavailable, "down"};
            return std::nullopt;
        }
        const auto found = m_values.find(key);
        return found == m_values.end() ? key_value_entry{key, {}, {}} : key_value_entry{key, found->second, key_revision(1)};
    }

    std::optional<key_value_listing> list(const std::string &prefix, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        key_value_listing listing;
        for (const auto &[key, value] : m_values) {
            if (key.starts_with(prefix)) {
                listing.entries.push_back({key, value, key_revision(1)});
            }
        }
        return listing;
    }

    swap_result
    compareAndSwap(const std::string & /*key*/, key_revision /*expected*/, const std::string & /*value*/, lease_number /*lease*/) override
    {
        return {};
    }

    std::optional<lease_number> grantLease(duration /*time*/, reason & /*lastReason*/) override
    {
        return std::nullopt;
    }

    std::optional<bool> renewLease(lease_number /*lease*/, reason & /*lastReason*/) override
    {
        return std::nullopt;
    }

    void endLease(lease_number /*lease*/) override
    {
    }

    std::optional<watch_result>
    watch(const std::string & /*prefix*/, std::uint64_t after, duration /*wait*/, reason & /*lastReason*/) override
    {
        std::this_thread::sleep_for(duration(50));
        return watch_result{after, {}, false};
    }

private:
    std::map<std::string, std::string> &m_values;
    std::atomic<bool> &m_isUp;
};

endpoint freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

/// What a client received.
struct client_answer
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// The answer has its end.
    bool isWhole = false;

    std::string header(std::string_view name) const
    {
        return headerValue(headers, name);
    }
};

client_answer exchange(const http_call &call)
{
    constexpr duration patience(5000);
    client_answer answer;
    http_upstream connection;
    reason why;
    if (!connection.send(call, why) || connection.waitForAnswer(monotonicNow() + patience, -1) != upstream_wait::data) {
        return answer;
    }
    const auto head = connection.readHead(why);
    if (!head) {
        return answer;
    }
    answer.status = head->status;
    answer.headers = head->headers;
    std::string piece;
    auto wait = upstream_wait::data;
    while (wait == upstream_wait::data) {
        wait = connection.nextPiece(piece, monotonicNow() + patience, -1);
        answer.body += piece;
    }
    answer.isWhole = wait == upstream_wait::end;
    return answer;
}

/// One entry daemon before scripted replicas.
class relay_world
{
public:
    void addPlain(const std::string &id, const scripted_replica &replica)
    {
        m_values["servers/" + id]
            = fmt::format(R"({{"Service":"plain","Address":"{}","Zone":"z","Slots":4,"State":"ready"}})", replica.address());
    }

    void addEntryWithoutValue(const std::string &id)
    {
        m_values["servers/" + id] = "";
    }

    void addHead(const std::string &id, const scripted_replica &replica)
    {
        m_values["servers/" + id] = fmt::format(
            R"({{"Service":"large","Address":"{}","Zone":"z","Slots":4,"State":"ready","Models":[{{"Name":"m","Version":1}}],
                "group":{{"Name":"g-{}","epoch":1,"rank":0,"State":"open"}}}})",
            replica.address(),
            id);
    }

    void start(bool hasConfiguration = true, bool hasRunBefore = false)
    {
        if (hasConfiguration) {
            m_values["op/config"] = configurationText;
        }
        entry_settings settings;
        settings.daemon = daemon_id("d1");
        settings.dataCentre = data_centre_id("z");
        settings.callers = freePort();
        settings.readiness = freePort();
        settings.peers = freePort();
        settings.maximumConnections = 16;
        settings.keyRevocation = duration(1500);
        settings.configurationApply = duration(2000);
        settings.stopGrace = duration(3000);
        settings.leaseTime = duration(2000);
        settings.stallTime = duration(5000);
        // A daemon that starts again begins without repeats.
        settings.isFirstStart = !hasRunBefore;
        settings.retryShare = 0.2;
        // Nobody coordinates here: the daemon takes its part of the repeats, eight, as one of as many daemons as there may ever be.
        settings.retrySlack = 3500;
        m_callers = settings.callers;
        m_peers = settings.peers;
        m_daemon = std::make_unique<entry_daemon>(
            settings, std::make_unique<platform_dialect>(), [this](const endpoint & /*address*/, metrics & /*counters*/) {
                return std::make_unique<memory_store>(m_values, m_isUp);
            });
        m_daemon->start();
        for (int i = 0; i < 100 && hasConfiguration && !isReady(settings.readiness); ++i) {
            std::this_thread::sleep_for(duration(20));
        }
    }

    /// From the next start on the daemon follows a coordinator at this address.
    void setCoordinator(const std::string &address)
    {
        m_values["vetchpost/coordinator"] = address;
    }

    endpoint peers() const
    {
        return m_peers;
    }

    void stopStore()
    {
        m_isUp = false;
    }

    client_answer ask(const std::string &path, const std::string &key = "good", const std::string &attempt = "a1") const
    {
        return exchange(callFor(path, key, attempt));
    }

    /// Sends a request and closes the connection a moment later.
    void askAndLeave(const std::string &path, const std::string &attempt) const
    {
        http_upstream connection;
        reason why;
        REQUIRE(connection.send(callFor(path, "good", attempt), why));
        CHECK(connection.waitForAnswer(monotonicNow() + duration(100), -1) == upstream_wait::timeout);
        connection.close();
    }

private:
    http_call callFor(const std::string &path, const std::string &key, const std::string &attempt) const
    {
        http_call call;
        call.to = m_callers;
        call.method = "POST";
        call.target = path;
        call.body = "question";
        call.headers
            = {{"Host", "a.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", "2500"}, {"Model", "m"}, {"Authorization", "Bearer " + key}};
        return call;
    }

    static bool isReady(const endpoint &address)
    {
        http_call call;
        call.to = address;
        call.target = "/readyz";
        reason why;
        const auto reply = sendOnFreshConnection(call, why);
        return reply && reply->isSuccess();
    }

    std::map<std::string, std::string> m_values;
    std::atomic<bool> m_isUp = true;
    endpoint m_callers;
    endpoint m_peers;
    std::unique_ptr<entry_daemon> m_daemon;
};

/// Standard output led into a file for the time of one test.
class output_in_file
{
public:
    output_in_file()
        : m_file(std::tmpfile())
        , m_saved(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        dup2(fileno(m_file), STDOUT_FILENO);
    }

    ~output_in_file()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        std::fclose(m_file);
    }

    output_in_file(const output_in_file &) = delete;
    output_in_file &operator=(const output_in_file &) = delete;

    std::string text() const
    {
        std::string text;
        std::rewind(m_file);
        for (int byte = std::fgetc(m_file); byte != EOF; byte = std::fgetc(m_file)) {
            text += static_cast<char>(byte);
        }
        return text;
    }

private:
    std::FILE *m_file;
    int m_saved;
};

std::string answerTo(const std::string &request, const std::string &body, const std::string &status = "200 OK")
{
    return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\nContent-Length: {}\r\n\r\n{}",
                       status,
                       headerOf(request, "Attempt-Id"),
                       body.size(),
                       body);
}

std::string refusalTo(const std::string &request)
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                       headerOf(request, "Attempt-Id"));
}

std::string event(int number)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", number, number);
}

std::string streamHead(const std::string &request, const std::string &stamp)
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       headerOf(request, "Attempt-Id"),
                       stamp);
}

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string good(const std::string &request)
{
    return answerTo(request, "answer");
}

std::string closed(const std::string & /*request*/)
{
    return {};
}

} // namespace

TEST_CASE("A request goes on with its organisation and without its key, and the answer comes back unchanged")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    const auto reply = world.ask("/once/x?y=%20z");
    CHECK(reply.status == 200);
    CHECK(reply.body == "answer");
    CHECK(reply.header("Server-Stamp") == "s");
    REQUIRE(replica.requests().size() == 1);
    const auto request = replica.requests().front();
    CHECK(request.starts_with("POST /once/x?y=%20z HTTP/1.1\r\n"));
    CHECK(request.ends_with("question"));
    CHECK(headerOf(request, "Host") == "a.example");
    CHECK(headerOf(request, "Tenant") == "t1");
    CHECK(headerOf(request, "Expect-Instance") == "i-1");
    CHECK(headerOf(request, "Authorization").empty());
    CHECK(std::stoi(headerOf(request, "Deadline-Ms")) <= 2500);
}

TEST_CASE("A listed entry without a value is no replica, and harms no other")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addEntryWithoutValue("i-0");
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.ask("/once/x").status == 200);
}

TEST_CASE("Unknown routes and keys are refused, and nothing is served without a configuration or with keys out of date")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.ask("/nowhere/").status == 404);
    CHECK(world.ask("/once/", "bad").status == 401);
    CHECK(world.ask("/once/", "").status == 401);
    CHECK(world.ask("/once/").status == 200);
    world.stopStore();
    std::this_thread::sleep_for(duration(1600));
    const auto refused = world.ask("/once/");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(replica.requests().size() == 1);

    relay_world blank;
    blank.start(false);
    CHECK(blank.ask("/once/").status == 503);
}

TEST_CASE("A request that may run once is sent once, whatever becomes of its answer")
{
    const auto cutShort = [](const std::string &request) {
        return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\nContent-Length: 99\r\n\r\nans",
                           headerOf(request, "Attempt-Id"));
    };
    const auto foreign = [](const std::string & /*request*/) {
        return std::string("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nfig");
    };
    const auto unsignedSuccess = [](const std::string &request) {
        return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nContent-Length: 2\r\n\r\nno", headerOf(request, "Attempt-Id"));
    };
    const auto garbage = [](const std::string & /*request*/) { return std::string("this is no answer\r\n\r\n"); };
    for (const scripted_replica::script &script : {scripted_replica::script(closed),
                                                   scripted_replica::script(cutShort),
                                                   scripted_replica::script(foreign),
                                                   scripted_replica::script(unsignedSuccess),
                                                   scripted_replica::script(garbage)}) {
        const scripted_replica first(script);
        const scripted_replica second(script);
        relay_world world;
        world.addPlain("i-1", first);
        world.addPlain("i-2", second);
        world.start();
        CHECK(world.ask("/once/").status == 502);
        CHECK(first.requests().size() + second.requests().size() == 1);
    }
}

TEST_CASE("An idempotent request goes to another replica after a lost answer or a failure")
{
    for (const scripted_replica::script &script :
         {scripted_replica::script(closed),
          scripted_replica::script([](const std::string &request) { return answerTo(request, "broken", "500 Internal Server Error"); })}) {
        const scripted_replica bad(script);
        const scripted_replica fine(good);
        relay_world world;
        world.addPlain("i-1", bad);
        world.addPlain("i-2", fine);
        world.start();
        for (int i = 0; i < 4; ++i) {
            CHECK(world.ask("/again/").status == 200);
        }
        CHECK(fine.requests().size() == 4);
    }
}

TEST_CASE("A request that a replica did not run goes to another one, and is refused as not run where none takes it")
{
    const scripted_replica full(refusalTo);
    const scripted_replica fine(good);
    relay_world world;
    world.addPlain("i-1", full);
    world.addPlain("i-2", fine);
    world.start();
    for (int i = 0; i < 4; ++i) {
        CHECK(world.ask("/once/").status == 200);
    }
    const scripted_replica alsoFull(refusalTo);
    relay_world crowded;
    crowded.addPlain("i-1", full);
    crowded.addPlain("i-2", alsoFull);
    crowded.start();
    const auto refused = crowded.ask("/once/");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
}

TEST_CASE("A stream that breaks off inside an event goes on at another replica under the first head, without losing or doubling a piece")
{
    const auto breaking = [](const std::string &request) {
        if (headerOf(request, "Last-Event-Id") == "2") {
            return streamHead(request, "second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
        }
        // The third event is cut, and the connection closes without the last chunk.
        return streamHead(request, "first") + chunk(event(1) + event(2) + "id: 3\nda");
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto reply = world.ask("/stream/");
    CHECK(reply.status == 200);
    CHECK(reply.header("Server-Stamp") == "first");
    CHECK(reply.body == event(1) + event(2) + event(3) + event(4));
    CHECK(reply.isWhole);
    CHECK(one.requests().size() == 1);
    CHECK(two.requests().size() == 1);
}

TEST_CASE("A stream that nobody can go on with does not look complete")
{
    const auto breaking = [](const std::string &request) {
        return headerOf(request, "Last-Event-Id").empty() ? streamHead(request, "first") + chunk(event(1)) : refusalTo(request);
    };
    const scripted_replica one(breaking);
    const scripted_replica two(breaking);
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.start();
    const auto reply = world.ask("/stream/");
    CHECK(reply.body == event(1));
    CHECK_FALSE(reply.isWhole);
}

// What users saw: after a restart of all daemons, requests were answered 502 after 0.9 of the 6 seconds that their callers would have
// waited. The daemon gave the try up as soon as the replica had been silent for a while, and only then found that no repeat was left in its
// budget: the answer that the replica was about to give was thrown away. The evidence: lines "refused" with one try of two, the reason "the
// replica is silent", and five seconds left.
TEST_CASE("A slow answer is waited for where no other replica may take the request")
{
    const auto slow = [](const std::string &request) {
        std::this_thread::sleep_for(duration(1400));
        return streamHead(request, "slow") + chunk(event(1)) + "0\r\n\r\n";
    };
    const scripted_replica one(slow);
    const scripted_replica two(slow);

    SECTION("there is no other")
    {
        relay_world world;
        world.addHead("h-1", one);
        world.start();
        const auto reply = world.ask("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.body == event(1));
        CHECK(reply.isWhole);
    }

    SECTION("the budget of repeats is used up")
    {
        relay_world world;
        world.addHead("h-1", one);
        world.addHead("h-2", two);
        world.start(true, true);
        const auto reply = world.ask("/stream/");
        CHECK(reply.status == 200);
        CHECK(reply.isWhole);
        CHECK(one.requests().size() + two.requests().size() == 1);
    }
}

TEST_CASE("An idempotent request whose answer is late is waited for where no other replica may take it")
{
    const auto late = [](const std::string &request) {
        std::this_thread::sleep_for(duration(600));
        return answerTo(request, "late");
    };
    const scripted_replica only(late);
    relay_world world;
    world.addPlain("i-1", only);
    world.start();
    const auto reply = world.ask("/again/");
    CHECK(reply.status == 200);
    CHECK(reply.body == "late");
}

namespace {

/// A coordinator that tells nothing but what a test lets it tell.
class scripted_coordinator
{
public:
    scripted_coordinator()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
    }

    std::string address() const
    {
        return m_socket.address().toString();
    }

    /// Waits until the daemon follows it.
    bool isFollowed()
    {
        std::array<char, 2048> bytes{};
        constexpr int patienceSeconds = 5;
        return m_socket.poll(Poco::Timespan(patienceSeconds, 0), Poco::Net::Socket::SELECT_READ)
            && m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0;
    }

    /// Tells that the group of a head is likely to stand still.
    void tellDoubt(const std::string &head, const endpoint &to)
    {
        const auto bytes = encodeFeedMessage(group_doubt{instance_id(head)});
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
    }

private:
    Poco::Net::DatagramSocket m_socket;
};

/// Without the daemon's own looks.
std::ptrdiff_t callsTo(const scripted_replica &replica)
{
    const auto requests = replica.requests();
    return std::count_if(requests.begin(), requests.end(), [](const std::string &request) { return request.starts_with("POST "); });
}

const std::string shortPause(1, pauseHere);
const std::string longPause(5, pauseHere);

} // namespace

// What could be lost: the coordinator, to which one look at a member had no answer in time, tells that a group is likely to stand still. A
// stream there pauses for a moment. The daemon breaks it off, although no repeat is left in its budget, and although the replica goes on:
// the caller's connection is closed in the middle of an answer, while the daemon stops or a configuration changes too. The evidence: lines
// "broken_off" with the end "silent" whose "no_repeat" says that the budget of repeats is used up.
TEST_CASE("A stream that has begun is not broken off on a doubt where nobody else may go on with it")
{
    const auto pausing = [](const std::string &request) {
        return streamHead(request, "one") + chunk(event(1)) + longPause + chunk(event(2)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.setCoordinator(coordinator.address());
    world.start(true, true);
    REQUIRE(coordinator.isFollowed());
    std::thread doubting([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.tellDoubt("h-1", world.peers());
        coordinator.tellDoubt("h-2", world.peers());
    });
    const auto reply = world.ask("/stream/");
    doubting.join();
    CHECK(reply.status == 200);
    CHECK(reply.body == event(1) + event(2));
    CHECK(reply.isWhole);
    CHECK(callsTo(one) + callsTo(two) == 1);
}

// A doubt of a group whose events come on afterwards was wrong. It stayed with the stream all the same: at its next pause of a quarter of a
// second, which a full group may well make, the stream was taken to another replica and a repeat was spent.
TEST_CASE("A doubt that events have refuted moves no stream")
{
    const auto pausing = [](const std::string &request) {
        std::string events;
        for (int number = 1; number <= 5; ++number) {
            events += chunk(event(number)) + shortPause;
        }
        return streamHead(request, "one") + events + longPause + chunk(event(6)) + "0\r\n\r\n";
    };
    const scripted_replica one(pausing);
    const scripted_replica two(pausing);
    scripted_coordinator coordinator;
    relay_world world;
    world.addHead("h-1", one);
    world.addHead("h-2", two);
    world.setCoordinator(coordinator.address());
    world.start();
    REQUIRE(coordinator.isFollowed());
    std::thread doubting([&] {
        std::this_thread::sleep_for(duration(150));
        coordinator.tellDoubt("h-1", world.peers());
        coordinator.tellDoubt("h-2", world.peers());
    });
    const auto reply = world.ask("/stream/");
    doubting.join();
    CHECK(reply.status == 200);
    CHECK(reply.isWhole);
    CHECK(callsTo(one) + callsTo(two) == 1);
}

TEST_CASE("Every request that its client does not see served is found in the log by its id, and so are the others")
{
    const scripted_replica failing([](const std::string &request) { return answerTo(request, "broken", "500 Internal Server Error"); });
    const scripted_replica breaking(
        [](const std::string &request) { return streamHead(request, "s") + chunk(event(1)) + chunk("id: 2\ndata: pi"); });
    std::map<std::string, int> statuses;
    std::istringstream log;
    {
        const output_in_file output;
        {
            relay_world world;
            world.addPlain("i-1", failing);
            world.addHead("h-1", breaking);
            world.start();
            statuses["nowhere"] = world.ask("/nowhere/", "good", "nowhere").status;
            statuses["nobody"] = world.ask("/once/", "bad", "nobody").status;
            statuses["failed"] = world.ask("/once/", "good", "failed").status;
            statuses["broken"] = world.ask("/stream/", "good", "broken").status;
        }
        {
            const scripted_replica fine(good);
            relay_world world;
            world.addPlain("i-1", fine);
            world.start();
            statuses["served"] = world.ask("/once/", "good", "served").status;
        }
        log.str(output.text());
    }
    CHECK(statuses == std::map<std::string, int>{{"nowhere", 404}, {"nobody", 401}, {"failed", 500}, {"broken", 200}, {"served", 200}});
    log_collector collector;
    collector.take(log);
    CHECK(collector.storyOf("nowhere").verdict.find("was refused") != std::string::npos);
    CHECK(collector.storyOf("nobody").verdict.find("was refused") != std::string::npos);
    CHECK(collector.storyOf("failed").verdict.find("outcome=failed") != std::string::npos);
    CHECK(collector.storyOf("broken").verdict.find("broken off") != std::string::npos);
    CHECK(collector.storyOf("served").verdict.find("was served in time") != std::string::npos);
}

TEST_CASE("The log says of a client that has gone that it has, and what time it still had")
{
    const scripted_replica slow([](const std::string &request) {
        std::this_thread::sleep_for(duration(400));
        return good(request);
    });
    std::istringstream log;
    {
        const output_in_file output;
        {
            relay_world world;
            world.addPlain("i-1", slow);
            world.start();
            world.askAndLeave("/once/", "left");
        }
        log.str(output.text());
    }
    log_collector collector;
    collector.take(log);
    const auto story = collector.storyOf("left");
    CHECK(story.verdict.find("given up by its caller") != std::string::npos);
    CHECK(story.verdict.find("time_left_ms=") != std::string::npos);
    CHECK(std::any_of(story.entries.begin(), story.entries.end(), [](const log_entry &entry) {
        return entry.event == "try_ended" && entry.details.find("the client has gone") != std::string::npos;
    }));
}
