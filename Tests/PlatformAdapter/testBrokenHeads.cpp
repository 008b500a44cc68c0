// SPDX-License-Identifier: Apache-2.0
// Guards against a client that gets an answer of a replica with a malformed head, and against notices in such a head that are believed.
#include "Tests/PlatformAdapter/twoReplicas.h"

using namespace std::string_literals;
using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// An answer with this status, and with these lines in its head.
std::string answerWith(const std::string &request, const std::string &status, const std::string &lines)
{
    const auto body = "answer"s;
    return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\n{}Content-Length: {}\r\n\r\n{}",
                       status,
                       headerOf(request, "Attempt-Id"),
                       lines,
                       body.size(),
                       body);
}

/// The answer to one request at a daemon in front of a single replica.
client_answer relayed(const std::string &path, const scripted_replica::script &script)
{
    const scripted_replica replica(script);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.addGroupHead("h-1", replica);
    fixture.start();
    return fixture.sendRequest(path);
}

struct broken_head
{
    std::string status;
    std::string lines;
};

void checkNotRelayed(const std::vector<broken_head> &heads)
{
    for (const auto *path : {"/once/", "/again/", "/stream/"}) {
        for (const auto &head : heads) {
            const auto answer = relayed(path, [&](const std::string &request) { return answerWith(request, head.status, head.lines); });
            CAPTURE(path, head.status, head.lines);
            CHECK(answer.status == 502);
            CHECK(answer.isWhole);
            CHECK(answer.header("Server-Stamp").empty());
            CHECK(answer.header("A").empty());
        }
    }
}

} // namespace

TEST_CASE("An answer with an invalid status does not reach the client")
{
    checkNotRelayed({{"000", ""}, {"000 Unknown", ""}, {"099 Unknown", ""}, {"600 Unknown", ""}, {"101 Switching Protocols", ""}});
}

TEST_CASE("A sound answer behind an invalid status does not reach the client")
{
    for (const auto *path : {"/once/", "/again/", "/stream/"}) {
        const auto answer
            = relayed(path, [](const std::string &request) { return "HTTP/1.1 000 Unknown\r\n\r\n" + plainAnswer(request, "answer"); });
        CHECK(answer.status == 502);
    }
}

TEST_CASE("An answer with a blank or a control character in the name of a field does not reach the client")
{
    std::vector<broken_head> heads;
    for (const auto &name : {"A b"s,
                             "A "s,
                             " A"s,
                             "A\tb"s,
                             "A\x05"
                             "b"s,
                             "\x05"
                             "A"s,
                             "A\0b"s,
                             "A\x7f"s}) {
        heads.push_back({"200 OK", name + ": value\r\n"});
    }
    checkNotRelayed(heads);
}

TEST_CASE("A field for the framing whose name has a blank or a control character leaves no body for the client")
{
    for (const auto &name : {"Transfer-Encoding "s, "Transfer-Encoding\x05"s, "Transfer-Enc\x05oding"s}) {
        const auto answer = relayed("/once/", [&](const std::string &request) {
            return "HTTP/1.1 200 OK\r\nAttempt-Id: " + headerOf(request, "Attempt-Id") + "\r\nServer-Stamp: s\r\n" + name
                + ": chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        });
        CAPTURE(name);
        CHECK(answer.status == 502);
        CHECK(answer.body.find("body") == std::string::npos);
    }
}

TEST_CASE("A refusal with a malformed head is not believed: a request that may run once goes to no other replica")
{
    const auto script = [](const std::string &request) {
        return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + headerOf(request, "Attempt-Id")
            + "\r\nNot-Executed: 1\r\nA b: c\r\nContent-Length: 0\r\n\r\n";
    };
    const two_replicas system(script);
    CHECK(system.sendRequest("/once/").status == 502);
    CHECK(system.received() == 1);
}

TEST_CASE("Another replica answers a request that may run again, after an answer with a malformed head")
{
    std::atomic<bool> isFirst = true;
    const auto script = [&](const std::string &request) {
        return isFirst.exchange(false) ? answerWith(request, "000", "") : plainAnswer(request, "answer");
    };
    const two_replicas system(script);
    const auto answer = system.sendRequest("/again/");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer");
}

TEST_CASE("An answer with unusual but valid fields reaches the client")
{
    const auto answer = relayed("/once/", [](const std::string &request) {
        return answerWith(request, "200 ", "!#$%&'*+-.^_`|~: x\r\nEmpty:\r\nA: caf\xc3\xa9\tlatte\r\n");
    });
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer");
    CHECK(answer.header("A") == "caf\xc3\xa9\tlatte");
}

TEST_CASE("A stream that is resumed or hedged by an answer with a malformed head is not whole without all of its events")
{
    // After its first event the first replica breaks off, or is silent until another one is asked.
    for (const auto &end : {std::string(1, resetMarker), std::string(30, pauseMarker)}) {
        for (const auto &head : {broken_head{"000", ""}, broken_head{"200 OK", "A b: c\r\n"}, broken_head{"200 OK", "A\x05: c\r\n"}}) {
            std::atomic<int> seconds = 0;
            const two_replicas system([&](const std::string &request) {
                if (headerOf(request, "Last-Event-Id").empty()) {
                    return streamHead(request, "s") + chunk(event(1)) + end;
                }
                ++seconds;
                return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\nServer-Stamp: s\r\n{}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                                   head.status,
                                   headerOf(request, "Attempt-Id"),
                                   head.lines,
                                   chunk(event(2)));
            });
            const auto answer = system.sendRequest("/stream/");
            CAPTURE(end.size(), head.status, head.lines);
            CHECK(seconds > 0);
            CHECK((answer.status / 100 != 2 || !answer.isWhole));
            CHECK(answer.body.find("id: 2") == std::string::npos);
        }
    }
}
