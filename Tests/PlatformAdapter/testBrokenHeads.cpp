// SPDX-License-Identifier: Apache-2.0
// Guards against a client that gets an answer of a replica with a malformed head, and against notices in such a head that are believed.
#include "Tests/PlatformAdapter/relayFixture.h"

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

TEST_CASE("Another replica answers a request that may run again, after an answer with a malformed head")
{
    std::atomic<bool> isFirst = true;
    const auto script = [&](const std::string &request) {
        return isFirst.exchange(false) ? answerWith(request, "000", "") : plainAnswer(request, "answer");
    };
    const scripted_replica one(script);
    const scripted_replica two(script);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", one);
    fixture.addPlainReplica("p-2", two);
    fixture.start();
    const auto answer = fixture.sendRequest("/again/");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer");
}
