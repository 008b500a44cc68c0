// SPDX-License-Identifier: Apache-2.0
// Guards against clients that make a daemon wait for, or keep, more of a request than it can use.
#include "Tests/Fakes/raw_client.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A head above the configuration's limit is refused before its end")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    std::string head = "GET /again/ HTTP/1.1\r\nHost: a.example\r\n";
    for (int i = 0; i < 20; ++i) {
        head += fmt::format("X-Field-{}: {}\r\n", i, std::string(1000, 'x'));
    }
    raw_client client(fixture.callers());
    client.send(head);
    CHECK(client.receiveAll().starts_with("HTTP/1.1 431"));
}

TEST_CASE("A large body is not awaited for a request without a known key or route")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    const auto head = [](const std::string &path, const std::string &key) {
        return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer {}\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n",
                           path,
                           key);
    };
    const auto beginning = chunk(std::string(60000, 'x'));
    for (const auto &[start, status] : {std::pair(head("/again/", "none"), 401), std::pair(head("/nowhere/", "good"), 404)}) {
        raw_client client(fixture.callers());
        client.send(start + beginning);
        CHECK(client.receiveAll().starts_with(fmt::format("HTTP/1.1 {}", status)));
    }
    CHECK(replica.requests().empty());
    raw_client caller(fixture.callers());
    caller.send(head("/again/", "good") + beginning);
    caller.send(chunk("end") + "0\r\n\r\n");
    CHECK(caller.receiveAll().starts_with("HTTP/1.1 200"));
}
