// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/crash_record.h"
#include "Libraries/Entry/entry_daemon.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_upstream.h"
#include "Tests/PlatformAdapter/scriptedReplica.h"
#include "platform/platform_dialect.h"

#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>
#include <thread>

/// A whole entry daemon before scripted replicas, and a client of it.
namespace vetchpost::test {

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
    memory_store(std::map<std::string, std::string> &values,
                 std::atomic<bool> &isUp,
                 std::atomic<bool> &hidesConfiguration,
                 duration listingTime)
        : m_values(values)
        , m_isUp(isUp)
        , m_hidesConfiguration(hidesConfiguration)
        , m_listingTime(listingTime)
    {
    }

    std::optional<key_value_entry> get(const std::string &key, read_freshness /*freshness*/, reason &lastReason) override
    {
        if (!m_isUp) {
            lastReason = {error_kind::platform_unavailable, "down"};
            return std::nullopt;
        }
        const auto found = m_hidesConfiguration && key == "op/config" ? m_values.end() : m_values.find(key);
        return found == m_values.end() ? key_value_entry{key, {}, {}} : key_value_entry{key, found->second, key_revision(1)};
    }

    std::optional<key_value_listing> list(const std::string &prefix, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        std::this_thread::sleep_for(m_listingTime);
        key_value_listing listing;
        // Without a revision it would count as no listing, and be asked for again and again without a pause.
        listing.upTo = 1;
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
    std::atomic<bool> &m_hidesConfiguration;
    duration m_listingTime;
};

inline endpoint freePort()
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

inline client_answer exchange(const http_call &call)
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
        m_values["servers/" + id] = fmt::format(
            R"({{"Service":"plain","Address":"{}","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}})",
            replica.address());
    }

    void addEntryWithoutValue(const std::string &id)
    {
        m_values["servers/" + id] = "";
    }

    void addHead(const std::string &id, const scripted_replica &replica)
    {
        m_values["servers/" + id] = fmt::format(
            R"({{"Service":"large","Address":"{}","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{{"Name":"m","Version":1}}],
                "group":{{"Name":"g-{}","epoch":1,"rank":0,"State":"open"}}}})",
            replica.address(),
            id);
    }

    static identity_key identityKey()
    {
        return identity_key(std::string(64, 'a'));
    }

    /// The identity of what askWith() sends.
    static request_identity identityOfAsk(const std::string &path, const std::string &body)
    {
        return identityOf(identityKey(), {organisation_id("t1"), "POST", "a.example", path, body});
    }

    /// The key-value service keeps from an earlier run that three replicas have ended under a request.
    void keepRefused(const request_identity &request)
    {
        const suspect_report kept{request, organisation_id("t1"), {replica_end(1), replica_end(2), replica_end(3)}, 0, duration(1000)};
        m_values[crashNotesKey] = encodeCrashNotes({identityKey(), {kept}}, calendarMilliseconds());
    }

    /// From the next start on the bound on keys does not hold for daemons that are cut off.
    void loosenKeyBound()
    {
        m_isKeyRevocationStrict = false;
    }

    void start(bool hasConfiguration = true, bool hasRunBefore = false)
    {
        // Nobody coordinates here, who would write it.
        m_values.try_emplace(crashNotesKey, encodeCrashNotes({identityKey(), {}}, 0));
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
        settings.isKeyRevocationStrict = m_isKeyRevocationStrict;
        settings.configurationApply = duration(2000);
        settings.stopGrace = m_stopGrace;
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
                return std::make_unique<memory_store>(m_values, m_isUp, m_hidesConfiguration, m_listingTime);
            });
        m_daemon->start();
        const bool willBeReady = hasConfiguration && !m_hidesConfiguration && m_listingTime == duration();
        for (int i = 0; i < 100 && willBeReady && !isReady(settings.readiness); ++i) {
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

    /// From the next start on.
    void setStopGrace(duration grace)
    {
        m_stopGrace = grace;
    }

    /// From the next start on each listing of the replicas takes so long, and the daemon is not waited for until it is ready.
    void slowListings(duration time)
    {
        m_listingTime = time;
    }

    /// The daemon stops as planned; returns when it has.
    void stopDaemon()
    {
        m_daemon->stop();
    }

    /// Whether the key-value service holds no configuration yet.
    void hideConfiguration(bool isHidden)
    {
        m_hidesConfiguration = isHidden;
    }

    void stopStore()
    {
        m_isUp = false;
    }

    client_answer ask(const std::string &path, const std::string &key = "good", const std::string &attempt = "a1") const
    {
        return exchange(callFor(path, key, attempt));
    }

    client_answer askWith(const std::string &path, const std::string &body, const std::string &attempt) const
    {
        auto call = callFor(path, "good", attempt);
        call.body = body;
        return exchange(call);
    }

    /// Asks with so much time left.
    client_answer askWithin(const std::string &path, duration patience) const
    {
        auto call = callFor(path, "good", "a1");
        for (auto &header : call.headers) {
            header.value = header.name == "Deadline-Ms" ? std::to_string(patience.count()) : header.value;
        }
        return exchange(call);
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

    /// The same after so long, whatever has come until then.
    void askAndLeaveAfter(const std::string &path, const std::string &attempt, duration time) const
    {
        http_upstream connection;
        reason why;
        REQUIRE(connection.send(callFor(path, "good", attempt), why));
        std::this_thread::sleep_for(time);
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
    std::atomic<bool> m_hidesConfiguration = false;
    bool m_isKeyRevocationStrict = true;
    duration m_listingTime{};
    duration m_stopGrace{3000};
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

inline std::string answerTo(const std::string &request, const std::string &body, const std::string &status = "200 OK")
{
    return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\nContent-Length: {}\r\n\r\n{}",
                       status,
                       headerOf(request, "Attempt-Id"),
                       body.size(),
                       body);
}

inline std::string refusalTo(const std::string &request)
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                       headerOf(request, "Attempt-Id"));
}

inline std::string event(int number)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", number, number);
}

inline std::string streamHead(const std::string &request, const std::string &stamp)
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       headerOf(request, "Attempt-Id"),
                       stamp);
}

inline std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

inline std::string good(const std::string &request)
{
    return answerTo(request, "answer");
}

inline std::string closed(const std::string & /*request*/)
{
    return {};
}

} // namespace vetchpost::test
