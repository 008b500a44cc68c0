// SPDX-License-Identifier: Apache-2.0
// Guards against a client that gets part of an answer as a whole one because the replica reset the connection during the upload.
#include "Tests/Fakes/cut_answer_server.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Below the limit of a request, and more than fits into the buffers of both sockets.
constexpr std::size_t uploadSize = 3900000;

std::string headOf(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n" + fields + "\r\n";
}

/// The answer to a long upload of which the replica reads the beginning only.
client_answer answerOf(const std::string &path, const std::string &answer, duration pause = duration(250))
{
    const cut_answer_server replica(answer, cut_end::reset, pause);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica.address().text());
    fixture.addGroupHead("h-1", replica.address().text());
    fixture.start();
    return fixture.sendRequestWithBody(path, std::string(uploadSize, 'u'), "a1");
}

} // namespace

TEST_CASE("An answer without a length that is reset during the upload does not reach the client")
{
    for (const auto *path : {"/once/", "/again/", "/stream/"}) {
        for (const auto &answer : {headOf("200 OK") + "part",
                                   headOf("200 OK") + event(1),
                                   headOf("200 OK") + std::string(20000, 'p'),
                                   headOf("500 Internal Server Error") + "part"}) {
            for (const auto pause : {duration(0), duration(250)}) {
                const auto received = answerOf(path, answer, pause);
                CAPTURE(path, answer.substr(0, 30), answer.size(), pause, received.status);
                CHECK((received.status >= 500 || !received.isWhole));
                CHECK(received.header("Server-Stamp").empty());
                CHECK(received.body.find("part") == std::string::npos);
            }
        }
    }
}

TEST_CASE("An answer that is whole by its length reaches the client although its connection is reset during the upload")
{
    for (const auto *path : {"/once/", "/again/"}) {
        const auto received = answerOf(path, headOf("200 OK", "Content-Length: 4\r\n") + "body");
        CHECK(received.status == 200);
        CHECK(received.isWhole);
        CHECK(received.body == "body");
    }
}

TEST_CASE("A replica that refuses a long upload as not run and resets its connection is believed")
{
    const auto received = answerOf("/once/", "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\nbusy");
    CHECK(received.status == 503);
    CHECK_FALSE(received.header("Retry-After").empty());
}
